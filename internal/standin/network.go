package standin

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// Fault is a kind of network fault.
type Fault int

// The kinds of network fault.
const (
	FaultRefuse      Fault = iota // the connection is refused
	FaultLoseRequest              // the connection breaks before the server reads the request
	FaultLoseAnswer               // the server handles the request and the answer is lost
	FaultTruncate                 // the connection breaks after some bytes of the answer; the last kind that loses something
	FaultLate                     // the request arrives late
	FaultDuplicate                // the request arrives twice; one of the answers is discarded
	FaultCross                    // two answers arrive on each other's connection
	FaultRepeat                   // a chunk of an answer arrives twice
	FaultForeign                  // a chunk of another answer arrives between two chunks
	FaultSwap                     // two chunks of an answer arrive in the wrong order
	FaultCount                    // number of kinds
)

// Faults are the probabilities of faults, per call or, for FaultRepeat,
// FaultForeign and FaultSwap, per chunk. A chunk is what the handler passes to
// one call of Write.
type Faults [FaultCount]float64

// Properties of the fake network.
const (
	lateDelay         = 2 * time.Second       // delay of a request with FaultLate
	crossTimeout      = 50 * time.Millisecond // time for which an answer with FaultCross waits for another one
	maxTruncateOffset = 2000                  // FaultTruncate breaks the connection before this byte of the answer
	socketChunks      = 32                    // chunks buffered between writer and reader before the writer blocks
)

// Network is a fake network: a RoundTripper that calls handlers in the same
// process. Its faults depend only on the seed and the number of the call.
type Network struct {
	seed      uint64
	latency   time.Duration
	faults    atomic.Pointer[Faults]
	hosts     atomic.Pointer[map[string]*Host]
	calls     atomic.Uint64
	counts    [FaultCount]atomic.Int64
	crossings chan crossedAnswer
	lastChunk atomic.Pointer[[]byte] // the last chunk of any answer, for FaultForeign
}

// crossedAnswer is an answer that waits for another one to be swapped with.
type crossedAnswer struct {
	answer *http.Response
	other  chan *http.Response
}

// NewNetwork returns a network without hosts and faults.
func NewNetwork(seed uint64, latency time.Duration) *Network {
	n := &Network{seed: seed, latency: latency, crossings: make(chan crossedAnswer)}
	n.faults.Store(&Faults{})
	n.hosts.Store(&map[string]*Host{})
	return n
}

// Host is one address of the network.
type Host struct {
	handler http.Handler
	ctx     context.Context
	kill    context.CancelFunc
	gate    atomic.Pointer[chan struct{}] // closed while the host is not paused
}

// Add makes handler reachable at address. It is not safe for concurrent use.
func (n *Network) Add(address string, handler http.Handler) *Host {
	h := &Host{handler: handler}
	h.ctx, h.kill = context.WithCancel(context.Background())
	h.Resume()
	hosts := map[string]*Host{address: h}
	for a, other := range *n.hosts.Load() {
		if a != address {
			hosts[a] = other
		}
	}
	n.hosts.Store(&hosts)
	return h
}

// Close breaks all connections and refuses new ones.
func (n *Network) Close() {
	for _, h := range *n.hosts.Load() {
		h.Kill()
	}
}

// Kill breaks all connections of the host and refuses new ones.
func (h *Host) Kill() { h.kill() }

// Pause blocks new requests until Resume.
func (h *Host) Pause() {
	select {
	case <-*h.gate.Load():
		gate := make(chan struct{})
		h.gate.Store(&gate)
	default: // a second Pause has no effect
	}
}

// Resume ends a pause.
func (h *Host) Resume() {
	old := h.gate.Load()
	gate := make(chan struct{})
	close(gate)
	h.gate.Store(&gate)
	if old != nil {
		select {
		case <-*old:
		default:
			close(*old)
		}
	}
}

// lossesKey is the key of the counter in the context of a request; see CountLosses.
type lossesKey struct{}

// CountLosses returns a context for requests that adds to n each fault by which the network
// itself loses a request or an answer, in whole or in part.
func CountLosses(ctx context.Context, n *atomic.Int64) context.Context {
	return context.WithValue(ctx, lossesKey{}, n)
}

// SetFaults replaces the probabilities of faults.
func (n *Network) SetFaults(f Faults) { n.faults.Store(&f) }

// Injected returns the number of faults of a kind that were injected so far.
func (n *Network) Injected(f Fault) int64 { return n.counts[f].Load() }

