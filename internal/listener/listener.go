// Package listener applies the bounds of package inbound to the listeners of HTTP servers:
// it accepts connections, follows what they hold, and ends those whose callers do not keep
// to the limits or whose descriptors and memory others need.
package listener

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/inbound"
)

const (
	// interval is the time between two looks at all connections. Limits on rates span many
	// of them.
	interval = 250 * time.Millisecond
	// logInterval is the shortest time between two log lines about one bound.
	logInterval = 10 * time.Second
	// pressedRate is the least bytes a second of a transfer of pressedTime or more while
	// memory is needed: that of 40 transfers at once on a link of 10 Mbit/s.
	pressedRate = 32 << 10
	pressedTime = time.Second
	// PressedShare is the held part of the memory of requests from which it counts as
	// needed. Long bodies get no more than three quarters of it.
	PressedShare = 0.6
	// reclaimPart is the part of a quota that is reclaimed at once, so that a full quota
	// does not cost a look at all connections for each new one.
	reclaimPart = 32
	// reclaimPause is how long nothing is reclaimed after too little was found.
	reclaimPause = 50 * time.Millisecond
	// surplusPart is the part of a quota that connections may take beyond it, to be refused
	// with a response, or while others that were given up for them are being closed.
	surplusPart = 16
)

// Config is the configuration of a Listener.
type Config struct {
	Name   string // in metrics and log lines
	Quota  inbound.Quota
	Limits func() inbound.Limits // in force
	// Stall is the time without progress after which an unfinished request may be given up
	// when what it holds is needed.
	Stall time.Duration
	// Refusal returns the response to a request that is refused since a bound was reached;
	// nil means a response of this package.
	Refusal func(inbound.Bound) (status int, header http.Header)
	// Pressed reports whether memory beyond the quota, which requests hold, is needed. Nil
	// means that it never is.
	Pressed func() bool
	// Outgoing says that a request in progress has a connection to an endpoint, with a receive
	// buffer of inbound.EndpointBuffer that counts too.
	Outgoing bool
	// CountBodies says that the quota also counts the bodies of requests until their
	// responses are complete. Reads of those that do not fit return ErrMemory.
	CountBodies bool
	Log         *slog.Logger
}

// Listener bounds what the callers of one listening socket hold. Counters are atomic; the
// goroutine of Run owns the list of connections.
type Listener struct {
	config      Config
	descriptors atomic.Int64 // connections and requests in progress
	bytes       atomic.Int64
	arriving    atomic.Int64   // bytes of heads that have not arrived completely
	buffers     atomic.Int64   // bytes that the kernel may hold for the connections
	counts      []atomic.Int64 // bounds that were reached since the last log line, by bound
	counters    []*metrics.Counter
	events      chan event
	needs       chan need
	done        chan struct{} // closed at the end of Run
}

// event is a connection that was accepted or closed.
type event struct {
	conn *Conn
	left bool
}

// need asks for what connections hold.
type need struct {
	connections int
	bytes       int64
	reply       chan int // connections that were closed or are about to be
}

// New returns a Listener. Run must run while it is used.
func New(c Config) *Listener {
	l := &Listener{config: c, events: make(chan event, 256), needs: make(chan need), done: make(chan struct{})}
	all := inbound.Bounds()
	l.counts = make([]atomic.Int64, len(all)+1)
	l.counters = make([]*metrics.Counter, len(all)+1)
	for _, b := range all {
		l.counters[b] = metrics.GetOrCreateCounter(fmt.Sprintf("goldcrest_inbound_bounds_reached_total{listener=%q,bound=%q}", c.Name, b))
	}
	metrics.GetOrCreateGauge(fmt.Sprintf("goldcrest_inbound_descriptors{listener=%q}", c.Name), nil)
	metrics.GetOrCreateGauge(fmt.Sprintf("goldcrest_inbound_held_bytes{listener=%q}", c.Name), nil)
	metrics.GetOrCreateGauge(fmt.Sprintf("goldcrest_inbound_buffer_bytes{listener=%q}", c.Name), nil)
	return l
}

// Wrap returns a listener that accepts the connections of inner within the bounds.
func (l *Listener) Wrap(inner net.Listener) net.Listener { return wrapped{inner, l} }

type wrapped struct {
	net.Listener
	owner *Listener
}

// Accept implements net.Listener.
func (w wrapped) Accept() (net.Conn, error) {
	for {
		c, err := w.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := w.owner.admit(c); conn != nil {
			return conn, nil
		}
		_ = c.Close()
	}
}

