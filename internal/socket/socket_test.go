package socket

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against options that are not set, and against an error of one that is lost.
func TestOptionsAreSet(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	dialer := net.Dialer{Control: Control(UserTimeout(2*time.Second), ReceiveBuffer(8<<10))}
	c, err := dialer.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	is.NoErr(Set(raw, func(fd int) error {
		timeout, err := unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		is.NoErr(err)
		is.Equal(timeout, 2000)
		buffer, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF)
		is.NoErr(err)
		is.Equal(buffer, 16<<10)
		return nil
	}))
	is.Equal(Set(raw, func(int) error { return unix.EINVAL }, Backlog(1)), unix.EINVAL)
}
