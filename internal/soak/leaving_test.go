package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// Guards against violations of the guarantees where endpoints leave or are gone: in the middle of
// answers of each framing, beside a drill of the store and beside a partition from it, and
// against work that a planned stop cuts after a reload has raised its grace time.
func TestLeavingSoak(t *testing.T) {
	runSeeds(t, runLeavingSeed)
}

// Bounds of TestLeavingSoak.
const (
	// ackTime is how long routers may take to read that an endpoint has left.
	ackTime = 1200 * time.Millisecond
	// leavingStableWindow is how long after a partition from the store, or the start of a router,
	// the bounds hold again.
	leavingStableWindow = 3 * time.Second
	shortGrace          = "grace = 2s" // shorter than some streams
	longGrace           = "grace = 8s"
	// leavingTime is how long an endpoint that has left serves on.
	leavingTime = 6 * time.Second
	// maxCopyAge is how old the copy is at most from which a store is restored.
	maxCopyAge = 2200 * time.Millisecond
	// entryExpiry is how long a store keeps an entry that its endpoint does not renew.
	entryExpiry = 3 * time.Second
)

// departure is the time for which an endpoint has left. It must get no requests then, but for
// the first drainTimeout.
type departure struct {
	endpoint string
	from, to time.Time
	// partition says that it left during a partition from the store; from is then
	// drainTimeout before the bounds hold again.
	partition bool
}

// crash is the end of an endpoint at a time.
type crash struct {
	endpoint string
	at       time.Time
}

// leavingRun is a run of TestLeavingSoak.
type leavingRun struct {
	*fleet
	rng        *rand.Rand
	mu         sync.Mutex
	departures []departure
	crashes    []crash
	pending    sync.WaitGroup
	busy       map[*fleetEndpoint]bool // leaving or gone; of the goroutine that draws
	freed      chan *fleetEndpoint     // no longer busy
	storeIdle  chan struct{}           // holds one token while nothing disturbs the store
}

func runLeavingSeed(t *testing.T, binary string, seed uint64) {
	f := newFleet(t, binary, 0, 0, 0)
	r := &leavingRun{fleet: f, rng: rand.New(rand.NewPCG(seed, 51)), busy: map[*fleetEndpoint]bool{}, freed: make(chan *fleetEndpoint, 16), storeIdle: make(chan struct{}, 1)}
	r.storeIdle <- struct{}{}
	for _, pool := range []string{"engines", "service"} {
		for i := range 4 {
			r.addUnproxied(fmt.Sprintf("%s-%d", pool, i), pool)
		}
	}
	for i := range *routerCount {
		f.addRouter(i, nil)
		r.setGrace(f.routers[i], shortGrace)
	}
	if !f.awaitReady(recoveryTimeout) {
		f.fail("routers are not ready at the start")
		f.report(seed)
		return
	}
	for _, p := range f.routers {
		p.signal(syscall.SIGHUP, false)
	}
	time.Sleep(maxCopyAge - ackTime) // copies of the store have the first configuration
	c := &callers{fleet: f}
	ctx, stop := context.WithCancel(context.Background())
	c.start(ctx, callerCount, seed)
	stops := r.disturb()
	r.pending.Wait()
	r.checkServed(c)
	stop()
	c.group.Wait()
	calls := c.snapshot()
	f.check(calls)
	r.checkDepartures(calls, stops)
	r.checkStops(calls, stops)
	answered := 0
	for _, call := range calls {
		if call.status == 200 && call.err == nil {
			answered++
		}
	}
	t.Logf("%d of %d calls were answered, %d departures, %d planned stops", answered, len(calls), len(r.departures), len(stops))
	f.report(seed)
}

// addUnproxied adds an endpoint that routers reach directly, so that it refuses connections when
// it is gone.
func (r *leavingRun) addUnproxied(id, pool string) {
	e, err := standin.NewEndpoint(id)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(e.Close)
	e.SetFaults(r.answers(standin.EndpointFaults{}))
	r.endpoints = append(r.endpoints, &fleetEndpoint{endpoint: e, pool: pool, dc: "dc-0"})
	r.store.Register(e, pool, "dc-0", "ready")
}

// answers adds to faults how the endpoints of the run answer, with a framing that is drawn.
func (r *leavingRun) answers(faults standin.EndpointFaults) standin.EndpointFaults {
	faults.Events, faults.BodyPause = r.healthy.Events, 150*time.Millisecond
	faults.EventInterval = []time.Duration{40 * time.Millisecond, 250 * time.Millisecond}[r.rng.IntN(2)] // a stream may outlast the short grace time
	faults.Unframed = r.rng.IntN(2) == 0
	return faults
}

