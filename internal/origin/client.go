// Package origin is an HTTP/1.1 client for endpoints. Unlike the transport of
// net/http it never resends a request on its own, reports whether any byte of a
// request was sent, and returns an answer only for the request to which it
// belongs: an endpoint may send a second answer to an earlier request on the same
// connection.
package origin

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/inbound"
	"github.com/goldcrestturn/goldcrestturn/internal/memory"
	"github.com/goldcrestturn/goldcrestturn/internal/socket"
)

// Errors of Client.Do. ErrNotSent means that no byte of the request was sent, and
// ErrCancelledUnsent the same for a request whose context had ended by then.
var (
	ErrNotSent            = eris.New("origin: request was not sent")
	ErrCancelledUnsent    = eris.New("origin: request was cancelled before it was sent")
	ErrConnectionFailed   = eris.New("origin: connection failed after the request was sent")
	ErrUnexpectedResponse = eris.New("origin: endpoint sent something other than an answer to the request")
	ErrReadTimeout        = eris.New("origin: endpoint was silent for too long")
)

const (
	// dialTimeout is far longer than a round trip between data centres of a region.
	dialTimeout = 700 * time.Millisecond
	// refusalTimeout bounds the check whether a host refuses connections. A caller waits
	// for its result.
	refusalTimeout = 100 * time.Millisecond
	// endingTime is how long the kernel may take from closing the first connections of a
	// killed process until it closes its listener.
	endingTime = 30 * time.Millisecond
	// tcpUserTimeout is the TCP_USER_TIMEOUT of connections: how long the endpoint
	// may acknowledge nothing before the kernel ends the connection. ackWatch resets it
	// earlier.
	tcpUserTimeout = 2 * ackTimeout
	// writeTimeout bounds the time to send a request to an endpoint that reads
	// slowly.
	writeTimeout = 3 * time.Second
	// maxStaleAnswers is the maximum number of answers to earlier requests, or of
	// informational ones, that are skipped before the answer to a request.
	maxStaleAnswers = 2
	bufferBytes     = 4096
	// maxHeadBytes bounds the heads that are read before the answer to a request has
	// begun, and maxStaleBytes the bodies that are skipped. An endpoint in trouble may
	// send bytes without end.
	maxHeadBytes  = 64 << 10
	maxStaleBytes = 1 << 20
	// maxInlineBody is the size of a body that a connection without unread data
	// takes without waiting for the endpoint.
	maxInlineBody = 4096
)

// Request is a request to an endpoint.
type Request struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether an answer with this header belongs to the request.
	Matches func(http.Header) bool
	// MaxIdle is the maximum idle time of a reused connection; 0 requires a new
	// connection.
	MaxIdle time.Duration
	// ResponseHeaderTimeout bounds the wait for the status line and the header of
	// the answer; 0 means no bound.
	ResponseHeaderTimeout time.Duration
	// ExtendWait, if not nil, is called when that time has passed and returns how much
	// longer to wait, or 0 to give up.
	ExtendWait func() time.Duration
	// Memory holds the bytes of the head of the answer; nil means no bound beyond that of
	// one head.
	Memory *memory.Account
	// Trace, if not nil, is filled in by Client.Do, also when it fails.
	Trace *Trace
	// Avoid lists the connections that carried earlier attempts of the same request, by
	// Trace.Connection. All attempts match the same answers, so on such a connection a
	// second copy of an earlier answer would be taken for the answer to this attempt.
	Avoid []uint64
}

// Trace describes over which connection a request was sent and what arrived there.
type Trace struct {
	Connection uint64 // number of the connection at its client, from 1; 0 if there was none
	Reused     bool   // the connection had carried other requests
	Skipped    int    // answers to other requests that arrived first
	Status     int    // of the answer; 0 if none arrived
}

// Response is an answer whose body has not been read yet. Close or Release must be
// called.
type Response struct {
	Status     int
	Header     http.Header
	Body       io.Reader
	Length     int64 // of the body; negative if it is not known
	conn       *conn
	client     *Client
	stopCancel func() bool
	released   bool
	unframed   bool         // the body ends with the connection, as closeDelimited checks
	sent       <-chan error // result of sending the request
	acks       *ackWatch
	closeAfter bool // the endpoint closes the connection after the answer
}

