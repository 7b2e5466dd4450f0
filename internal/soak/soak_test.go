package soak

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

var (
	seedRange     = flag.String("soak", "", "first and last seed, such as 1-50; empty runs the CI seeds and the regressions")
	faultDuration = flag.Duration("fault-time", 8*time.Second, "duration of the faults in a run")
	routerCount   = flag.Int("routers", 3, "number of routers in a run")
	logDir        = flag.String("keep", "", "directory for the router logs of failed seeds")
)

// regressions are seeds that failed in the past, each with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// ciSeeds run in each test run in addition to the regressions.
var ciSeeds = []uint64{1, 2}

// Guards against violations of the guarantees in the platform's documentation
// while faults overlap. The routers are processes of the real program.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := buildRouter(t)
	seeds := soakSeeds(t)
	if *seedRange == "" {
		for _, r := range regressions {
			seeds = append(seeds, r.seed)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, binary, seed, (*fleet).keepEvents) })
	}
}

// Guards against the same where the lines of events are as long as buffers, and streams break
// off near the ends of events or end with blank lines.
func TestSoakWithLongEvents(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := buildRouter(t)
	for _, seed := range soakSeeds(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, binary, seed, (*fleet).drawEvents) })
	}
}

// runSeeds calls run with the router program for each seed, in parallel.
func runSeeds(t *testing.T, run func(t *testing.T, binary string, seed uint64)) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := buildRouter(t)
	for _, seed := range soakSeeds(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run(t, binary, seed)
		})
	}
}

// soakSeeds returns the seeds to run: those of the -soak flag, or ciSeeds without it.
func soakSeeds(t *testing.T) []uint64 {
	t.Helper()
	if *seedRange == "" {
		return slices.Clone(ciSeeds)
	}
	var first, last uint64
	if _, err := fmt.Sscanf(*seedRange, "%d-%d", &first, &last); err != nil {
		t.Fatal(err)
	}
	var seeds []uint64
	for s := first; s <= last; s++ {
		seeds = append(seeds, s)
	}
	return seeds
}

// buildRouter builds the router program and returns its path.
func buildRouter(t *testing.T) string {
	t.Helper()
	return buildProgram(t, "goldcrest-router")
}

// buildProgram builds a program of cmd and returns its path.
func buildProgram(t *testing.T, name string) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), name)
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/"+name).CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// minPipeFill is the least number of bytes in a full pipe on Linux: its capacity
// of 64 KiB less one line that did not fit.
const minPipeFill = 60 << 10

// Guards against a router that blocks on writes to its standard output. When
// nobody reads the pipe that it writes to, callers must be served as before and a
// planned stop must complete.
func TestOutputThatNobodyReads(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f := newFleet(t, buildRouter(t), 2, 2, 0)
	unread, out, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer unread.Close()
	f.addRouter(0, out)
	if !f.awaitReady(recoveryTimeout) {
		t.Fatal("the router is not ready at the start")
	}
	c := &callers{fleet: f}
	ctx, stop := context.WithCancel(context.Background())
	c.start(ctx, 3*callerCount, 1)
	// A pipe holds 64 KiB, about 200 lines, which the callers cause in a second.
	time.Sleep(4 * time.Second)
	stop()
	c.group.Wait()
	calls := c.snapshot()
	f.check(calls)
	slow := 0
	for _, r := range calls[len(calls)/2:] {
		if r.status == http.StatusOK && r.ended.Sub(r.sent) > time.Second { // usually 0.02 to 0.1 s
			slow++
		}
		if r.err == nil && r.status != http.StatusOK {
			f.fail("%s was answered with status %d", r.id, r.status)
		}
	}
	if len(calls) < 500 || slow > 0 {
		f.fail("%d calls, %d of them took over a second", len(calls), slow)
	}
	f.routers[0].restart(syscall.SIGTERM)
	_ = unread.SetReadDeadline(time.Now().Add(time.Second))
	if n, _ := io.Copy(io.Discard, io.LimitReader(unread, minPipeFill)); n < minPipeFill {
		f.fail("the pipe was not full: %d bytes", n)
	}
	f.report(1)
}

const (
	callerCount     = 8
	recoveryTimeout = 12 * time.Second
	revokeTimeout   = 5 * time.Second
	drainTimeout    = 2 * time.Second
	// slack covers the time between the router sending a request and the stand-in
	// recording it, on a busy machine.
	slack = 300 * time.Millisecond
)

