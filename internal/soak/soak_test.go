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
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

var (
	seeds    = flag.String("soak", "", "first and last seed, such as 1-50; empty runs the regression cases")
	faultFor = flag.Duration("fault-time", 8*time.Second, "time with faults in a run")
	size     = flag.Int("routers", 3, "routers of a run")
	keep     = flag.String("keep", "", "directory for the logs of a seed that fails")
)

// regressions are the seeds that failed once, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// ciSeeds run in each test run beside the regressions.
var ciSeeds = []uint64{1, 2}

// Guards the promises of the platform's pages under faults that overlap, with
// the real program in separate processes.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := build(t)
	list := ciSeeds
	for _, r := range regressions {
		list = append(list, r.seed)
	}
	if *seeds != "" {
		var first, last uint64
		if _, err := fmt.Sscanf(*seeds, "%d-%d", &first, &last); err != nil {
			t.Fatal(err)
		}
		list = nil
		for s := first; s <= last; s++ {
			list = append(list, s)
		}
	}
	for _, seed := range list {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { run(t, binary, seed) })
	}
}

// build builds the router and returns its path.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "goldcrest-router")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/goldcrest-router").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// pipeSize is what a pipe holds on Linux, less one line that did not fit.
const pipeSize = 60 << 10

// Guards against a router that waits for whoever reads its standard output: with
// a pipe that nobody reads, callers are served as before and a planned stop ends.
func TestOutputThatNobodyReads(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f := newFleet(t, build(t), 2, 2, 0)
	unread, out, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer unread.Close()
	f.addRouter(0, out)
	if !f.awaitReady(recoverTime) {
		t.Fatal("the router is not ready at the start")
	}
	c := &callers{fleet: f}
	ctx, stop := context.WithCancel(context.Background())
	c.run(ctx, 3*callerCount, 1)
	// A pipe holds 64 KiB, about 200 lines, which the callers cause in a second.
	time.Sleep(4 * time.Second)
	stop()
	c.group.Wait()
	calls := c.all()
	f.check(calls)
	late := 0
	for _, r := range calls[len(calls)/2:] {
		if r.status == http.StatusOK && r.ended.Sub(r.sent) > time.Second { // usual are 0.02 to 0.1 s
			late++
		}
		if r.err == nil && r.status != http.StatusOK {
			f.fail("%s was answered %d", r.id, r.status)
		}
	}
	if len(calls) < 500 || late > 0 {
		f.fail("%d calls, %d of them late", len(calls), late)
	}
	f.routers[0].restart(syscall.SIGTERM)
	_ = unread.SetReadDeadline(time.Now().Add(time.Second))
	if n, _ := io.Copy(io.Discard, io.LimitReader(unread, pipeSize)); n < pipeSize {
		f.fail("the pipe was not full: %d bytes", n)
	}
	f.report(1)
}

const (
	callerCount = 8
	recoverTime = 12 * time.Second
	revokeTime  = 5 * time.Second
	drainTime   = 2 * time.Second
	// slack covers the time from the router's send to the arrival that the
	// stand-in notes, on a machine that is busy.
	slack = 300 * time.Millisecond
)

func run(t *testing.T, binary string, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	f := newFleet(t, binary, 4, 2, *size)
	if !f.awaitReady(recoverTime) {
		t.Fatal("routers are not ready at the start")
	}
	c := &callers{fleet: f}
	ctx, stop := context.WithCancel(context.Background())
	c.run(ctx, callerCount, seed)
	revoked := f.disturbFor(rng, *faultFor)
	f.calm()
	if !f.awaitReady(recoverTime) {
		f.fail("routers are not ready %v after the faults", recoverTime)
	}
	f.checkRecovery(c)
	f.checkLeaving()
	f.checkPlannedStop(c, rng)
	stop()
	c.group.Wait()
	f.check(c.all())
	f.checkRevoked(c.all(), revoked)
	f.report(seed)
}

// report fails the run with what was seen and keeps the logs if asked to.
func (f *fleet) report(seed uint64) {
	if len(f.failures) == 0 {
		return
	}
	if *keep != "" {
		dir := filepath.Join(*keep, fmt.Sprintf("seed-%d", seed))
		_ = os.MkdirAll(dir, 0o755)
		for _, p := range f.routers {
			if data, err := os.ReadFile(p.log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(dir, filepath.Base(p.log.Name())), data, 0o600)
			}
		}
	}
	for i, s := range f.failures {
		if i == 20 {
			f.t.Errorf("and %d more", len(f.failures)-i)
			return
		}
		f.t.Error(s)
	}
}