var errConnReset = errors.New("connection reset by the fake network")

// RoundTrip implements http.RoundTripper.
func (n *Network) RoundTrip(req *http.Request) (*http.Response, error) {
	call := n.calls.Add(1)
	c := &netCall{net: n, rng: rand.New(rand.NewPCG(n.seed, call)), faults: n.faults.Load()}
	c.losses, _ = req.Context().Value(lossesKey{}).(*atomic.Int64)
	host := (*n.hosts.Load())[req.URL.Host]
	if host == nil || host.ctx.Err() != nil || c.inject(FaultRefuse) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errConnReset}
	}
	delay := n.latency
	if c.inject(FaultLate) {
		delay += lateDelay
	}
	if err := simulateLatency(req.Context(), delay); err != nil {
		return nil, err
	}
	if c.inject(FaultLoseRequest) {
		return nil, errConnReset
	}
	var body []byte
	if req.Body != nil {
		body, _ = io.ReadAll(req.Body)
		req.Body.Close()
	}
	if c.inject(FaultDuplicate) {
		go c.fork(1).serve(host, req, body, context.WithoutCancel(req.Context())).discard()
	}
	answer := c.fork(2).serve(host, req, body, req.Context())
	return c.deliver(req, answer)
}

// netCall is one call with its own source of randomness.
type netCall struct {
	net    *Network
	rng    *rand.Rand
	faults *Faults
	losses *atomic.Int64 // counts the faults that lose something; may be nil
}

// fork returns a copy of the call with its own source of randomness, for use in
// the goroutine of the server.
func (c *netCall) fork(stream uint64) *netCall {
	return &netCall{net: c.net, rng: rand.New(rand.NewPCG(c.rng.Uint64(), stream)), faults: c.faults, losses: c.losses}
}

// inject decides whether fault f is injected and counts it.
func (c *netCall) inject(f Fault) bool {
	if c.faults[f] == 0 || c.rng.Float64() >= c.faults[f] {
		return false
	}
	c.net.counts[f].Add(1)
	if c.losses != nil && f <= FaultTruncate {
		c.losses.Add(1)
	}
	return true
}

// serve calls the handler in a new goroutine.
func (c *netCall) serve(host *Host, req *http.Request, body []byte, ctx context.Context) *netAnswer {
	ctx, cancel := context.WithCancel(ctx)
	a := &netAnswer{call: c, header: http.Header{}, headerSent: make(chan struct{}), handlerDone: make(chan struct{}),
		chunks: make(chan []byte, socketChunks), closed: ctx.Done(), cancel: cancel, truncateAt: -1}
	if c.inject(FaultTruncate) {
		a.truncateAt = c.rng.IntN(maxTruncateOffset)
	}
	in := req.Clone(ctx)
	in.Body, in.ContentLength, in.RequestURI = io.NopCloser(bytes.NewReader(body)), int64(len(body)), req.URL.RequestURI()
	stop := context.AfterFunc(host.ctx, cancel)
	go func() {
		defer stop()
		defer close(a.handlerDone)
		select {
		case <-*host.gate.Load():
		case <-ctx.Done():
			a.aborted = true
			return
		}
		defer func() {
			if recover() != nil {
				a.aborted = true
			}
		}()
		host.handler.ServeHTTP(a, in)
		a.WriteHeader(http.StatusOK)
		a.aborted = a.aborted || ctx.Err() != nil
	}()
	return a
}

// deliver waits for the head of the answer and returns the response for the
// caller.
func (c *netCall) deliver(req *http.Request, a *netAnswer) (*http.Response, error) {
	select {
	case <-a.headerSent:
	case <-a.handlerDone:
	case <-a.closed:
	}
	select {
	case <-a.headerSent:
	default:
		a.cancel()
		if err := req.Context().Err(); err != nil {
			return nil, err
		}
		return nil, errConnReset
	}
	if c.inject(FaultLoseAnswer) {
		go a.discard()
		return nil, errConnReset
	}
	resp := &http.Response{StatusCode: a.status, Status: http.StatusText(a.status), Header: a.sent,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: a, ContentLength: -1, Request: req}
	if c.inject(FaultCross) {
		resp = c.net.exchange(resp)
	}
	return resp, nil
}