// runSeed runs a fleet under the faults of one seed and checks the guarantees. setEvents
// chooses the form of the events.
func runSeed(t *testing.T, binary string, seed uint64, setEvents func(*fleet, *rand.Rand)) {
	rng := rand.New(rand.NewPCG(seed, 0))
	f := newFleet(t, binary, 4, 2, *routerCount)
	setEvents(f, rand.New(rand.NewPCG(seed, 33)))
	if !f.awaitReady(recoveryTimeout) {
		t.Fatal("routers are not ready at the start")
	}
	c := &callers{fleet: f}
	ctx, stop := context.WithCancel(context.Background())
	c.start(ctx, callerCount, seed)
	revoked := f.injectFaults(rng, *faultDuration)
	f.clearFaults()
	if !f.awaitReady(recoveryTimeout) {
		f.fail("routers are not ready %v after the faults", recoveryTimeout)
	}
	f.checkRecovery(c)
	f.checkDraining()
	f.checkPlannedStop(c, rng)
	stop()
	c.group.Wait()
	f.check(c.snapshot())
	f.checkRevoked(c.snapshot(), revoked)
	f.report(seed)
}

// report reports the recorded failures to the test. If there are any and a
// directory is configured, it saves the logs of the routers there.
func (f *fleet) report(seed uint64) {
	if len(f.failures) == 0 {
		return
	}
	if *logDir != "" {
		dir := filepath.Join(*logDir, fmt.Sprintf("seed-%d", seed))
		_ = os.MkdirAll(dir, 0o755)
		for _, p := range f.routers {
			if data, err := os.ReadFile(p.log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(dir, filepath.Base(p.log.Name())), data, 0o600)
			}
		}
	}
	for i, failure := range f.failures {
		if i == 20 {
			f.t.Errorf("and %d more", len(f.failures)-i)
			return
		}
		f.t.Error(failure)
	}
}

// injectFaults injects random faults that overlap, for d. Half way through, or at
// the end at the latest, it revokes key-2 for good. It returns the time of the
// revocation.
func (f *fleet) injectFaults(rng *rand.Rand, d time.Duration) time.Time {
	var pending sync.WaitGroup
	var restoring atomic.Bool // one drill at a time
	version := 1
	revocation := time.Now().Add(d / 2) // the planned time, replaced by the actual one
	revoked := false
	for end := time.Now().Add(d); time.Now().Before(end); {
		p := f.routers[rng.IntN(len(f.routers))]
		e := f.endpoints[rng.IntN(len(f.endpoints))]
		duration := time.Duration(300+rng.IntN(2200)) * time.Millisecond
		withFault := func(begin, finish func()) {
			begin()
			pending.Add(1)
			time.AfterFunc(duration, func() { finish(); pending.Done() })
		}
		switch rng.IntN(11) {
		case 0:
			pending.Add(1)
			go func() { p.restart(syscall.SIGKILL); pending.Done() }()
		case 1:
			pending.Add(1)
			go func() { p.restart(syscall.SIGTERM); pending.Done() }()
		case 2:
			withFault(func() { p.signal(syscall.SIGSTOP, false) }, func() { p.signal(syscall.SIGCONT, false) })
		case 3:
			p.signal(syscall.SIGHUP, false)
		case 4:
			withFault(func() { f.storeProxy.setFault(fault(1 + rng.IntN(4))) }, func() { f.storeProxy.setFault(faultNone) })
		case 5:
			faults := []standin.StoreFaults{{Status: 503}, {Status: 429}, {Delay: 300 * time.Millisecond}, {LoseEvery: 1}}
			withFault(func() { f.store.SetFaults(faults[rng.IntN(len(faults))]) }, func() { f.store.SetFaults(standin.StoreFaults{}) })
		case 6, 7:
			withFault(func() { e.endpoint.SetFaults(f.randomEndpointFault(rng)) }, func() { e.endpoint.SetFaults(f.healthy) })
		case 8:
			withFault(func() { e.proxy.setFault(fault(1 + rng.IntN(4))) }, func() { e.proxy.setFault(faultNone) })
		case 9:
			version++
			keys := []string{"key-1", "key-2"}
			if revoked {
				keys = keys[:1]
			}
			f.store.SetConfig(routeConfig(version, keys...))
		case 10:
			drill := standin.RestoreDrill{
				Back:    time.Duration(200+rng.IntN(1800)) * time.Millisecond, // with the rest less than revokeTimeout
				Outage:  time.Duration(rng.IntN(600)) * time.Millisecond,
				Rewrite: time.Duration(rng.IntN(500)) * time.Millisecond,
			}
			if restoring.CompareAndSwap(false, true) {
				pending.Add(1)
				go func() { f.store.Restore(drill); restoring.Store(false); pending.Done() }()
			}
		}
		if !revoked && time.Now().After(revocation) {
			version++
			f.store.SetConfig(routeConfig(version, "key-1"))
			revoked, revocation = true, time.Now()
		}
		time.Sleep(time.Duration(100+rng.IntN(400)) * time.Millisecond)
	}
	pending.Wait()
	if !revoked {
		f.store.SetConfig(routeConfig(version+1, "key-1"))
		revocation = time.Now()
	}
	return revocation
}