// admit takes a connection into the quota, or returns nil if there is no room for it.
func (l *Listener) admit(inner net.Conn) *Conn {
	limit := l.config.Quota.Descriptors
	l.descriptors.Add(1)
	surplus := !l.room(&l.descriptors, limit, 1, 0)
	if surplus {
		l.reached(inbound.Connections)
		if l.descriptors.Load() > limit+limit/surplusPart {
			l.descriptors.Add(-1)
			return nil
		}
	}
	buffer := inbound.BufferCost(inbound.SmallBuffer)
	if !l.takeBytes(inbound.ConnectionBytes) {
		l.reached(inbound.Memory)
		l.descriptors.Add(-1)
		return nil
	}
	if !l.takeBuffer(buffer) {
		l.reached(inbound.Memory)
		l.bytes.Add(-inbound.ConnectionBytes)
		l.descriptors.Add(-1)
		return nil
	}
	c := &Conn{Conn: inner, owner: l, surplus: surplus}
	c.held.Store(inbound.ConnectionBytes)
	c.buffer.Store(buffer)
	if a, err := netip.ParseAddrPort(inner.RemoteAddr().String()); err == nil {
		c.address = a.Addr()
	}
	if tcp, ok := inner.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(writeBufferBytes)
	}
	l.send(event{conn: c})
	return c
}

// left records that a connection was closed.
func (l *Listener) left(c *Conn) { l.send(event{c, true}) }

func (l *Listener) send(e event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// room reports whether a count, which includes the new part, is within its limit. It may be
// above by a small part while connections that were given up for it are being closed.
func (l *Listener) room(count *atomic.Int64, limit int64, connections int, bytes int64) bool {
	return count.Load() <= limit || l.reclaim(connections, bytes) > 0 && count.Load() <= limit+limit/surplusPart
}

// take adds n bytes to a count and reports whether they are within its limit, or can be
// reclaimed.
func (l *Listener) take(count *atomic.Int64, limit, n int64) bool {
	count.Add(n)
	if l.room(count, limit, 0, n) {
		return true
	}
	count.Add(-n)
	return false
}

// takeBytes takes n bytes of the quota and reports whether they were left.
func (l *Listener) takeBytes(n int64) bool { return l.take(&l.bytes, l.config.Quota.Bytes, n) }

// takeBuffer takes n bytes for a receive buffer and reports whether they were left.
func (l *Listener) takeBuffer(n int64) bool {
	l.buffers.Add(n)
	if l.room(&l.buffers, l.config.Quota.BufferLimit(), 1, 0) {
		return true
	}
	l.buffers.Add(-n)
	return false
}

// takeLargeBuffer takes n bytes for a buffer that is enlarged and reports whether they were
// left. No other connection is given up for it, since a body arrives with a small one too.
func (l *Listener) takeLargeBuffer(n int64) bool {
	if l.buffers.Add(n) <= l.config.Quota.LargeLimit() {
		return true
	}
	l.buffers.Add(-n)
	return false
}

// reclaim asks for connections to be given up and returns their number.
func (l *Listener) reclaim(connections int, bytes int64) int {
	n := need{connections, bytes, make(chan int, 1)}
	select {
	case l.needs <- n:
		return <-n.reply
	case <-l.done:
		return 0
	}
}

// reached counts that a bound was reached.
func (l *Listener) reached(b inbound.Bound) {
	l.counters[b].Inc()
	l.counts[b].Add(1)
}

// refusal returns the response to a request that is refused since b was reached.
func (l *Listener) refusal(b inbound.Bound) (int, http.Header) {
	if b == inbound.HeaderBytes || b == inbound.Fields {
		return http.StatusRequestHeaderFieldsTooLarge, http.Header{}
	}
	if l.config.Refusal == nil {
		return http.StatusServiceUnavailable, http.Header{"Retry-After": {"1"}}
	}
	return l.config.Refusal(b)
}

// watch is what the goroutine of Run keeps of one connection.
type watch struct {
	moved, requests int64
	phase           inbound.Phase
	since           time.Time // of the last progress
	entered         time.Time // into the phase
	pace            inbound.Pace
}

// look updates w and returns what is known of the connection, and the bytes that it has
// moved since.
func (w *watch) look(c *Conn, now time.Time, stall time.Duration) (v inbound.View, moved int64) {
	v = c.view()
	total, requests := c.moved.Load(), c.requests.Load()
	moved = total - w.moved
	if requests != w.requests {
		w.pace = inbound.Pace{}
	}
	if v.Phase != w.phase || requests != w.requests || w.since.IsZero() {
		w.since, w.entered = now, now
	}
	if moved > 0 {
		w.since = now
	}
	w.moved, w.requests, w.phase = total, requests, v.Phase
	v.Still = now.Sub(w.since)
	// A head is so short that it arrives within the time of a stall.
	v.Slow = w.pace.Below(pressedRate, pressedTime) || v.Phase == inbound.Reading && now.Sub(w.entered) >= stall
	return v, moved
}

// Run follows the connections until ctx ends.
func (l *Listener) Run(ctx context.Context) {
	defer close(l.done)
	o := owner{l: l, conns: map[*Conn]*watch{}, logged: make([]time.Time, len(l.counts))}
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			if e.left {
				delete(o.conns, e.conn)
			} else if !e.conn.closed.Load() {
				o.conns[e.conn] = &watch{}
			}
		case n := <-l.needs:
			n.reply <- o.reclaim(n, time.Now())
		case now := <-t.C:
			o.observe(now)
			o.report(now)
		}
	}
}

