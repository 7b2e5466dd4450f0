package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// Guards against requests that may run once and run twice, or run although they were
// refused as not run, while all endpoints of a small pool restart at their addresses: the
// list still names the processes before, all answers are sent a second time, and
// connections are reset, cut in one direction or slow. TestSoak has neither late copies
// nor a list that lags behind, and missed such requests.
func TestRestartSoak(t *testing.T) {
	runSeeds(t, runRestartSeed)
}

func runRestartSeed(t *testing.T, binary string, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 39))
	f := newFleet(t, binary, 1+rng.IntN(2), 1+rng.IntN(2), *routerCount)
	if !f.awaitReady(recoveryTimeout) {
		f.fail("routers are not ready at the start")
		f.report(seed)
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), *faultDuration)
	defer stop()
	c := &callers{fleet: f}
	c.start(ctx, callerCount, seed)
	var listed sync.WaitGroup
	for restarts := 0; ctx.Err() == nil; restarts++ {
		f.restartPool(rng, restarts, &listed)
		if e := f.endpoints[rng.IntN(len(f.endpoints))]; rng.IntN(3) == 0 {
			e.proxy.setFault(fault(1 + rng.IntN(4)))
			listed.Go(func() { time.Sleep(500 * time.Millisecond); e.proxy.setFault(faultNone) })
		}
		time.Sleep(time.Duration(100+rng.IntN(500)) * time.Millisecond)
	}
	c.group.Wait()
	listed.Wait()
	calls := c.snapshot()
	f.check(calls)
	answered := 0
	for _, r := range calls {
		if r.status == http.StatusOK && r.err == nil {
			answered++
		}
	}
	t.Logf("%d of %d calls were answered", answered, len(calls))
	if answered == 0 {
		f.fail("none of %d calls was answered", len(calls))
	}
	f.report(seed)
}

// restartPool resets the connections of all endpoints of a random pool, as their restart
// does, and lists each under the ids of up to three earlier processes too for a while.
func (f *fleet) restartPool(rng *rand.Rand, number int, listed *sync.WaitGroup) {
	pool := []string{"engines", "service"}[rng.IntN(2)]
	faults := f.healthy
	faults.LateCopies = []string{standin.CopyOnNext, standin.CopyWhileIdle}[rng.IntN(2)]
	lag := time.Duration(500+rng.IntN(2500)) * time.Millisecond
	for _, e := range f.endpoints {
		if e.pool != pool {
			continue
		}
		e.endpoint.SetFaults(faults)
		var ids []string
		for old := range 1 + rng.IntN(3) {
			ids = append(ids, fmt.Sprintf("%s-before-%d-%d", e.endpoint.ID, number, old))
		}
		for _, id := range ids {
			f.putEndpointAs(id, e, "ready")
		}
		e.proxy.reset()
		listed.Go(func() {
			time.Sleep(lag)
			for _, id := range ids {
				f.store.Put("keyed.servers", id, nil)
			}
		})
	}
}
