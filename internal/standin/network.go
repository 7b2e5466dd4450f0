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

// Fault names one kind of network fault.
type Fault int

// The kinds of network fault.
const (
	FaultRefuse      Fault = iota // the connection is not made
	FaultLoseRequest              // the connection breaks before the server reads the request
	FaultLoseAnswer               // the server works and the answer is lost
	FaultCut                      // the answer ends after some bytes
	FaultLate                     // the request arrives late
	FaultDuplicate                // the request arrives twice; the second answer is dropped
	FaultCross                    // two answers arrive on each other's connection
	FaultRepeat                   // a piece of an answer arrives twice
	FaultForeign                  // a piece of another answer arrives in between
	FaultSwap                     // two pieces of an answer arrive in the wrong order
	FaultCount
)

// Faults are the probabilities of faults per call; those of FaultRepeat,
// FaultForeign and FaultSwap are per piece.
type Faults [FaultCount]float64

// Bounds of the fake network.
const (
	lateBy       = 2 * time.Second // delay of a late request
	crossWait    = 50 * time.Millisecond
	maxCutBytes  = 2000
	socketPieces = 32 // pieces that wait between writer and reader before the writer blocks
)

// Network is a fake network: a RoundTripper that calls handlers in the same
// process. Its faults depend on the seed and the number of the call only.
type Network struct {
	seed    uint64
	latency time.Duration
	faults  atomic.Pointer[Faults]
	hosts   atomic.Pointer[map[string]*Host]
	calls   atomic.Uint64
	counts  [FaultCount]atomic.Int64
	cross   chan crossing
	last    atomic.Pointer[[]byte] // a piece of some answer
}

type crossing struct {
	answer *http.Response
	back   chan *http.Response
}

// NewNetwork returns a network without hosts and faults.
func NewNetwork(seed uint64, latency time.Duration) *Network {
	n := &Network{seed: seed, latency: latency, cross: make(chan crossing)}
	n.faults.Store(&Faults{})
	n.hosts.Store(&map[string]*Host{})
	return n
}

// Host is one address of the network.
type Host struct {
	handler http.Handler
	ctx     context.Context
	kill    context.CancelFunc
	gate    atomic.Pointer[chan struct{}] // closed when the host is not paused
}

// Add makes handler reachable at address. Only one goroutine may add.
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

// Pause holds new requests until Resume.
func (h *Host) Pause() {
	select {
	case <-*h.gate.Load():
		gate := make(chan struct{})
		h.gate.Store(&gate)
	default: // a second pause joins the first
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

// SetFaults replaces the probabilities.
func (n *Network) SetFaults(f Faults) { n.faults.Store(&f) }

// Injected returns the number of faults of a kind so far.
func (n *Network) Injected(f Fault) int64 { return n.counts[f].Load() }

var errBroken = errors.New("connection reset by the fake network")

// RoundTrip implements http.RoundTripper.
func (n *Network) RoundTrip(req *http.Request) (*http.Response, error) {
	call := n.calls.Add(1)
	c := &netCall{net: n, rng: rand.New(rand.NewPCG(n.seed, call)), faults: n.faults.Load()}
	host := (*n.hosts.Load())[req.URL.Host]
	if host == nil || host.ctx.Err() != nil || c.hit(FaultRefuse) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errBroken}
	}
	delay := n.latency
	if c.hit(FaultLate) {
		delay += lateBy
	}
	if err := wait(req.Context(), delay); err != nil {
		return nil, err
	}
	if c.hit(FaultLoseRequest) {
		return nil, errBroken
	}
	var body []byte
	if req.Body != nil {
		body, _ = io.ReadAll(req.Body)
		req.Body.Close()
	}
	if c.hit(FaultDuplicate) {
		go c.fork(1).serve(host, req, body, context.WithoutCancel(req.Context())).drop()
	}
	a := c.fork(2).serve(host, req, body, req.Context())
	return c.deliver(req, a)
}

// netCall is one call with its own source of randomness.
type netCall struct {
	net    *Network
	rng    *rand.Rand
	faults *Faults
}

// fork returns the call for the server's goroutine, with its own randomness.
func (c *netCall) fork(nr uint64) *netCall {
	return &netCall{net: c.net, rng: rand.New(rand.NewPCG(c.rng.Uint64(), nr)), faults: c.faults}
}

func (c *netCall) hit(f Fault) bool {
	if c.faults[f] == 0 || c.rng.Float64() >= c.faults[f] {
		return false
	}
	c.net.counts[f].Add(1)
	return true
}

