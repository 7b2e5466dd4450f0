package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

const (
	deadlyBody = "deadly"
	// stableWindow and maxLateRuns are the platform's bound: a request that crashed three
	// endpoints runs at most maxLateRuns times later than stableWindow after the third
	// crash, sent by routers that were undisturbed for stableWindow.
	stableWindow = 4 * time.Second
	maxLateRuns  = 3
	// deadlyFaultTimes is the length of a run in multiples of the fault time, long enough
	// for a trial or two of the refused request.
	deadlyFaultTimes = 3
)

// disturbances are the spans of time in which routers were disturbed.
type disturbances struct {
	mu    sync.Mutex
	spans map[string][][2]time.Time // by router
}

func (d *disturbances) add(router string, from, to time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spans[router] = append(d.spans[router], [2]time.Time{from, to})
}

// excuses reports whether a router was disturbed at a time or in the stableWindow before.
func (d *disturbances) excuses(router string, at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.spans[router], func(s [2]time.Time) bool {
		return !at.Before(s[0]) && at.Before(s[1].Add(stableWindow))
	})
}

// Guards against a request that crashes the endpoints that run it and is sent on by some
// router, while routers do not hear each other or are killed, stopped and frozen, alone and all together, endpoints
// fail requests, and the store rejects calls. Endpoints are reached without proxies, which
// would accept connections for one that has crashed.
func TestDeadlyRequestSoak(t *testing.T) {
	runSeeds(t, runDeadlySeed)
}

func runDeadlySeed(t *testing.T, binary string, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 29))
	f := newFleet(t, binary, 0, 0, 0)
	for i := range 8 {
		e, err := standin.NewEndpoint(fmt.Sprint("service-", i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		f.endpoints = append(f.endpoints, &fleetEndpoint{endpoint: e, pool: "service", dc: fmt.Sprint("dc-", i%2)})
		f.store.Register(e, "service", fmt.Sprint("dc-", i%2), "ready")
	}
	// A generator of its own, so that the faults of a seed stay what they were.
	if contact := rand.New(rand.NewPCG(seed, 31)); contact.IntN(2) == 0 && hasIPv6() {
		apart := contact.Perm(*routerCount)[:contact.IntN(*routerCount+1)]
		f.separated = func(router int) bool { return slices.Contains(apart, router) }
		t.Logf("routers %v do not hear the others", apart)
	}
	for i := range *routerCount {
		f.addRouter(i, nil)
	}
	if !f.awaitReady(recoveryTimeout) {
		f.fail("routers are not ready at the start")
		f.report(seed)
		return
	}
	deadly := healthyEndpoint
	deadly.DeadlyBody, deadly.DownTime = deadlyBody, time.Duration(60+rng.IntN(2000))*time.Millisecond
	for _, e := range f.endpoints {
		e.endpoint.SetFaults(deadly)
	}
	disturbed := &disturbances{spans: map[string][][2]time.Time{}}
	sentBy := &sync.Map{} // request id to the name of its router
	ctx, stop := context.WithTimeout(context.Background(), deadlyFaultTimes**faultDuration)
	defer stop()
	var running sync.WaitGroup
	running.Go(func() { f.sendDeadly(ctx, rand.New(rand.NewPCG(seed, 30)), sentBy) })
	for ctx.Err() == nil {
		f.disturb(rng, deadly, disturbed, &running)
		time.Sleep(time.Duration(500+rng.IntN(2500)) * time.Millisecond)
	}
	running.Wait()
	f.checkDeadlyRuns(sentBy, disturbed)
	f.report(seed)
}

// hasIPv6 reports whether the loopback interface has an address of IPv6.
func hasIPv6() bool {
	l, err := net.Listen("tcp", "[::1]:0")
	if err == nil {
		_ = l.Close()
	}
	return err == nil
}

// sendDeadly sends the deadly request, at times in several copies together, until ctx
// ends.
func (f *fleet) sendDeadly(ctx context.Context, rng *rand.Rand, sentBy *sync.Map) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}
	pause := time.Duration(50+rng.IntN(1500)) * time.Millisecond
	var sending sync.WaitGroup
	defer sending.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		for copyOf := range 1 + rng.IntN(3)*rng.IntN(2) {
			p := f.routers[rng.IntN(len(f.routers))]
			id := fmt.Sprintf("d-%d-%d", n, copyOf)
			sentBy.Store(id, p.name)
			req, _ := http.NewRequest(http.MethodPost, "http://"+p.callerAddress+"/assign/x", strings.NewReader(deadlyBody))
			req.Host = "app.example"
			req.Header.Set("X-Goldcrestturn-Request-Id", id)
			req.Header.Set("X-Goldcrestturn-Deadline-Ms", "2000")
			req.Header.Set("Authorization", fmt.Sprint("Bearer key-", 1+rng.IntN(2)))
			sending.Go(func() {
				if res, err := client.Do(req); err == nil {
					_, _ = io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
				}
			})
		}
		time.Sleep(pause)
	}
}