// disturbFor plays faults in series that overlap. It returns when a key was
// taken away for good.
func (f *fleet) disturbFor(rng *rand.Rand, d time.Duration) time.Time {
	var busy sync.WaitGroup
	version := 1
	revoked := time.Now().Add(d / 2)
	taken := false
	for end := time.Now().Add(d); time.Now().Before(end); {
		p := f.routers[rng.IntN(len(f.routers))]
		m := f.members[rng.IntN(len(f.members))]
		lasts := time.Duration(300+rng.IntN(2200)) * time.Millisecond
		during := func(begin, finish func()) {
			begin()
			busy.Add(1)
			time.AfterFunc(lasts, func() { finish(); busy.Done() })
		}
		switch rng.IntN(10) {
		case 0:
			busy.Add(1)
			go func() { p.restart(syscall.SIGKILL); busy.Done() }()
		case 1:
			busy.Add(1)
			go func() { p.restart(syscall.SIGTERM); busy.Done() }()
		case 2:
			during(func() { p.signal(syscall.SIGSTOP, false) }, func() { p.signal(syscall.SIGCONT, false) })
		case 3:
			p.signal(syscall.SIGHUP, false)
		case 4:
			during(func() { f.storeLink.set(fault(1 + rng.IntN(4))) }, func() { f.storeLink.set(none) })
		case 5:
			faults := []standin.StoreFaults{{Status: 503}, {Status: 429}, {Delay: 300 * time.Millisecond}, {LoseEvery: 1}}
			during(func() { f.store.SetFaults(faults[rng.IntN(len(faults))]) }, func() { f.store.SetFaults(standin.StoreFaults{}) })
		case 6, 7:
			during(func() { m.endpoint.SetFaults(drawFault(rng)) }, func() { m.endpoint.SetFaults(ordinary) })
		case 8:
			during(func() { m.proxy.set(fault(1 + rng.IntN(4))) }, func() { m.proxy.set(none) })
		case 9:
			version++
			keys := []string{"key-1", "key-2"}
			if taken {
				keys = keys[:1]
			}
			f.store.SetConfig(config(version, keys...))
		}
		if !taken && time.Now().After(revoked) {
			version++
			f.store.SetConfig(config(version, "key-1"))
			taken, revoked = true, time.Now()
		}
		time.Sleep(time.Duration(100+rng.IntN(400)) * time.Millisecond)
	}
	busy.Wait()
	if !taken {
		f.store.SetConfig(config(version+1, "key-1"))
		revoked = time.Now()
	}
	return revoked
}

func drawFault(rng *rand.Rand) standin.EndpointFaults {
	x := ordinary
	switch rng.IntN(7) {
	case 0:
		x.RefuseAll = true
	case 1:
		x.Fail = true
	case 2:
		x.Drop = true
	case 3:
		x.Garble = true
	case 4:
		x.Extra = true
	case 5:
		x.CutAfter = 3
	case 6:
		x.Hang = true
	}
	return x
}

// calm ends all faults.
func (f *fleet) calm() {
	f.storeLink.set(none)
	f.store.SetFaults(standin.StoreFaults{})
	for _, m := range f.members {
		m.proxy.set(none)
		m.endpoint.SetFaults(ordinary)
	}
}

// checkRecovery checks that callers are served once the faults are over.
func (f *fleet) checkRecovery(c *callers) {
	time.Sleep(4 * time.Second) // endpoints are cold for a while after failures
	begin := time.Now()
	time.Sleep(time.Second)
	asked, served := 0, 0
	for _, r := range c.all() {
		if r.sent.After(begin) && r.key == "key-1" && r.ended.Sub(r.sent) > 0 {
			asked++
			if r.status == http.StatusOK && r.err == nil {
				served++
			}
		}
	}
	if asked == 0 || served*10 < asked*8 {
		f.fail("%d of %d calls are served after the faults", served, asked)
	}
}

// checkLeaving checks that endpoints that leave get nothing after their time.
func (f *fleet) checkLeaving() {
	m := f.members[0]
	f.list(m, "draining")
	acked := time.Now()
	time.Sleep(drainTime + time.Second)
	for _, s := range m.endpoint.Received() {
		if s.At.After(acked.Add(drainTime + slack)) {
			f.fail("%s reached %s %v after it said that it leaves", s.ID, s.Endpoint, s.At.Sub(acked))
		}
	}
	f.list(m, "ready")
}

// checkPlannedStop stops a router under load, which must cut nothing.
func (f *fleet) checkPlannedStop(c *callers, rng *rand.Rand) {
	p := f.routers[rng.IntN(len(f.routers))]
	begin := time.Now()
	p.restart(syscall.SIGTERM)
	end := time.Now()
	arrivals := f.arrivals()
	for _, r := range c.all() {
		if r.router != p.name || r.sent.Before(begin) || r.sent.After(end) || r.err == nil || r.ended.Sub(r.sent) < 70*time.Millisecond {
			continue // callers that leave early do so within 60 ms
		}
		if len(arrivals[r.id]) > 0 {
			f.fail("%s was cut by the planned stop of %s: %v", r.id, p.name, r.err)
		}
	}
}

// checkRevoked checks that a key that was taken away opens nothing after its
// time, at any router.
func (f *fleet) checkRevoked(calls []call, at time.Time) {
	arrivals := f.arrivals()
	for _, r := range calls {
		if r.key != "key-2" || !r.sent.After(at.Add(revokeTime)) {
			continue
		}
		for _, s := range arrivals[r.id] {
			if s.Ran {
				f.fail("%s ran %v after its key was taken away", r.id, s.At.Sub(at))
			}
		}
	}
}