// serve calls the handler on its own goroutine.
func (c *netCall) serve(host *Host, req *http.Request, body []byte, ctx context.Context) *netAnswer {
	ctx, cancel := context.WithCancel(ctx)
	a := &netAnswer{call: c, header: http.Header{}, begun: make(chan struct{}), ended: make(chan struct{}),
		pieces: make(chan []byte, socketPieces), closed: ctx.Done(), cancel: cancel, cutAfter: -1}
	if c.hit(FaultCut) {
		a.cutAfter = c.rng.IntN(maxCutBytes)
	}
	in := req.Clone(ctx)
	in.Body, in.ContentLength, in.RequestURI = io.NopCloser(bytes.NewReader(body)), int64(len(body)), req.URL.RequestURI()
	stop := context.AfterFunc(host.ctx, cancel)
	go func() {
		defer stop()
		defer close(a.ended)
		select {
		case <-*host.gate.Load():
		case <-ctx.Done():
			a.broken = true
			return
		}
		defer func() {
			if recover() != nil {
				a.broken = true
			}
		}()
		host.handler.ServeHTTP(a, in)
		a.WriteHeader(http.StatusOK)
		a.broken = a.broken || ctx.Err() != nil
	}()
	return a
}

func (c *netCall) deliver(req *http.Request, a *netAnswer) (*http.Response, error) {
	select {
	case <-a.begun:
	case <-a.ended:
	case <-a.closed:
	}
	select {
	case <-a.begun:
	default:
		a.cancel()
		if err := req.Context().Err(); err != nil {
			return nil, err
		}
		return nil, errBroken
	}
	if c.hit(FaultLoseAnswer) {
		go a.drop()
		return nil, errBroken
	}
	resp := &http.Response{StatusCode: a.status, Status: http.StatusText(a.status), Header: a.sent,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: a, ContentLength: -1, Request: req}
	if c.hit(FaultCross) {
		resp = c.net.exchange(resp)
	}
	return resp, nil
}

// exchange swaps the answer with that of another crossed call, if one comes.
func (n *Network) exchange(answer *http.Response) *http.Response {
	back := make(chan *http.Response, 1)
	t := time.NewTimer(crossWait)
	defer t.Stop()
	select {
	case n.cross <- crossing{answer, back}:
		return <-back
	case other := <-n.cross:
		other.back <- answer
		return other.answer
	case <-t.C:
		return answer
	}
}

func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// netAnswer is an answer on its way: a ResponseWriter for the handler and a
// body for the caller.
type netAnswer struct {
	call     *netCall
	header   http.Header
	sent     http.Header
	status   int
	begun    chan struct{} // closed with the header
	ended    chan struct{} // closed when the handler has returned
	pieces   chan []byte
	closed   <-chan struct{}
	cancel   func()
	broken   bool      // the handler did not end properly; read after ended
	deadline time.Time // of writes
	written  int
	held     []byte // a piece that is sent after the next one
	cutAfter int    // bytes after which the connection breaks; < 0 for never
	unread   []byte
}

// Header implements http.ResponseWriter.
func (a *netAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *netAnswer) WriteHeader(status int) {
	if a.status == 0 {
		a.status, a.sent = status, a.header.Clone()
		close(a.begun)
	}
}

// FlushError is used by http.ResponseController.
func (a *netAnswer) FlushError() error { return nil }

// SetWriteDeadline is used by http.ResponseController.
func (a *netAnswer) SetWriteDeadline(t time.Time) error {
	a.deadline = t
	return nil
}

// Write implements http.ResponseWriter.
func (a *netAnswer) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	for _, piece := range a.faulty(bytes.Clone(p)) {
		if err := a.push(piece); err != nil {
			return 0, err
		}
	}
	return len(p), nil
}

// faulty returns the pieces that arrive in place of p. The first piece is the
// head of an answer and arrives as it is.
func (a *netAnswer) faulty(p []byte) [][]byte {
	first := a.written == 0
	a.written++
	if first || a.status != http.StatusOK {
		return [][]byte{p}
	}
	out := [][]byte{p}
	other := a.call.net.last.Swap(&p)
	switch {
	case a.held != nil:
		out = [][]byte{p, a.held}
		a.held = nil
	case a.call.hit(FaultRepeat):
		out = append(out, p)
	case other != nil && a.call.hit(FaultForeign):
		out = [][]byte{*other, p}
	case a.call.hit(FaultSwap):
		a.held = p
		return nil
	}
	return out
}

func (a *netAnswer) push(p []byte) error {
	if a.cutAfter >= 0 && len(p) > a.cutAfter {
		p = p[:a.cutAfter]
		defer a.cancel()
	}
	a.cutAfter = max(a.cutAfter-len(p), min(a.cutAfter, 0))
	var expired <-chan time.Time
	if !a.deadline.IsZero() {
		t := time.NewTimer(time.Until(a.deadline))
		defer t.Stop()
		expired = t.C
	}
	select {
	case a.pieces <- p:
		return nil
	case <-expired:
		return os.ErrDeadlineExceeded
	case <-a.closed:
		return errBroken
	}
}

// Read implements io.Reader.
func (a *netAnswer) Read(p []byte) (int, error) {
	for len(a.unread) == 0 {
		select {
		case a.unread = <-a.pieces:
			continue
		default:
		}
		select {
		case a.unread = <-a.pieces:
		case <-a.closed:
			return 0, errBroken
		case <-a.ended:
			select {
			case a.unread = <-a.pieces:
				continue
			default:
			}
			if a.broken {
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

// drop reads the answer to its end, as a server does that never learns of the
// loss.
func (a *netAnswer) drop() {
	_, _ = io.Copy(io.Discard, a)
	a.cancel()
}