// Client sends requests to endpoints and keeps idle connections to them.
type Client struct {
	idle        *idlePool
	dialer      net.Dialer
	dialed      atomic.Uint64 // connections so far
	standstills *standstills
}

// NewClient returns a client that has no connections yet.
func NewClient() *Client { return NewClientWithIdle(maxIdlePerEndpoint) }

// NewClientWithIdle returns a client that keeps at most maxIdle idle connections to each
// endpoint.
func NewClientWithIdle(maxIdle int) *Client {
	return &Client{idle: newIdlePool(maxIdle), standstills: newStandstills(), dialer: net.Dialer{
		Timeout:   dialTimeout,
		Control:   socket.Control(socket.UserTimeout(tcpUserTimeout), socket.ReceiveBuffer(inbound.EndpointBuffer)),
		KeepAlive: -1,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		},
	}}
}

// errTooLong is returned while more bytes than allowed are read.
var errTooLong = eris.New("origin: more bytes than an answer may have before its body")

// limitedReader reads from a connection until left bytes have been read.
type limitedReader struct {
	r      net.Conn
	left   int64
	memory *memory.Account // holds what is read
	held   int64           // by memory, for the heads that are read
	// extend is called when the read timeout has passed and returns by how much to extend
	// it, or 0 to fail; nil means never. Readers above this one, such as that of a chunked
	// body, cannot continue after an error.
	extend func() time.Duration
}

func (l *limitedReader) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, errTooLong
	}
	n, err := l.readExtended(b[:min(int64(len(b)), l.left)])
	l.left -= int64(n)
	if l.memory != nil && n > 0 {
		if err := l.memory.Hold(int64(n)); err != nil {
			return 0, err
		}
		l.held += int64(n)
	}
	return n, err
}

// readExtended reads and extends the read timeout as extend says.
func (l *limitedReader) readExtended(b []byte) (int, error) {
	for {
		n, err := l.r.Read(b)
		if n > 0 || l.extend == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		d := l.extend()
		if d <= 0 || l.r.SetReadDeadline(time.Now().Add(d)) != nil {
			return n, err
		}
	}
}

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	limited   *limitedReader
	r         *bufio.Reader // reads from limited
	address   string
	number    uint64 // at its client, from 1
	idleSince time.Time
	keepAlive time.Duration // idle time that the endpoint allows
	reused    bool
	written   atomic.Int64 // bytes of all requests
	sent      atomic.Bool  // the request was written to its end
}

// Write counts what is written.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Do sends req to address and waits for the head of the answer. If ctx ends before
// the body has been read, the connection is closed.
func (c *Client) Do(ctx context.Context, address string, req *Request) (*Response, error) {
	cn, err := c.connect(ctx, address, req)
	if err != nil {
		return nil, err
	}
	trace := cmp.Or(req.Trace, new(Trace))
	*trace = Trace{Connection: cn.number, Reused: cn.reused}
	cn.setReadTimeout(req.ResponseHeaderTimeout, req.ExtendWait)
	c.standstills.begin()
	began := c.standstills.now()
	stop := context.AfterFunc(ctx, cn.giveUp)
	sent := cn.startSend(req)
	acks := cn.watchAcks()
	res, err := cn.receive(req, trace)
	if err != nil {
		acks.stop()
		stop()
		cn.giveUp()
		<-sent
		c.standstills.end()
		if ctx.Err() != nil {
			return nil, eris.Wrap(ctx.Err(), "origin: request cancelled")
		}
		c.idle.closeAll(address)
		if acks.held.Load() {
			err = eris.Wrapf(ErrConnectionFailed, "%s acknowledged nothing for %v", address, ackTimeout)
		}
		return nil, err
	}
	cn.setReadTimeout(0, nil) // the timeout is for the head only, and the connection may be reused
	res.conn, res.client, res.stopCancel, res.sent, res.acks = cn, c, stop, sent, acks
	if res.unframed {
		res.Body = newCloseDelimited(ctx, res, began)
	}
	return res, nil
}

// Refuses reports whether the host at address refuses connections, as it does when no
// process listens there. It is false if a connection can be made and if nothing answers.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	nc, state := c.probe(ctx, address)
	if nc != nil {
		_ = nc.Close()
	}
	return state == hostRefuses
}

