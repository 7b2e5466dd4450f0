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

// maxEndAge is how old the end of a connection may be when its reader examines it. The endpoint
// may have been killed then, and an endpoint needs longer than that to listen again.
const maxEndAge = time.Second

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
	late    bool  // the end may be older than maxEndAge
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
	case e.late:
		return "its end was read too late to know whether the endpoint was killed"
	case e.host == hostRefuses:
		return "the endpoint accepts no other connection, so it may have been killed"
	case e.host == hostUnknown:
		return "whether the endpoint was killed cannot be found out"
	}
	// The machine of a killed process refuses connections. One that is gone is silent, but then
	// it cannot have ended the connection.
	return ""
}

// closeDelimited is a body that ends with its connection. Its reader may be slow, so the host is
// asked as soon as the end is noticed, which may be before it is read.
type closeDelimited struct {
	ctx    context.Context
	body   io.Reader
	res    *Response
	openAt time.Duration // when the connection had not ended yet
	ended  bool
	late   bool // when it was noticed that the connection had ended
	host   hostState
	err    error // of the first read that failed
}

// newCloseDelimited returns the body of res, for whose head the client has waited since began.
func newCloseDelimited(ctx context.Context, res *Response, began time.Duration) *closeDelimited {
	b := &closeDelimited{ctx: ctx, body: res.Body, res: res}
	if isOpen(res.conn.Conn) {
		b.openAt = res.client.standstills.now()
	} else {
		b.noticeEnd(res.client.standstills.since(began))
	}
	return b
}

func (b *closeDelimited) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	clock := b.res.client.standstills
	switch now := clock.now(); {
	case b.ended:
	case isOpen(b.res.conn.Conn):
		b.openAt = now
	default:
		b.noticeEnd(now-b.openAt > maxEndAge || clock.since(b.openAt))
	}
	n, err := b.body.Read(p)
	if !b.ended && !clock.since(b.openAt) {
		b.openAt = clock.now() // what has been read arrived while the reader waited
	}
	if errors.Is(err, io.EOF) {
		if !b.ended {
			b.noticeEnd(clock.since(b.openAt))
		}
		if missing := b.ending().incomplete(); missing != "" {
			err = eris.Wrapf(ErrIncomplete, "answer from %s: %s", b.res.conn.address, missing)
		}
	}
	b.err = err
	return n, err
}

// noticeEnd is called once, when the connection has ended.
func (b *closeDelimited) noticeEnd(late bool) {
	b.ended, b.late = true, late
	if !late && EndedInOrder(b.res.conn.Conn) {
		b.host = b.res.client.settledState(b.ctx, b.res.conn.address)
	}
}

// ending collects what is known when the end of the stream has been read. The end of the stream
// itself proves little: the kernel reports a reset once, and if the goroutine that sends the
// request gets that report, the one that reads the answer gets the end of the stream.
func (b *closeDelimited) ending() ending {
	cn := b.res.conn
	e := ending{inOrder: EndedInOrder(cn.Conn), late: b.late, host: b.host}
	// A request that was read to its end has been written by now, and what is not written yet
	// is not waited for.
	_ = cn.SetWriteDeadline(time.Unix(1, 0))
	e.sendErr = <-b.res.sent
	return e
}

// States of a TCP connection, of the kernel's tcp_states.h. After a reset the state is
// TCP_CLOSE.
const (
	tcpEstablished = 1
	tcpCloseWait   = 8 // the peer has ended its direction in order
)

// isOpen reports whether neither side has ended its direction of a TCP connection.
func isOpen(c net.Conn) bool {
	open := false
	_ = withDescriptor(c, func(fd int) { open = tcpState(fd) == tcpEstablished })
	return open
}

// EndedInOrder reports whether the peer of a TCP connection has ended its direction with all
// data sent to it acknowledged, and the connection has not been reset since. The end of the
// stream acknowledges all that the peer had received, so unacknowledged data means that it
// ended the stream before it had read that. It is false for connections of other kinds.
func EndedInOrder(c net.Conn) bool {
	inOrder := false
	err := withDescriptor(c, func(fd int) {
		if tcpState(fd) != tcpCloseWait {
			return
		}
		unsent, failed := unix.IoctlGetInt(fd, unix.TIOCOUTQ)
		inOrder = failed == nil && unsent == 0
	})
	return err == nil && inOrder
}

// tcpState returns the state of a connection, or 0 if it is none of TCP.
func tcpState(fd int) uint8 {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return info.State
}

// withDescriptor calls f with the descriptor of a connection, if it has one and is not closed.
func withDescriptor(c net.Conn, f func(fd int)) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return net.ErrClosed
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}
