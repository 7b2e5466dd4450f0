package origin

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// ErrIncomplete is returned by the body of an answer without a length unless it is proved to be
// complete.
var ErrIncomplete = eris.New("origin: connection ended before the answer was complete")

// hostState is what a host does with a new connection.
type hostState int

const (
	hostUnknown hostState = iota // the connection failed at this machine
	hostAccepts
	hostRefuses // no process listens
	hostSilent
)

// ending is what is known of the end of a connection that is also the end of an answer.
type ending struct {
	inOrder bool  // the endpoint ended its direction, and has read the request
	sendErr error // of the request
	host    hostState
}

// incomplete decides whether an answer without a length is complete: it returns "" if it is, or
// what is missing. docs/design/completeness.md gives the reasons.
func (e ending) incomplete() string {
	switch {
	case !e.inOrder:
		return "the connection did not end in order"
	case e.sendErr != nil:
		return "the request was not sent to its end: " + e.sendErr.Error()
	case e.host == hostRefuses:
		return "the endpoint accepts no other connection, so it may have been killed"
	case e.host == hostUnknown:
		return "whether the endpoint was killed cannot be found out"
	}
	// The machine of a killed process refuses connections. One that is gone is silent, but then
	// it cannot have ended the connection.
	return ""
}

// closeDelimited is a body that ends with its connection.
type closeDelimited struct {
	ctx  context.Context
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
		if missing := b.ending().incomplete(); missing != "" {
			err = eris.Wrapf(ErrIncomplete, "answer from %s: %s", b.res.conn.address, missing)
		}
	}
	b.err = err
	return n, err
}

// ending collects what is known when the end of the stream has been read. The end of the stream
// itself proves little: the kernel reports a reset once, and if the goroutine that sends the
// request gets that report, the one that reads the answer gets the end of the stream.
func (b *closeDelimited) ending() ending {
	cn := b.res.conn
	e := ending{inOrder: EndedInOrder(cn.Conn)}
	// A request that was read to its end has been written by now, and what is not written yet
	// is not waited for.
	_ = cn.SetWriteDeadline(time.Unix(1, 0))
	if e.sendErr = <-b.res.sent; e.inOrder && e.sendErr == nil {
		e.host = b.res.client.settledState(b.ctx, cn.address)
	}
	return e
}

// tcpCloseWait is the state of a TCP connection whose peer has ended its direction in order
// (TCP_CLOSE_WAIT of the kernel's tcp_states.h). After a reset the state is TCP_CLOSE.
const tcpCloseWait = 8

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
