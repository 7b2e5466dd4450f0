package listener

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/inbound"
)

const (
	// writeBufferBytes is the send buffer of a connection, which the kernel doubles. A
	// larger one would hold back for seconds that a slow caller takes its response, since a
	// blocked write goes on only when a third of the buffer is free. It is above what a
	// link of 200 Mbit/s carries in a round trip of 4 ms.
	writeBufferBytes = 64 << 10
	// writePiece is the part of a write after which its progress counts.
	writePiece = 16 << 10
	// lingerTime and lingerBytes bound what is read after a refusal, so that the caller
	// reads it before the connection is reset.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// Conn is a connection of a caller. The HTTP server uses it like any other one; the
// goroutine of its Listener reads the atomic fields.
type Conn struct {
	net.Conn
	owner   *Listener
	address netip.Addr
	phase   atomic.Int32
	moved   atomic.Int64 // bytes that were read and written
	// writing and reading say that the process waits for the caller to take the response
	// or to send the body.
	writing, reading atomic.Bool
	// requests is the number of requests whose heads were read.
	requests atomic.Int64
	held     atomic.Int64 // bytes of the quota
	buffer   atomic.Int64 // bytes of the quota's buffers, given back when the connection is closed
	arriving atomic.Int64 // bytes of the quota's part for heads that arrive
	closed   atomic.Bool
	// surplus says that the connection is above the quota, so its first request is refused.
	surplus bool

	// The fields below belong to the goroutine of the HTTP server that serves the connection.
	head      inbound.Head
	headBegan time.Time
	limits    inbound.Limits // in force when the head began
	headCost  int64          // the part of held that is for the head
	armed     bool           // the deadline of the idle time is set
	refused   bool           // a refusal was written in place of the server's response
}

// inPhase returns what the connection does.
func (c *Conn) inPhase() inbound.Phase { return inbound.Phase(c.phase.Load()) }

// change changes the phase and reports whether the connection was in the phase from.
func (c *Conn) change(from, to inbound.Phase) bool {
	return c.phase.CompareAndSwap(int32(from), int32(to))
}

// errEnded is returned by reads of a connection that was given up. It is a time-out, which
// the HTTP server does not answer.
var errEnded error = os.ErrDeadlineExceeded

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		if errors.Is(err, os.ErrDeadlineExceeded) && c.inPhase() == inbound.Reading {
			c.owner.reached(inbound.HeaderTime)
		}
		return n, err
	}
	c.moved.Add(int64(n))
	switch phase := c.inPhase(); phase {
	case inbound.Opening, inbound.Idle:
		if !c.change(phase, inbound.Reading) {
			return 0, errEnded
		}
		c.beginHead()
		_ = c.Conn.SetReadDeadline(c.headBegan.Add(c.limits.HeaderTime))
	case inbound.Reading:
	default:
		return n, err
	}
	if c.head.Done() {
		return n, err
	}
	if over := c.head.Add(p[:n], c.limits); over != inbound.None {
		c.refuse(over)
		return 0, errEnded
	}
	if !c.holdArriving(c.head.Cost()) || !c.holdHead(c.head.Cost()) {
		c.refuse(inbound.Memory)
		return 0, errEnded
	}
	return n, err
}

// holdArriving sets what the head holds of the part of the quota for heads that have not
// arrived completely, and reports whether there was enough.
func (c *Conn) holdArriving(cost int64) bool {
	more := cost - c.arriving.Load()
	if !c.owner.take(&c.owner.arriving, c.owner.config.Quota.ArrivingLimit(), more) {
		return false
	}
	c.arriving.Add(more)
	if c.closed.Load() { // by the goroutine of the Listener
		c.endArriving()
	}
	return true
}

// endArriving gives back what holdArriving took.
func (c *Conn) endArriving() { c.owner.arriving.Add(-c.arriving.Swap(0)) }

// beginHead begins to follow a head.
func (c *Conn) beginHead() {
	c.head, c.headBegan, c.limits = inbound.Head{}, time.Now(), c.owner.config.Limits()
}

// holdHead sets what the head holds of the quota and reports whether there was enough.
func (c *Conn) holdHead(cost int64) bool {
	more := cost - c.headCost
	if more > 0 && !c.owner.takeBytes(more) {
		return false
	}
	if more < 0 {
		c.owner.bytes.Add(more)
	}
	c.held.Add(more)
	c.headCost = cost
	if c.closed.Load() { // by the goroutine of the Listener
		c.owner.bytes.Add(-c.held.Swap(0))
	}
	return true
}