// exchange swaps the answer with that of another call with FaultCross, if there
// is one within crossTimeout.
func (n *Network) exchange(answer *http.Response) *http.Response {
	other := make(chan *http.Response, 1)
	t := time.NewTimer(crossTimeout)
	defer t.Stop()
	select {
	case n.crossings <- crossedAnswer{answer, other}:
		return <-other
	case crossed := <-n.crossings:
		crossed.other <- answer
		return crossed.answer
	case <-t.C:
		return answer
	}
}

// simulateLatency waits for d or until ctx ends. It returns the error of ctx as
// it is, as a transport does.
func simulateLatency(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// netAnswer is an answer in transit: a ResponseWriter for the handler and the
// response body for the caller.
type netAnswer struct {
	call        *netCall
	header      http.Header
	sent        http.Header
	status      int
	headerSent  chan struct{} // closed when the header is written
	handlerDone chan struct{} // closed when the handler has returned
	chunks      chan []byte
	closed      <-chan struct{}
	cancel      func()
	aborted     bool      // the handler panicked or its context ended; read after handlerDone
	deadline    time.Time // of writes; zero for none
	writes      int
	delayed     []byte // a chunk that is sent after the next one, for FaultSwap
	truncateAt  int    // number of bytes after which the connection breaks; negative for never
	unread      []byte // rest of the chunk that Read is at
}

// Header implements http.ResponseWriter.
func (a *netAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *netAnswer) WriteHeader(status int) {
	if a.status == 0 {
		a.status, a.sent = status, a.header.Clone()
		close(a.headerSent)
	}
}

// FlushError implements the method that http.ResponseController uses.
func (a *netAnswer) FlushError() error { return nil }

// SetWriteDeadline implements the method that http.ResponseController uses.
func (a *netAnswer) SetWriteDeadline(t time.Time) error {
	a.deadline = t
	return nil
}

// Write implements http.ResponseWriter.
func (a *netAnswer) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	for _, chunk := range a.applyFaults(bytes.Clone(p)) {
		if err := a.send(chunk); err != nil {
			return 0, err
		}
	}
	return len(p), nil
}

// applyFaults returns the chunks that are delivered in place of chunk p. The first
// chunk is the head of an answer and has no faults, nor have answers with a status
// other than 200.
func (a *netAnswer) applyFaults(p []byte) [][]byte {
	first := a.writes == 0
	a.writes++
	if first || a.status != http.StatusOK {
		return [][]byte{p}
	}
	out := [][]byte{p}
	other := a.call.net.lastChunk.Swap(&p)
	switch {
	case a.delayed != nil:
		out = [][]byte{p, a.delayed}
		a.delayed = nil
	case a.call.inject(FaultRepeat):
		out = append(out, p)
	case other != nil && a.call.inject(FaultForeign):
		out = [][]byte{*other, p}
	case a.call.inject(FaultSwap):
		a.delayed = p
		return nil
	}
	return out
}

// send passes a chunk to the reader. It blocks while the buffer is full.
func (a *netAnswer) send(p []byte) error {
	if a.truncateAt >= 0 && len(p) > a.truncateAt {
		p = p[:a.truncateAt]
		defer a.cancel()
	}
	a.truncateAt = max(a.truncateAt-len(p), min(a.truncateAt, 0))
	var expired <-chan time.Time
	if !a.deadline.IsZero() {
		t := time.NewTimer(time.Until(a.deadline))
		defer t.Stop()
		expired = t.C
	}
	select {
	case a.chunks <- p:
		return nil
	case <-expired:
		return os.ErrDeadlineExceeded
	case <-a.closed:
		return errConnReset
	}
}

// Read implements io.Reader.
func (a *netAnswer) Read(p []byte) (int, error) {
	for len(a.unread) == 0 {
		select {
		case a.unread = <-a.chunks:
			continue
		default:
		}
		select {
		case a.unread = <-a.chunks:
		case <-a.closed:
			return 0, errConnReset
		case <-a.handlerDone:
			select {
			case a.unread = <-a.chunks:
				continue
			default:
			}
			if a.aborted {
				return 0, io.ErrUnexpectedEOF
			}
			return 0, io.EOF
		}
	}
	n := copy(p, a.unread)
	a.unread = a.unread[n:]
	return n, nil
}

// Close implements io.Closer.
func (a *netAnswer) Close() error {
	a.cancel()
	return nil
}

// discard reads the answer to its end, so that the handler does not notice that
// the answer is lost.
func (a *netAnswer) discard() {
	_, _ = io.Copy(io.Discard, a)
	a.cancel()
}