// plannedStop is a planned stop of a router, after a reload that has raised its grace time.
type plannedStop struct {
	router   string
	from, to time.Time
}

// disturb draws disturbances for the duration of the run.
func (r *leavingRun) disturb() (stops []plannedStop) {
	var mu sync.Mutex
	stopping := false
	for end := time.Now().Add(*faultDuration); time.Now().Before(end); time.Sleep(time.Duration(150+r.rng.IntN(400)) * time.Millisecond) {
		for len(r.freed) > 0 {
			delete(r.busy, <-r.freed)
		}
		switch r.rng.IntN(5) {
		case 0, 1:
			r.takeAway()
		case 2:
			before := time.Duration(r.rng.Int64N(int64(maxCopyAge - ackTime - 100*time.Millisecond)))
			r.leaveBeside(func(since time.Duration) {
				r.store.Restore(standin.RestoreDrill{Back: since + before, Outage: 300 * time.Millisecond, Rewrite: -1})
			}, false)
		case 3:
			kind := fault(1 + r.rng.IntN(4))
			r.leaveBeside(func(time.Duration) {
				r.storeProxy.setFault(kind)
				time.Sleep(2 * time.Second)
				r.storeProxy.setFault(faultNone)
			}, true)
		case 4:
			if stopping {
				continue
			}
			stopping = true // once in a run, since callers of the router that stops are refused
			p := r.routers[r.rng.IntN(len(r.routers))]
			wait := time.Duration(r.rng.IntN(300)) * time.Millisecond
			r.pending.Go(func() {
				r.setGrace(p, longGrace)
				p.signal(syscall.SIGHUP, false)
				time.Sleep(wait)
				from := time.Now()
				p.restart(syscall.SIGTERM)
				mu.Lock()
				stops = append(stops, plannedStop{p.name, from, time.Now()})
				mu.Unlock()
			})
		}
	}
	r.pending.Wait()
	return stops
}