// enlargeBuffer enlarges the receive buffer if the quota has room for it, and reports whether
// it did. The connection keeps it until it is closed: the kernel has told the caller that it
// may send as much.
func (c *Conn) enlargeBuffer() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	more := inbound.BufferCost(inbound.LargeBuffer) - c.buffer.Load()
	if !ok || more <= 0 || !c.owner.takeLargeBuffer(more) {
		return false
	}
	c.buffer.Add(more)
	if c.closed.Load() { // by the goroutine of the Listener
		c.owner.buffers.Add(-c.buffer.Swap(0))
		return false
	}
	_ = tcp.SetReadBuffer(inbound.LargeBuffer)
	return true
}

// refuse writes the refusal of a request whose head is not complete. The server writes
// nothing at this moment, since it has answered all requests before.
func (c *Conn) refuse(b inbound.Bound) {
	c.owner.reached(b)
	c.refused = true
	c.endArriving()
	c.holdHead(0)
	status, header := c.owner.refusal(b)
	var text strings.Builder
	text.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	header.Set("Connection", "close")
	header.Set("Content-Length", "0")
	_ = header.Write(&text)
	text.WriteString("\r\n")
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = c.Conn.Write([]byte(text.String()))
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (n int, err error) {
	c.writing.Store(true)
	defer c.writing.Store(false)
	for n < len(p) && err == nil {
		var m int
		m, err = c.Conn.Write(p[n:min(len(p), n+writePiece)])
		n += m
		c.moved.Add(int64(m))
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The HTTP server sets its own fixed times, which this
// replaces by the limits in force, by what the connection does: after a response the
// server first sets the idle time and, as soon as bytes of the next request are there,
// that of the head. Before the first byte it sets that of the head, but a caller may open
// a connection in advance, so the idle time holds.
func (c *Conn) SetReadDeadline(t time.Time) error {
	phase := c.inPhase()
	if phase == inbound.Ending {
		return c.Conn.SetReadDeadline(longAgo)
	}
	if !t.After(longAgo) { // none, or one that ends a read of the server at once
		return c.Conn.SetReadDeadline(t)
	}
	switch {
	case phase == inbound.Opening, phase == inbound.Idle && !c.armed:
		c.armed = true
		limit := c.owner.config.Limits().IdleTime
		if c.surplus {
			limit = c.owner.config.Limits().HeaderTime
		}
		t = time.Now().Add(limit)
	case phase == inbound.Idle: // the server had read the beginning of the head before
		if !c.change(inbound.Idle, inbound.Reading) {
			return c.Conn.SetReadDeadline(longAgo)
		}
		c.beginHead()
		t = c.headBegan.Add(c.limits.HeaderTime)
	case phase == inbound.Reading:
		t = c.headBegan.Add(c.limits.HeaderTime)
	}
	return c.Conn.SetReadDeadline(t)
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Close implements net.Conn.
func (c *Conn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	if c.refused {
		go func() {
			c.linger()
			c.release()
			c.owner.left(c)
		}()
		return nil
	}
	c.owner.left(c)
	return c.release()
}

// CloseWrite lets the HTTP server end its side first, so that a last response is read.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// linger reads what the caller still sends, so that the refusal reaches it.
func (c *Conn) linger() {
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	var buf [2 << 10]byte
	for read := 0; read < lingerBytes; {
		n, err := c.Conn.Read(buf[:])
		if err != nil {
			return
		}
		read += n
	}
}

// release closes the connection and gives back what it holds.
func (c *Conn) release() error {
	err := c.Conn.Close()
	c.owner.descriptors.Add(-1)
	c.owner.bytes.Add(-c.held.Swap(0))
	c.owner.buffers.Add(-c.buffer.Swap(0))
	c.endArriving()
	return err
}

// becomeIdle is called when a response is complete and the connection waits for the next
// request.
func (c *Conn) becomeIdle() {
	c.armed = false
	c.holdHead(0)
	for {
		phase := c.inPhase()
		if phase == inbound.Ending || c.change(phase, inbound.Idle) {
			return
		}
	}
}

// view returns what the goroutine of the Listener knows of the connection, but for the
// time without progress. A request whose handler does not read the body at present counts
// as read, since it does not wait for its caller.
func (c *Conn) view() inbound.View {
	v := inbound.View{Address: c.address, Phase: c.inPhase(), Unread: c.writing.Load(), Held: c.held.Load()}
	if v.Phase == inbound.Receiving && !c.reading.Load() {
		v.Phase = inbound.Serving
	}
	return v
}

// end gives the connection up and reports whether it still was as seen. The goroutine of
// the Listener calls it. A request whose body is being read is refused by its
// handler, which learns of it by a read that times out.
func (c *Conn) end(seen inbound.View) bool {
	phase := c.inPhase()
	if phase != seen.Phase && !(phase == inbound.Receiving && seen.Unread) || !c.change(phase, inbound.Ending) {
		return false
	}
	if seen.Phase == inbound.Receiving && !seen.Unread {
		_ = c.Conn.SetReadDeadline(longAgo)
		return true
	}
	if c.closed.CompareAndSwap(false, true) {
		_ = c.release()
	}
	return true
}
