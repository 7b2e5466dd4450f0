package origin

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// ErrIncomplete is returned by the body of an answer without a length whose connection ended
// in another way than after the whole request and in order.
var ErrIncomplete = eris.New("origin: connection ended before the answer was complete")

// tcpCloseWait is the state of a TCP connection whose peer has ended its direction in order
// (TCP_CLOSE_WAIT of the kernel's tcp_states.h). After a reset the state is TCP_CLOSE.
const tcpCloseWait = 8

// closeDelimited is a body that ends with its connection.
type closeDelimited struct {
	body io.Reader
	res  *Response
	err  error // of the first read that failed
}

func (b *closeDelimited) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.body.Read(p)
	if errors.Is(err, io.EOF) {
		if failed := b.res.checkEnd(); failed != nil {
			err = failed
		}
	}
	b.err = err
	return n, err
}

// checkEnd returns ErrIncomplete unless the request was sent to its end and the endpoint ended
// the connection in order. The end of the stream does not prove that: the kernel reports a
// reset once, and if the goroutine that sends the request gets that report, the one that reads
// the answer gets the end of the stream.
func (r *Response) checkEnd() error {
	if !EndedInOrder(r.conn.Conn) {
		return eris.Wrapf(ErrIncomplete, "answer from %s", r.conn.address)
	}
	// A request that was read to its end has been written by now, and what is not written yet
	// is not waited for.
	_ = r.conn.SetWriteDeadline(time.Unix(1, 0))
	if err := <-r.sent; err != nil {
		return eris.Wrapf(ErrIncomplete, "answer from %s: %v", r.conn.address, err)
	}
	return nil
}

// EndedInOrder reports whether the peer of a TCP connection has ended its direction with all
// data sent to it acknowledged, and the connection has not been reset since. The end of the
// stream acknowledges all that the peer had received, so unacknowledged data means that it
// ended the stream before it had read that. It is false for connections of other kinds.
func EndedInOrder(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	inOrder := false
	err = raw.Control(func(fd uintptr) {
		info, failed := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if failed != nil || info.State != tcpCloseWait {
			return
		}
		unsent, failed := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
		inOrder = failed == nil && unsent == 0
	})
	return err == nil && inOrder
}