// disturb starts one random disturbance.
func (f *fleet) disturb(rng *rand.Rand, deadly standin.EndpointFaults, disturbed *disturbances, running *sync.WaitGroup) {
	p := f.routers[rng.IntN(len(f.routers))]
	e := f.endpoints[rng.IntN(len(f.endpoints))]
	duration := time.Duration(300+rng.IntN(2000)) * time.Millisecond
	restart := func(p *process, s syscall.Signal) {
		running.Go(func() {
			begin := time.Now()
			disturbed.add(p.name, begin, begin.Add(time.Minute)) // until it has started again
			p.restart(s)
			for !p.isReady() && time.Since(begin) < 20*time.Second {
				time.Sleep(20 * time.Millisecond)
			}
			disturbed.mu.Lock()
			spans := disturbed.spans[p.name]
			for i := range spans {
				if spans[i][0].Equal(begin) {
					spans[i][1] = time.Now()
				}
			}
			disturbed.mu.Unlock()
		})
	}
	switch rng.IntN(6) {
	case 0:
		restart(p, syscall.SIGKILL)
	case 1:
		restart(p, syscall.SIGTERM)
	case 2:
		for _, p := range f.routers {
			restart(p, syscall.SIGKILL)
		}
	case 3:
		begin := time.Now()
		disturbed.add(p.name, begin, begin.Add(duration))
		p.signal(syscall.SIGSTOP, false)
		running.Go(func() { time.Sleep(duration); p.signal(syscall.SIGCONT, false) })
	case 4:
		failing := deadly
		failing.DeadlyBody, failing.Fail = "", true
		e.endpoint.SetFaults(failing)
		running.Go(func() { time.Sleep(duration); e.endpoint.SetFaults(deadly) })
	case 5:
		begin := time.Now()
		for _, p := range f.routers { // an unstable store excuses all
			disturbed.add(p.name, begin, begin.Add(duration))
		}
		f.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
		running.Go(func() { time.Sleep(duration); f.store.SetFaults(standin.StoreFaults{}) })
	}
}

// checkDeadlyRuns checks the platform's bound.
func (f *fleet) checkDeadlyRuns(sentBy *sync.Map, disturbed *disturbances) {
	var runs []standin.ReceivedRequest
	for _, e := range f.endpoints {
		for _, r := range e.endpoint.Received() {
			if r.Crashed {
				runs = append(runs, r)
			}
		}
	}
	slices.SortFunc(runs, func(a, b standin.ReceivedRequest) int { return a.At.Compare(b.At) })
	late := 0
	for i, r := range runs {
		router, _ := sentBy.Load(r.ID)
		if i >= 3 && r.At.After(runs[2].At.Add(stableWindow)) && !disturbed.excuses(router.(string), r.At) {
			late++
		}
	}
	f.t.Logf("%d endpoints crashed, %d of them late", len(runs), late)
	if len(runs) < 3 {
		f.fail("only %d endpoints crashed", len(runs))
	}
	if late > maxLateRuns {
		f.fail("%d endpoints crashed late, of %d", late, len(runs))
	}
}