// keepEvents leaves the events as they are.
func (f *fleet) keepEvents(*rand.Rand) {}

// drawEvents draws the form of the events that endpoints send, and where a stream breaks off
// in the middle of one. Its generator is one of its own, so that the faults of a seed stay what
// they were.
func (f *fleet) drawEvents(rng *rand.Rand) {
	f.healthy.EventLine = []int{1023, 1024, 2048, 4096}[rng.IntN(4)]
	f.healthy.LastBlanks = rng.IntN(2)
	f.healthy.Unsent = []int{0, 1, 1, 2}[rng.IntN(4)]
	for _, e := range f.endpoints {
		e.endpoint.SetFaults(f.healthy)
	}
	f.t.Logf("lines of %d bytes, %d blank lines at the end, %d bytes of the last event not sent", f.healthy.EventLine, f.healthy.LastBlanks, f.healthy.Unsent)
}

// randomEndpointFault returns a random fault of an endpoint.
func (f *fleet) randomEndpointFault(rng *rand.Rand) standin.EndpointFaults {
	faults := f.healthy
	switch rng.IntN(9) {
	case 0:
		faults.RefuseAll = true
	case 1:
		faults.Fail = true
	case 2:
		faults.Drop = true
	case 3:
		faults.Garble = true
	case 4:
		faults.Extra = true
	case 5:
		faults.TruncateAfter = 3
	case 6:
		faults.Hang = true
	case 7:
		faults.BreakOff = standin.BreakByReset // a close is in order if the body is short
	case 8:
		faults.Status = []string{"000", "099", "600", "999"}[rng.IntN(4)]
	}
	return faults
}

// clearFaults clears the faults of the store, the endpoints and the proxies.
func (f *fleet) clearFaults() {
	f.storeProxy.setFault(faultNone)
	f.store.SetFaults(standin.StoreFaults{})
	for _, e := range f.endpoints {
		e.proxy.setFault(faultNone)
		e.endpoint.SetFaults(f.healthy)
	}
}

// checkRecovery checks that callers are served after the faults.
func (f *fleet) checkRecovery(c *callers) {
	time.Sleep(4 * time.Second) // endpoints are cold for a while after failures
	begin := time.Now()
	time.Sleep(time.Second)
	sent, served := 0, 0
	for _, r := range c.snapshot() {
		if r.sent.After(begin) && r.key == "key-1" && r.ended.Sub(r.sent) > 0 {
			sent++
			if r.status == http.StatusOK && r.err == nil {
				served++
			}
		}
	}
	if sent == 0 || served*10 < sent*8 {
		f.fail("%d of %d calls are served after the faults", served, sent)
	}
}

// checkDraining checks that a draining endpoint receives no requests after
// drainTimeout.
func (f *fleet) checkDraining() {
	e := f.endpoints[0]
	f.putEndpoint(e, "draining")
	drainingSince := time.Now()
	time.Sleep(drainTimeout + time.Second)
	for _, r := range e.endpoint.Received() {
		if r.At.After(drainingSince.Add(drainTimeout + slack)) {
			f.fail("%s reached %s %v after it started to drain", r.ID, r.Endpoint, r.At.Sub(drainingSince))
		}
	}
	f.putEndpoint(e, "ready")
}

// checkPlannedStop restarts a router under load with a planned stop and checks
// that the stop interrupts no request that an endpoint has received.
func (f *fleet) checkPlannedStop(c *callers, rng *rand.Rand) {
	p := f.routers[rng.IntN(len(f.routers))]
	begin := time.Now()
	p.restart(syscall.SIGTERM)
	end := time.Now()
	received := f.receivedRequests()
	for _, r := range c.snapshot() {
		if r.router != p.name || r.sent.Before(begin) || r.sent.After(end) || r.err == nil || r.ended.Sub(r.sent) < 70*time.Millisecond {
			continue // callers that cancel do so within 60 ms
		}
		if len(received[r.id]) > 0 {
			f.fail("%s was interrupted by the planned stop of %s: %v", r.id, p.name, r.err)
		}
	}
}

// checkRevoked checks that no router accepts a revoked key later than
// revokeTimeout after its revocation.
func (f *fleet) checkRevoked(calls []call, revokedAt time.Time) {
	receivedByID := f.receivedRequests()
	for _, c := range calls {
		if c.key != "key-2" || !c.sent.After(revokedAt.Add(revokeTimeout)) {
			continue
		}
		for _, r := range receivedByID[c.id] {
			if r.Ran {
				f.fail("%s ran %v after its key was revoked", c.id, r.At.Sub(revokedAt))
			}
		}
	}
}
