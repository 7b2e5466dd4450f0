// Package origin speaks HTTP/1.1 to endpoints. Unlike the transport of net/http
// it never sends a request twice by itself, tells whether any byte of a request
// left, and takes an answer only for the request that it belongs to: an
// endpoint may send a second answer to an earlier request on the connection.
package origin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Causes of a failed exchange. Unsent means that no byte of the request left.
var (
	ErrNotSent            = eris.New("origin: request was not sent")
	ErrConnectionFailed   = eris.New("origin: connection failed after the request was sent")
	ErrUnexpectedResponse = eris.New("origin: endpoint sent something other than an answer to the request")
	ErrReadTimeout        = eris.New("origin: endpoint was silent for too long")
)

const (
	// dialTimeout is far above the round trip between data centres of a region.
	dialTimeout = 700 * time.Millisecond
	// silenceTime ends a connection whose peer acknowledges nothing.
	silenceTime = 1000 * time.Millisecond
	// writeTime bounds the sending of one request to a peer that does not read.
	writeTime = 3 * time.Second
	// maxStale is the number of answers to earlier requests that are skipped.
	maxStale = 2
	bufSize  = 4096
)

// Request is one request as it leaves for an endpoint.
type Request struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether an answer belongs to the request.
	Matches func(http.Header) bool
	// MaxIdle is the longest time for which a reused connection may have been
	// idle; 0 asks for a new connection.
	MaxIdle time.Duration
	// ResponseHeaderTimeout bounds the wait for the head of the answer; 0 means no bound.
	ResponseHeaderTimeout time.Duration
}

// Response is an answer whose body is still to be read. Close must be called.
type Response struct {
	Status     int
	Header     http.Header
	Body       io.Reader
	conn       *conn
	pool       *Client
	stop       func() bool
	done       bool
	unframed   bool
	sent       <-chan error
	wantsClose bool
}

// Client keeps idle connections to endpoints.
type Client struct {
	idle   *idlePool
	dialer net.Dialer
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{idle: newIdlePool(), dialer: net.Dialer{
		Timeout:   dialTimeout,
		Control:   TCPUserTimeout(silenceTime),
		KeepAlive: -1,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		},
	}}
}

type conn struct {
	net.Conn
	r       *bufio.Reader
	address string
	since   time.Time     // idle since
	keep    time.Duration // idle time that the endpoint grants
	reused  bool
}

// Do sends req to address and waits for the head of its answer. The connection
// is closed when ctx ends before the body has been read.
func (c *Client) Do(ctx context.Context, address string, req *Request) (*Response, error) {
	cn, err := c.connect(ctx, address, req.MaxIdle)
	if err != nil {
		return nil, err
	}
	cn.within(req.ResponseHeaderTimeout)
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	sent := make(chan error, 1)
	go func() { sent <- cn.send(req) }()
	res, err := cn.receive(req)
	if err != nil {
		stop()
		_ = cn.Close()
		<-sent
		if ctx.Err() != nil {
			return nil, eris.Wrap(ctx.Err(), "origin: given up")
		}
		c.idle.drop(address)
		return nil, err
	}
	cn.within(0) // the bound was for the head, and the connection may be used again
	res.conn, res.pool, res.stop, res.sent = cn, c, stop, sent
	return res, nil
}

func (c *Client) connect(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	if maxIdle > 0 {
		if cn := c.idle.take(address, maxIdle); cn != nil {
			return cn, nil
		}
	}
	nc, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		if ctx.Err() != nil {
			return nil, eris.Wrap(ctx.Err(), "origin: given up")
		}
		c.idle.drop(address)
		return nil, eris.Wrapf(ErrNotSent, "no connection to %s: %v", address, err)
	}
	return &conn{Conn: nc, r: bufio.NewReaderSize(nc, bufSize), address: address}, nil
}

func (c *conn) send(req *Request) error {
	r := http.Request{
		Method: req.Method, Host: req.Host, Header: req.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTime))
	w := bufio.NewWriterSize(c, bufSize)
	writeHead(w, &r, req.Target, len(req.Body))
	_, _ = w.Write(req.Body)
	return eris.Wrap(w.Flush(), "origin: request")
}

// writeHead writes the request line and the header. http.Request.Write would
// encode the target anew, and endpoints must get the caller's bytes.
func writeHead(w *bufio.Writer, r *http.Request, target string, length int) {
	_, _ = w.WriteString(r.Method + " " + target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if length > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		r.Header.Set("Content-Length", strconv.Itoa(length))
	}
	_ = r.Header.Write(w)
	_, _ = w.WriteString("\r\n")
}

// receive reads heads until one belongs to the request.
func (c *conn) receive(req *Request) (*Response, error) {
	like := &http.Request{Method: req.Method}
	for range maxStale + 1 {
		head, err := http.ReadResponse(c.r, like)
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return nil, eris.Wrapf(ErrReadTimeout, "no answer from %s", c.address)
			}
			if isGarbled(err) {
				return nil, eris.Wrapf(ErrUnexpectedResponse, "answer from %s: %v", c.address, err)
			}
			return nil, eris.Wrapf(ErrConnectionFailed, "no answer from %s: %v", c.address, err)
		}
		if head.StatusCode < http.StatusOK {
			continue
		}
		if !req.Matches(head.Header) {
			if _, err := io.Copy(io.Discard, head.Body); err != nil || !framed(head) {
				return nil, eris.Wrapf(ErrUnexpectedResponse, "answer from %s is to another request", c.address)
			}
			continue
		}
		c.keep = keepTime(head.Header)
		return &Response{Status: head.StatusCode, Header: head.Header, Body: head.Body,
			unframed: !framed(head), wantsClose: head.Close}, nil
	}
	return nil, eris.Wrapf(ErrUnexpectedResponse, "answers from %s are to other requests", c.address)
}

// isGarbled tells bytes that are no answer from a connection that ended.
func isGarbled(err error) bool {
	var ne net.Error
	return !errors.As(err, &ne) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, net.ErrClosed)
}

func framed(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// SetReadTimeout bounds the time until the next bytes of the body; 0 means no bound.
func (r *Response) SetReadTimeout(d time.Duration) { r.conn.within(d) }

func (c *conn) within(d time.Duration) {
	if d == 0 {
		_ = c.SetReadDeadline(time.Time{})
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(d))
}

// Release returns the connection to the pool if the whole body was read without
// an error. A connection that may hold other bytes is closed.
func (r *Response) Release(whole bool) {
	if r.done {
		return
	}
	r.done = true
	alive := r.stop()
	r.conn.within(0)
	if whole && alive && !r.unframed && !r.wantsClose && r.conn.r.Buffered() == 0 && r.wasSent() {
		r.pool.idle.put(r.conn)
		return
	}
	_ = r.conn.Close()
}

// wasSent reports whether the request left whole. An endpoint may answer before
// it has read a long body.
func (r *Response) wasSent() bool {
	select {
	case err := <-r.sent:
		return err == nil
	default:
		return false
	}
}

// Close abandons what is left of the answer. It returns once the connection is
// closed, so that the endpoint stops work.
func (r *Response) Close() { r.Release(false) }