// setGrace sets the grace time in the settings of a router.
func (r *leavingRun) setGrace(p *process, grace string) {
	data, err := os.ReadFile(p.settings)
	if err != nil {
		r.t.Fatal(err)
	}
	text, _, _ := strings.Cut(string(data), "[bounds]")
	if err := os.WriteFile(p.settings, []byte(text+"[bounds]\n"+grace+"\n"), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// pick returns an endpoint that serves, unless too few of its pool do.
func (r *leavingRun) pick() *fleetEndpoint {
	e := r.endpoints[r.rng.IntN(len(r.endpoints))]
	others := 0
	for _, other := range r.endpoints {
		if other.pool == e.pool && other != e && !r.busy[other] {
			others++
		}
	}
	if r.busy[e] || others < 2 {
		return nil
	}
	r.busy[e] = true
	return e
}

// takeAway ends an endpoint while it writes answers, which may say that it leaves.
func (r *leavingRun) takeAway() {
	e := r.pick()
	if e == nil {
		return
	}
	faults := r.answers(standin.EndpointFaults{Leaving: r.rng.IntN(2) == 0})
	back := r.answers(standin.EndpointFaults{})
	after := time.Duration(100+r.rng.IntN(400)) * time.Millisecond
	down := time.Duration(300+r.rng.IntN(1500)) * time.Millisecond
	r.pending.Go(func() {
		e.endpoint.SetFaults(faults)
		time.Sleep(after)
		r.mu.Lock()
		r.crashes = append(r.crashes, crash{e.endpoint.ID, time.Now()})
		r.mu.Unlock()
		e.endpoint.Crash(down)
		e.endpoint.SetFaults(back)
		time.Sleep(down + time.Second)
		// A later process: routers remember that the former one leaves.
		r.store.Put("keyed.servers", e.endpoint.ID, nil)
		time.Sleep(ackTime)
		r.store.Register(e.endpoint, e.pool, e.dc, "ready")
		r.freed <- e
	})
}

// leaveBeside removes the entry of an endpoint that serves on, and disturbs the store when the
// routers have read that, or, if atOnce is set, while it happens. disturb gets the time since the
// entry was removed.
func (r *leavingRun) leaveBeside(disturb func(since time.Duration), atOnce bool) {
	select {
	case <-r.storeIdle:
	default:
		return
	}
	e := r.pick()
	if e == nil {
		r.storeIdle <- struct{}{}
		return
	}
	r.pending.Go(func() {
		d := departure{endpoint: e.endpoint.ID, partition: atOnce}
		settled := make(chan struct{})
		if atOnce {
			go func() { disturb(0); close(settled) }()
			time.Sleep(500 * time.Millisecond)
		}
		r.store.Unregister(e.endpoint)
		left := time.Now()
		if atOnce {
			<-settled
			d.from = time.Now().Add(leavingStableWindow - drainTimeout)
		} else {
			time.Sleep(ackTime)
			disturb(time.Since(left))
			d.from = left
			// The restored store drops the entry again, since nobody renews it.
			r.pending.Go(func() { time.Sleep(entryExpiry); r.store.Unregister(e.endpoint) })
		}
		time.Sleep(leavingTime - ackTime)
		d.to = time.Now()
		r.mu.Lock()
		r.departures = append(r.departures, d)
		r.mu.Unlock()
		r.store.Register(e.endpoint, e.pool, e.dc, "ready")
		time.Sleep(ackTime)
		r.freed <- e
		r.storeIdle <- struct{}{}
	})
}

// checkServed checks that callers are served after the disturbances, but for those that leave.
func (r *leavingRun) checkServed(c *callers) {
	time.Sleep(4 * time.Second) // endpoints are cold for a while after failures
	begin := time.Now()
	time.Sleep(3 * time.Second)
	sent, served := 0, 0
	for _, call := range c.snapshot() {
		if call.sent.Before(begin) || call.cancelled() {
			continue
		}
		sent++
		if call.status == 200 && call.err == nil {
			served++
		}
	}
	if sent == 0 || served*5 < sent*4 {
		r.fail("%d of %d calls are served after the disturbances", served, sent)
	}
}

// cancelled reports whether the caller may have cancelled the call, which it does within 60 ms.
func (c call) cancelled() bool { return c.err != nil && c.ended.Sub(c.sent) < 70*time.Millisecond }

// checkDepartures checks that endpoints that have left got no requests, but from routers that
// had just started.
func (r *leavingRun) checkDepartures(calls []call, stops []plannedStop) {
	routers := map[string]string{}
	for _, c := range calls {
		routers[c.id] = c.router
	}
	hasStarted := func(router string, at time.Time) bool {
		for _, s := range stops {
			if s.router == router && at.After(s.to) && at.Before(s.to.Add(leavingStableWindow)) {
				return true
			}
		}
		return false
	}
	for _, d := range r.departures {
		for _, e := range r.endpoints {
			if e.endpoint.ID != d.endpoint {
				continue
			}
			var late []string
			for _, req := range e.endpoint.Received() {
				if req.At.After(d.from.Add(drainTimeout+slack)) && req.At.Before(d.to) && !hasStarted(routers[req.ID], req.At) {
					late = append(late, fmt.Sprintf("%s after %v", req.ID, req.At.Sub(d.from)))
				}
			}
			if len(late) > 0 {
				r.fail("%d requests reached %s later than %v after it had left at %s (partition %t): %v", len(late), d.endpoint, drainTimeout, d.from.Format("04:05.000"), d.partition, late)
			}
		}
	}
}

// checkStops checks that no request that an endpoint has received was interrupted at the end of
// a planned stop, unless the endpoint crashed then.
func (r *leavingRun) checkStops(calls []call, stops []plannedStop) {
	const atExit = 100 * time.Millisecond // the process had exited when plannedStop.to was taken
	received := r.receivedRequests()
	for _, s := range stops {
		for _, c := range calls {
			if c.router != s.router || c.err == nil || c.cancelled() || c.ended.Before(s.to.Add(-atExit)) || c.ended.After(s.to) {
				continue
			}
			for _, req := range received[c.id] {
				if !r.crashedAt(req.Endpoint, c.ended) {
					r.fail("%s was interrupted at the end of the planned stop of %s after %v: %v", c.id, s.router, s.to.Sub(s.from), c.err)
				}
			}
		}
	}
}

// crashedAt reports whether an endpoint crashed within half a second of a time.
func (r *leavingRun) crashedAt(endpoint string, at time.Time) bool {
	for _, c := range r.crashes {
		if c.endpoint == endpoint && c.at.Sub(at).Abs() < 500*time.Millisecond {
			return true
		}
	}
	return false
}
