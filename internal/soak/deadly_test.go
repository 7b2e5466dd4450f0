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
	deadlyPart = "dead"
	// stableWindow and maxLateRuns are the platform's bound: a request that crashed three
	// endpoints runs at most maxLateRuns times later than stableWindow after the third
	// crash, sent by routers that were undisturbed for stableWindow. For requests with a
	// part that crashes endpoints it holds from the fifth crash on.
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
	runSeeds(t, func(t *testing.T, binary string, seed uint64) { runDeadlySeed(t, binary, seed, deadlyKind{}) })
}

// Guards against the same for requests that share a prompt part, whatever its position.
func TestDeadlyPartSoak(t *testing.T) {
	runSeeds(t, func(t *testing.T, binary string, seed uint64) {
		runDeadlySeed(t, binary, seed, deadlyKind{part: true, before: []int{14, 300, 1, 15, 2000}[seed%5]})
	})
}

func runDeadlySeed(t *testing.T, binary string, seed uint64, kind deadlyKind) {
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
	deadly.DeadlyBody, deadly.DeadlyPart, deadly.DownTime = deadlyBody, deadlyPart, time.Duration(60+rng.IntN(2000))*time.Millisecond
	t.Logf("deadly: %+v", kind)
	for _, e := range f.endpoints {
		e.endpoint.SetFaults(deadly)
	}
	disturbed := &disturbances{spans: map[string][][2]time.Time{}}
	sentBy := &sync.Map{} // request id to the name of its router
	ctx, stop := context.WithTimeout(context.Background(), deadlyFaultTimes**faultDuration)
	defer stop()
	var running sync.WaitGroup
	running.Go(func() { f.sendDeadly(ctx, rand.New(rand.NewPCG(seed, 30)), kind, sentBy) })
	for ctx.Err() == nil {
		f.disturb(rng, deadly, disturbed, &running)
		time.Sleep(time.Duration(500+rng.IntN(2500)) * time.Millisecond * kind.calm())
	}
	running.Wait()
	f.checkDeadlyRuns(kind.boundAfter(), sentBy, disturbed)
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

// deadlyKind says which requests are deadly: copies of one request, or those with deadlyPart
// behind a number of other parts, no two alike. A head of 16 KB holds 2,000 of these.
type deadlyKind struct {
	part   bool
	before int
}

// boundAfter returns the number of crashes after which the platform bounds the deadly requests.
func (k deadlyKind) boundAfter() int {
	if k.part {
		return 5
	}
	return 3
}

// calm returns how much longer than usual the pauses between disturbances are, which excuse
// most runs: the bound of parts begins later.
func (k deadlyKind) calm() time.Duration {
	if k.part {
		return 3
	}
	return 1
}

// request returns the body and the prompt of a request.
func (k deadlyKind) request(id, part string) (body, prompt string) {
	if !k.part {
		return deadlyBody, ""
	}
	var b strings.Builder
	for i := range k.before {
		fmt.Fprintf(&b, "%x:1,", 0xa000+i)
	}
	return "body of " + id, b.String() + part + ":1,ffff:1"
}

// sendDeadly sends the deadly request, at times in several copies together, until ctx
// ends. If a part of the prompt is deadly, a sound request that shares all others follows.
func (f *fleet) sendDeadly(ctx context.Context, rng *rand.Rand, kind deadlyKind, sentBy *sync.Map) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}
	pause := time.Duration(50+rng.IntN(1500)) * time.Millisecond
	var sending sync.WaitGroup
	defer sending.Wait()
	send := func(id, part string) {
		router := f.routers[rng.IntN(len(f.routers))]
		sentBy.Store(id, router.name)
		body, prompt := kind.request(id, part)
		req, _ := http.NewRequest(http.MethodPost, "http://"+router.callerAddress+"/assign/x", strings.NewReader(body))
		req.Host = "app.example"
		req.Header.Set("X-Goldcrestturn-Request-Id", id)
		req.Header.Set("X-Goldcrestturn-Deadline-Ms", "2000")
		req.Header.Set("Authorization", fmt.Sprint("Bearer key-", 1+rng.IntN(2)))
		if prompt != "" {
			req.Header.Set("X-Goldcrestturn-Prefix-Hash", prompt)
		}
		sending.Go(func() {
			if res, err := client.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
			}
		})
	}
	for n := 0; ctx.Err() == nil; n++ {
		for copyOf := range 1 + rng.IntN(3)*rng.IntN(2) {
			send(fmt.Sprintf("d-%d-%d", n, copyOf), deadlyPart)
		}
		time.Sleep(pause)
		if kind.part {
			send(fmt.Sprintf("s-%d", n), "50d")
		}
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
		failing.DeadlyBody, failing.DeadlyPart, failing.Fail = "", "", true
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

// checkDeadlyRuns checks the platform's bound, which holds from stableWindow after the given
// number of crashes.
func (f *fleet) checkDeadlyRuns(boundAfter int, sentBy *sync.Map, disturbed *disturbances) {
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
		if i >= boundAfter && r.At.After(runs[boundAfter-1].At.Add(stableWindow)) && !disturbed.excuses(router.(string), r.At) {
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