// settledState returns what the host at address does with connections, also if its process is
// just being ended: the kernel closes the listener of a killed process some time after its
// first connections, and resets connections that the process has not accepted.
func (c *Client) settledState(ctx context.Context, address string) hostState {
	nc, state := c.probe(ctx, address)
	if state != hostAccepts {
		return state
	}
	_ = nc.SetReadDeadline(time.Now().Add(endingTime))
	_, err := nc.Read(make([]byte, 1))
	_ = nc.Close()
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return hostAccepts
	}
	// A process that is full resets connections too, but then it accepts others.
	if nc, state = c.probe(ctx, address); nc != nil {
		_ = nc.Close()
	}
	return state
}

// probe connects to the host at address. The connection is nil unless the host accepts it.
func (c *Client) probe(ctx context.Context, address string) (net.Conn, hostState) {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	nc, err := c.dialer.DialContext(ctx, "tcp", address)
	var timeout net.Error
	switch {
	case err == nil:
		return nc, hostAccepts
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, hostRefuses
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, hostSilent
	}
	return nil, hostUnknown
}

// connect returns an idle connection to address if one may be reused, or a new one.
func (c *Client) connect(ctx context.Context, address string, req *Request) (*conn, error) {
	if req.MaxIdle > 0 {
		if cn := c.idle.get(address, req.MaxIdle, req.Avoid); cn != nil {
			return cn, nil
		}
	}
	nc, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", ErrCancelledUnsent, ctx.Err())
		}
		c.idle.closeAll(address)
		return nil, eris.Wrapf(ErrNotSent, "no connection to %s: %v", address, err)
	}
	cn := newConn(nc, address)
	cn.number = c.dialed.Add(1)
	return cn, nil
}

func newConn(nc net.Conn, address string) *conn {
	limited := &limitedReader{r: nc}
	return &conn{Conn: nc, limited: limited, r: bufio.NewReaderSize(limited, bufferBytes), address: address}
}

// giveUp resets the connection. If it were closed, the kernel would go on sending what a
// partition holds up, and the endpoint would run the request when nobody waits for it any more.
func (c *conn) giveUp() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// startSend sends req and returns a channel that receives the result. It returns
// before the whole request is sent if the body is long, since an endpoint may answer
// before it has read all of it. Sending a short request first makes its result known
// when the answer arrives, so that the connection can be reused.
func (c *conn) startSend(req *Request) <-chan error {
	sent := make(chan error, 1)
	c.sent.Store(false)
	if len(req.Body) <= maxInlineBody {
		sent <- c.send(req)
	} else {
		go func() { sent <- c.send(req) }()
	}
	return sent
}

