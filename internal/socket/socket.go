// Package socket sets options of TCP sockets before they are connected or listen.
package socket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Option sets an option of the socket with the given descriptor.
type Option func(fd int) error

// UserTimeout returns an option that sets TCP_USER_TIMEOUT: the kernel closes a connection
// whose peer acknowledges nothing for that long, for example because its machine or the
// network failed.
func UserTimeout(after time.Duration) Option {
	return func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after/time.Millisecond))
	}
}

// ReceiveBuffer returns an option that sets the size of the receive buffer in bytes, of which
// the kernel takes the double. The kernel no longer adapts it to what the peer sends.
func ReceiveBuffer(size int) Option {
	return func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, size) }
}

// Backlog returns an option that sets how many connections of a listening socket wait to be
// accepted.
func Backlog(connections int) Option {
	return func(fd int) error { return unix.Listen(fd, connections) }
}

// Set sets options of a socket and returns the first error.
func Set(raw syscall.RawConn, options ...Option) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		for _, option := range options {
			if failed = option(int(fd)); failed != nil {
				return
			}
		}
	})
	if err != nil {
		return err
	}
	return failed
}

// Control returns a function that sets options, for net.Dialer and net.ListenConfig.
func Control(options ...Option) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error { return Set(raw, options...) }
}