// owner is the state of the goroutine of Run.
type owner struct {
	l        *Listener
	conns    map[*Conn]*watch
	observed time.Time
	paused   time.Time // nothing is reclaimed until then
	logged   []time.Time
}

// observe ends the connections of callers that are too slow, and, while memory is needed,
// those that make no progress.
func (o *owner) observe(now time.Time) {
	// A process that was suspended does not count that time against callers.
	passed := min(now.Sub(o.observed), 2*interval)
	o.observed = now
	limits := o.l.config.Limits()
	pressed := o.l.config.Pressed != nil && o.l.config.Pressed() ||
		o.l.config.CountBodies && float64(o.l.bytes.Load()) > PressedShare*float64(o.l.config.Quota.Bytes)
	for c, w := range o.conns {
		v, moved := w.look(c, now, o.l.config.Stall)
		waiting := v.Unread || v.Phase == inbound.Receiving
		slow := w.pace.Observe(waiting, passed, moved, limits)
		bound := inbound.SlowBody
		if v.Unread {
			bound = inbound.SlowRead
		}
		if pressed && waiting && (v.Still >= o.l.config.Stall || w.pace.Below(pressedRate, pressedTime)) {
			slow, bound = true, inbound.Memory
		}
		if slow && o.end(c, v) {
			o.l.reached(bound)
		}
	}
}

// reclaim gives up connections for others and returns their number.
func (o *owner) reclaim(n need, now time.Time) int {
	if now.Before(o.paused) {
		return 0
	}
	q := o.l.config.Quota
	if n.connections > 0 {
		n.connections = max(n.connections, int(q.Descriptors/reclaimPart))
	}
	if n.bytes > 0 {
		n.bytes = max(n.bytes, q.Bytes/reclaimPart)
	}
	conns, views := make([]*Conn, 0, len(o.conns)), make([]inbound.View, 0, len(o.conns))
	for c, w := range o.conns {
		v, _ := w.look(c, now, o.l.config.Stall)
		conns, views = append(conns, c), append(views, v)
	}
	ended := 0
	for _, i := range inbound.Reclaim(views, n.connections, n.bytes, o.l.config.Stall) {
		if o.end(conns[i], views[i]) {
			ended++
		}
	}
	if ended == 0 {
		o.paused = now.Add(reclaimPause)
	}
	return ended
}

// end gives up a connection.
func (o *owner) end(c *Conn, v inbound.View) bool {
	if !c.end(v) {
		return false
	}
	if c.closed.Load() {
		delete(o.conns, c)
	}
	return true
}

// report updates the metrics and logs the bounds that were reached, one line for each at
// most once in logInterval.
func (o *owner) report(now time.Time) {
	name := o.l.config.Name
	metrics.GetOrCreateGauge(fmt.Sprintf("goldcrest_inbound_descriptors{listener=%q}", name), nil).Set(float64(o.l.descriptors.Load()))
	metrics.GetOrCreateGauge(fmt.Sprintf("goldcrest_inbound_held_bytes{listener=%q}", name), nil).Set(float64(o.l.bytes.Load()))
	metrics.GetOrCreateGauge(fmt.Sprintf("goldcrest_inbound_buffer_bytes{listener=%q}", name), nil).Set(float64(o.l.buffers.Load()))
	for b := range o.l.counts {
		if now.Sub(o.logged[b]) < logInterval {
			continue
		}
		if n := o.l.counts[b].Swap(0); n > 0 {
			o.logged[b] = now
			o.l.config.Log.Warn("bound on callers reached", "listener", name, "bound", inbound.Bound(b).String(), "count", n,
				"descriptors", o.l.descriptors.Load(), "held_bytes", o.l.bytes.Load(), "buffer_bytes", o.l.buffers.Load())
		}
	}
}