// send writes req to the connection.
func (c *conn) send(req *Request) error {
	r := http.Request{
		Method: req.Method, Host: req.Host, Header: req.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	defer c.sent.Store(true)
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	w := bufio.NewWriterSize(c, bufferBytes)
	writeHead(w, &r, req.Target, len(req.Body))
	_, _ = w.Write(req.Body)
	return eris.Wrap(w.Flush(), "origin: request not sent completely")
}

// writeHead writes the request line and the header. http.Request.Write is not used
// because it would re-encode the target, and endpoints must get the caller's bytes.
func writeHead(w *bufio.Writer, r *http.Request, target string, length int) {
	_, _ = w.WriteString(r.Method + " " + target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if length > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		r.Header.Set("Content-Length", strconv.Itoa(length))
	}
	_ = r.Header.Write(w)
	_, _ = w.WriteString("\r\n")
}

// receive reads answers until one belongs to req, and returns it once its head has
// been read. The reader of its body sets its own limit. trace counts what was skipped.
func (c *conn) receive(req *Request, trace *Trace) (res *Response, err error) {
	sent := &http.Request{Method: req.Method}
	c.limited.left, c.limited.held = maxHeadBytes, 0
	defer func() {
		c.limited.left = math.MaxInt64
		if err != nil {
			req.Memory.Drop(c.limited.held)
		}
	}()
	for range maxStaleAnswers + 1 {
		c.limited.memory = req.Memory
		head, err := http.ReadResponse(c.r, sent)
		c.limited.memory = nil
		if errors.Is(err, memory.ErrExhausted) {
			return nil, eris.Wrapf(err, "head of an answer from %s", c.address)
		}
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return nil, eris.Wrapf(ErrReadTimeout, "no answer from %s", c.address)
			}
			if isMalformed(err) {
				return nil, eris.Wrapf(ErrUnexpectedResponse, "answer from %s: %v", c.address, err)
			}
			return nil, eris.Wrapf(ErrConnectionFailed, "no answer from %s: %v", c.address, err)
		}
		// No request asks to switch protocols.
		if !ValidStatus(head.StatusCode) || head.StatusCode == http.StatusSwitchingProtocols {
			return nil, eris.Wrapf(ErrUnexpectedResponse, "answer from %s has the status %q", c.address, head.Status)
		}
		if head.StatusCode < http.StatusOK {
			continue
		}
		if !req.Matches(head.Header) {
			trace.Skipped++
			if !framed(head) { // the answer to this request cannot follow it
				return nil, eris.Wrapf(ErrUnexpectedResponse, "answer from %s is to another request", c.address)
			}
			left := c.limited.left
			c.limited.left = maxStaleBytes
			if _, err := io.Copy(io.Discard, head.Body); err != nil {
				return nil, eris.Wrapf(ErrUnexpectedResponse, "answer from %s is to another request", c.address)
			}
			c.limited.left = left
			continue
		}
		trace.Status = head.StatusCode
		c.keepAlive = keepAliveTimeout(head.Header)
		length := head.ContentLength
		if head.Body == http.NoBody {
			length = 0
		}
		return &Response{Status: head.StatusCode, Header: head.Header, Body: head.Body, Length: length,
			unframed: !framed(head), closeAfter: head.Close}, nil
	}
	return nil, eris.Wrapf(ErrUnexpectedResponse, "answers from %s are to other requests", c.address)
}

// ValidStatus reports whether a status is one of HTTP. net/http accepts any three digits, also
// with a sign.
func ValidStatus(status int) bool { return status >= 100 && status <= 599 }

// isMalformed reports whether err of http.ReadResponse means that the bytes are
// not a valid answer, rather than that the connection failed.
func isMalformed(err error) bool {
	var ne net.Error
	return !errors.As(err, &ne) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, net.ErrClosed)
}

// framed reports whether the end of the body is marked other than by the end of the
// connection.
func framed(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// Framed reports whether the end of the body is marked other than by the end of the
// connection, which is also what a crash of the endpoint looks like.
func (r *Response) Framed() bool { return !r.unframed }

// SetReadTimeout bounds the wait for the next bytes of the body, starting now; 0
// means no bound. extend, if not nil, is called by the reader when that time has passed
// and returns how much longer to wait, or 0 to give up.
func (r *Response) SetReadTimeout(d time.Duration, extend func() time.Duration) {
	r.conn.setReadTimeout(d, extend)
}

func (c *conn) setReadTimeout(d time.Duration, extend func() time.Duration) {
	c.limited.extend = extend
	if d == 0 {
		_ = c.SetReadDeadline(time.Time{})
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(d))
}

// Release returns the connection to the pool if complete is true, which means that
// the body was read to its end without an error, and nothing else prevents its
// reuse. Otherwise it closes the connection.
func (r *Response) Release(complete bool) {
	if r.released {
		return
	}
	r.released = true
	r.acks.stop()
	r.client.standstills.end()
	alive := r.stopCancel()
	r.conn.setReadTimeout(0, nil)
	if complete && alive && !r.unframed && !r.closeAfter && r.conn.r.Buffered() == 0 && r.fullySent() {
		r.client.idle.put(r.conn)
		return
	}
	if complete {
		_ = r.conn.Close()
	} else {
		r.conn.giveUp()
	}
}

// fullySent reports whether the whole request has been sent. An endpoint may answer
// before it has read all of a long body.
func (r *Response) fullySent() bool {
	select {
	case err := <-r.sent:
		return err == nil
	default:
		return false
	}
}

// Close discards the rest of the answer. The connection is closed when it returns,
// so that the endpoint stops working on the request.
func (r *Response) Close() { r.Release(false) }
