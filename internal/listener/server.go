package listener

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/inbound"
)

const (
	// serverHeaderBytes is the limit of the HTTP server, which is fixed at its start. It is
	// above all limits that Config.Limits may return.
	serverHeaderBytes = MaxHeaderBytes + 64<<10
	// MaxHeaderBytes bounds the size of a head that Config.Limits may allow.
	MaxHeaderBytes = 1 << 20
	// serverTime makes the server set a deadline for heads and idle connections, which
	// Conn replaces by the limits in force.
	serverTime = time.Minute
)

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// Protect applies the bounds to the requests of srv, which must serve a listener of Wrap
// only.
func (l *Listener) Protect(srv *http.Server) *http.Server {
	srv.Handler = l.handler(srv.Handler)
	srv.ReadHeaderTimeout, srv.IdleTimeout, srv.MaxHeaderBytes = serverTime, serverTime, serverHeaderBytes
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	srv.ConnState = func(c net.Conn, s http.ConnState) {
		if conn, ok := c.(*Conn); ok && s == http.StateIdle {
			conn.becomeIdle()
		}
	}
	return srv
}

// handler checks the bounds of each request before next gets it. A refusal is always true,
// since the request is not passed on.
func (l *Listener) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		request := *r // the server uses the body of r itself
		body := c.beginRequest(&request, r)
		w, r = &responseWriter{ResponseWriter: w, body: body}, &request
		defer func() {
			if !body.ended {
				// The server reads the rest of a short body before the next request.
				_ = c.SetReadDeadline(time.Now().Add(lingerTime))
			}
			c.holdHead(0)
		}()
		if over := l.check(c, r); over != inbound.None {
			l.reached(over)
			status, header := l.refusal(over)
			for name, values := range header {
				w.Header()[name] = values
			}
			w.Header().Set("Connection", "close")
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(status)
			return
		}
		defer l.endRequest()
		next.ServeHTTP(w, r)
	})
}

// requestBuffer returns what the kernel may hold for a request in progress beside its
// connection.
func (l *Listener) requestBuffer() int64 {
	if !l.config.Outgoing {
		return 0
	}
	return inbound.BufferCost(inbound.EndpointBuffer)
}

// endRequest gives back what check took.
func (l *Listener) endRequest() {
	l.descriptors.Add(-1)
	l.buffers.Add(-l.requestBuffer())
}

// check takes what a request holds and returns the bound that it exceeds, or None. If it
// returns None, endRequest must be called.
func (l *Listener) check(c *Conn, r *http.Request) inbound.Bound {
	limits := l.config.Limits()
	var size, fields int64
	for name, values := range r.Header {
		fields += int64(len(values))
		for _, v := range values {
			size += int64(len(name) + len(v))
		}
	}
	switch {
	case c.surplus:
		return inbound.Connections
	case size > limits.HeaderBytes:
		return inbound.HeaderBytes
	case fields > limits.Fields:
		return inbound.Fields
	case !c.holdHead(inbound.HeadCost(size, fields) + inbound.RequestBytes):
		return inbound.Memory
	}
	l.descriptors.Add(1)
	if !l.room(&l.descriptors, l.config.Quota.Descriptors, 1, 0) {
		l.descriptors.Add(-1)
		return inbound.Requests
	}
	if !l.takeBuffer(l.requestBuffer()) {
		l.descriptors.Add(-1)
		return inbound.Memory
	}
	return inbound.None
}

// beginRequest records that the head of a request has been read, and replaces the body of
// r, a copy of the server's request, by one that records its end. It panics if the connection
// has been given up.
func (c *Conn) beginRequest(r, servers *http.Request) *body {
	b := &body{ReadCloser: r.Body, conn: c, request: servers, ended: r.Body == nil || r.Body == http.NoBody}
	to := inbound.Serving
	if !b.ended {
		to, r.Body, r.Trailer = inbound.Receiving, b, nil
	}
	c.requests.Add(1)
	c.endArriving()
	for {
		phase := c.inPhase()
		if phase == inbound.Ending {
			panic(http.ErrAbortHandler)
		}
		if c.change(phase, to) {
			return b
		}
	}
}

// BodyCopies is how often a body is held at most: in a buffer that has grown to the double,
// and in a message to another process, whose encoding takes a third more and whose buffer
// grows in the same way.
const BodyCopies = 6

// ErrMemory is returned by reads of a body for which the quota has no memory left.
var ErrMemory = eris.New("listener: callers hold all the memory that they may")

// body is the body of a request. While it is being read, the connection waits for its
// caller.
type body struct {
	io.ReadCloser
	conn    *Conn
	request *http.Request // of the server, which sets its trailer
	ended   bool
	arrived int64 // bytes
	large   bool  // a large receive buffer was asked for
	crowded bool  // the large buffer is wanted back
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.conn.reading.Store(true)
	n, err := b.ReadCloser.Read(p)
	b.conn.reading.Store(false)
	if err == nil && b.conn.owner.config.CountBodies && !b.conn.holdHead(b.conn.headCost+BodyCopies*int64(n)) {
		b.conn.owner.reached(inbound.Memory)
		return n, ErrMemory
	}
	if b.arrived += int64(n); err == nil && b.arrived >= inbound.LargeAfter && !b.large {
		b.large = true
		b.crowded = b.conn.enlargeBuffer() && b.conn.owner.buffers.Load() > b.conn.owner.config.Quota.LargeLimit()/2
	}
	if err == nil || b.ended {
		return n, err
	}
	if !b.conn.change(inbound.Receiving, inbound.Serving) && err == io.EOF {
		return n, errEnded // given up just before the end, so the request is not passed on
	}
	if b.ended = err == io.EOF; b.ended {
		// Nobody reads the trailer, whose fields cost many times their text.
		b.request.Trailer = nil
	}
	return n, err
}

// discardBuffered reads the part of the body that has arrived with the head, and reports
// whether that is the rest of it.
func (b *body) discardBuffered() bool {
	if b.request.Header.Get("Expect") != "" {
		return false // a read would ask the caller for the body
	}
	_ = b.conn.SetReadDeadline(longAgo)
	_, err := io.Copy(io.Discard, b.ReadCloser)
	if err != nil {
		return false
	}
	b.ended = true
	b.conn.change(inbound.Receiving, inbound.Serving)
	_ = b.conn.SetReadDeadline(time.Time{})
	return true
}

// responseWriter closes the connection after a response that does not need the rest of the
// body. The server would otherwise wait for the rest before it writes the response.
type responseWriter struct {
	http.ResponseWriter
	body  *body
	began bool
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

// begin is called before the head of the response is written.
func (w *responseWriter) begin() {
	if w.began {
		return
	}
	w.began = true
	if !w.body.ended && !w.body.discardBuffered() || w.body.crowded {
		w.Header().Set("Connection", "close")
	}
}

// Unwrap gives http.ResponseController access to the connection.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
