package measure

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Sizes of the planned stops.
const (
	stopWorlds    = 5
	stopHistories = 200 // per world; a quarter are service calls
	// longAnswer is the number of tokens that every answer has at the least.
	// About 20 streams are open at any time.
	longAnswer  = 100
	stopSpread  = 30 * time.Second
	stopDrain   = 20 * time.Second // longer than the longest answer
	shortDrain  = 200 * time.Millisecond
	balancerLag = time.Second // until the balancer has seen that an entry is not ready
)

// stopTally sums up requests under planned stops.
type stopTally struct {
	requests, cut     int64
	refused           int64 // sends refused as not run during a stop and sent again
	moved             int64 // stops whose streams had to move to another endpoint
	entries, sides    int64 // planned stops by kind
	marks, incomplete int64 // leaving marks of the platform; drains that did not end in time
}

type stopRun struct {
	*claimRun
	chats []*chat
	tally stopTally
}

func newStopRun(seed uint64, n int, wo without) *stopRun {
	chats := newAnswerRun(seed, n-n/4, nil, wo)
	chats.world.cancel()
	for _, c := range chats.chats {
		c.tokens += longAnswer + chats.rng.IntN(2*longAnswer)
		c.setBody()
	}
	return &stopRun{claimRun: newClaimRun(seed, n/4, nil, wo), chats: chats.chats}
}

// run runs the world inside a bubble: streams and reservations go on while
// entries, sides and endpoints are stopped as planned.
func (r *stopRun) run() stopTally {
	for i := range stateServices {
		r.addSide(fmt.Sprint("stock-", i), "stock", model.Service, r.service())
	}
	for i := range stateEngines {
		r.addEngine(fmt.Sprint("engine-", i))
	}
	r.addEntries()
	var load sync.WaitGroup
	for i, c := range r.chats {
		load.Go(func() { r.liveChat(c, rand.New(rand.NewPCG(r.seed, uint64(i)))) })
	}
	for i, h := range r.histories {
		load.Go(func() { r.liveCall(h, rand.New(rand.NewPCG(r.seed, uint64(5000+i)))) })
	}
	r.stopAll()
	load.Wait()
	r.count()
	r.close()
	return r.tally
}

// stopAll stops every second entry, side and endpoint in turn, two kinds at a
// time, and starts a successor for each.
func (r *stopRun) stopAll() {
	for i := range 4 {
		at, drain := i, stopDrain
		if i%2 == 1 {
			drain = shortDrain
			r.tally.moved++
		}
		engine, stock := r.sides[stateServices+i], r.sides[i]
		r.group.Go(func() error { r.stopSide(engine, drain, false); return nil })
		r.group.Go(func() error { r.stopSide(stock, stopDrain, i >= 2); return nil })
		r.addEngine(fmt.Sprint("engine-", 100+i))
		r.addSide(fmt.Sprint("stock-", 100+i), "stock", model.Service, r.service())
		if i < 2 {
			r.group.Go(func() error { r.stopEntry(r.entries[at]); return nil })
			r.tally.entries++
		}
		r.tally.sides += 2
		wait(stopSpread / 5)
	}
}

// stopSide stops a side as SIGTERM does, or after the platform's leaving mark.
func (r *stopRun) stopSide(n *sideNode, drain time.Duration, marked bool) {
	if marked {
		atomic.AddInt64(&r.tally.marks, 1)
		r.mark(n, instances.Leaving)
		wait(2 * time.Second)
	}
	if !n.side.Drain(r.ctx, drain) && drain == stopDrain {
		atomic.AddInt64(&r.tally.incomplete, 1)
	}
	wait(100 * time.Millisecond) // the server closes connections after the last answer
	n.host.Kill()
	n.stop()
	wait(time.Second) // the list lags
	r.mark(n, instances.Gone)
}

func (r *stopRun) stopEntry(n *entryNode) {
	n.leavesAt.Store(time.Now().Add(balancerLag).UnixNano())
	if !n.entry.Drain(r.ctx, stopDrain) {
		atomic.AddInt64(&r.tally.incomplete, 1)
	}
	n.host.Kill()
	n.stop()
}

// balance returns an entry that the balancer takes for ready.
func (r *stopRun) balance(rng *rand.Rand) int {
	for {
		i := rng.IntN(len(r.entries))
		if at := r.entries[i].leavesAt.Load(); at == 0 || time.Now().UnixNano() < at {
			return i
		}
	}
}

// liveChat asks once. A refusal as not run is sent again; a cut is counted.
func (r *stopRun) liveChat(c *chat, rng *rand.Rand) {
	wait(time.Duration(rng.Int64N(int64(stopSpread))))
	one := &answerRun{world: r.world}
	for end := time.Now().Add(stopSpread); one.ask(c, r.balance(rng)) && time.Now().Before(end); {
		wait(500 * time.Millisecond)
	}
}

// liveCall reserves once and sends a call that was refused as not run again.
func (r *stopRun) liveCall(h *history, rng *rand.Rand) {
	wait(time.Duration(rng.Int64N(int64(stopSpread))))
	for _, s := range h.sends {
		r.send(h, s, r.balance(rng))
		if s.outcome != model.OutcomeNotRun {
			return
		}
		wait(500 * time.Millisecond)
	}
}

func (r *stopRun) count() {
	t := &r.tally
	for _, c := range r.chats {
		t.requests++
		if !c.done || c.wrong {
			t.cut++
		}
	}
	for _, h := range r.histories {
		t.requests++
		answered := false
		for _, s := range h.sends {
			answered = answered || s.status == http.StatusOK
			if s.outcome == model.OutcomeNotRun {
				t.refused++
			}
		}
		if !answered {
			t.cut++
		}
	}
}

func runStopWorlds(env Env, worlds, histories int, wo without) stopTally {
	var sum stopTally
	for i := range worlds {
		env.Bubble(func() {
			t := newStopRun(env.Seed*3_000_017+uint64(i)*977, histories, wo).run()
			sum.requests += t.requests
			sum.cut += t.cut
			sum.refused += t.refused
			sum.moved += t.moved
			sum.entries += t.entries
			sum.sides += t.sides
			sum.marks += t.marks
			sum.incomplete += t.incomplete
		})
	}
	return sum
}
