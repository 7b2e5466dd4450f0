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
	// minAnswerTokens is the least number of tokens of an answer. It keeps about 20
	// streams open at any time.
	minAnswerTokens   = 100
	stopSpread        = 30 * time.Second
	stopDrainTimeout  = 20 * time.Second // longer than the longest answer
	shortDrainTimeout = 200 * time.Millisecond
	balancerLag       = time.Second // until the load balancer sees that an entry is not ready
)

// stopTally counts the outcomes of requests during planned stops.
type stopTally struct {
	requests, interrupted int64
	refused               int64 // calls refused as not run during a stop and retried
	moved                 int64 // stops whose streams had to resume at another endpoint
	entries, sides        int64 // planned stops by kind of process
	marks, incomplete     int64 // leaving marks of the platform; drains that did not end in time
}

type stopRun struct {
	*claimRun
	chats []*chat
	tally stopTally
}

func newStopRun(seed uint64, n int, disabled disabledMechanisms) *stopRun {
	chats := newAnswerRun(seed, n-n/4, nil, disabled)
	chats.world.cancel()
	for _, c := range chats.chats {
		c.tokens += minAnswerTokens + chats.rng.IntN(2*minAnswerTokens)
		c.setBody()
	}
	return &stopRun{claimRun: newClaimRun(seed, n/4, nil, disabled), chats: chats.chats}
}

// run runs the world: entries, sides and endpoints shut down gracefully during
// streams and reservations. The caller provides the bubble.
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
		load.Go(func() { r.runChat(c, rand.New(rand.NewPCG(r.seed, uint64(i)))) })
	}
	for i, h := range r.histories {
		load.Go(func() { r.runCall(h, rand.New(rand.NewPCG(r.seed, uint64(5000+i)))) })
	}
	r.stopAll()
	load.Wait()
	r.count()
	r.close()
	return r.tally
}

// stopAll stops half of the entries and all sides with their endpoints in turn,
// several at a time, and starts a successor for each side.
func (r *stopRun) stopAll() {
	for i := range 4 {
		index, drain := i, stopDrainTimeout
		if i%2 == 1 {
			drain = shortDrainTimeout
			r.tally.moved++
		}
		engine, stock := r.sides[stateServices+i], r.sides[i]
		r.group.Go(func() error { r.stopSide(engine, drain, false); return nil })
		r.group.Go(func() error { r.stopSide(stock, stopDrainTimeout, i >= 2); return nil })
		r.addEngine(fmt.Sprint("engine-", 100+i))
		r.addSide(fmt.Sprint("stock-", 100+i), "stock", model.Service, r.service())
		if i < 2 {
			r.group.Go(func() error { r.stopEntry(r.entries[index]); return nil })
			r.tally.entries++
		}
		r.tally.sides += 2
		wait(stopSpread / 5)
	}
}

// stopSide stops a side as SIGTERM does. If marked is set, the platform lists the
// side as leaving two seconds before.
func (r *stopRun) stopSide(n *sideNode, drain time.Duration, marked bool) {
	if marked {
		atomic.AddInt64(&r.tally.marks, 1)
		r.setStatus(n, instances.Leaving)
		wait(2 * time.Second)
	}
	if !n.side.Drain(r.ctx, drain) && drain == stopDrainTimeout {
		atomic.AddInt64(&r.tally.incomplete, 1)
	}
	wait(100 * time.Millisecond) // until the server has closed its connections
	n.host.Kill()
	n.stop()
	wait(time.Second) // the instance list lags
	r.setStatus(n, instances.Gone)
}

func (r *stopRun) stopEntry(n *entryNode) {
	n.notReadyAt.Store(time.Now().Add(balancerLag).UnixNano())
	if !n.entry.Drain(r.ctx, stopDrainTimeout) {
		atomic.AddInt64(&r.tally.incomplete, 1)
	}
	n.host.Kill()
	n.stop()
}

// readyEntry returns the index of a random entry that the load balancer considers
// ready.
func (r *stopRun) readyEntry(rng *rand.Rand) int {
	for {
		i := rng.IntN(len(r.entries))
		if at := r.entries[i].notReadyAt.Load(); at == 0 || time.Now().UnixNano() < at {
			return i
		}
	}
}

// runChat makes one call and retries it only after a refusal as not run. An
// interrupted answer stays incomplete and is counted.
func (r *stopRun) runChat(c *chat, rng *rand.Rand) {
	wait(time.Duration(rng.Int64N(int64(stopSpread))))
	sender := &answerRun{world: r.world}
	for end := time.Now().Add(stopSpread); sender.sendChat(c, r.readyEntry(rng), nil) && time.Now().Before(end); {
		wait(500 * time.Millisecond)
	}
}

// runCall makes one reservation and retries it only after a refusal as not run.
func (r *stopRun) runCall(h *history, rng *rand.Rand) {
	wait(time.Duration(rng.Int64N(int64(stopSpread))))
	for _, s := range h.calls {
		r.send(h, s, r.readyEntry(rng))
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
			t.interrupted++
		}
	}
	for _, h := range r.histories {
		t.requests++
		answered := false
		for _, s := range h.calls {
			answered = answered || s.status == http.StatusOK
			if s.outcome == model.OutcomeNotRun {
				t.refused++
			}
		}
		if !answered {
			t.interrupted++
		}
	}
}

func runStopWorlds(env Env, worlds, histories int, disabled disabledMechanisms) stopTally {
	var sum stopTally
	for i := range worlds {
		env.Bubble(func() {
			t := newStopRun(env.Seed*3_000_017+uint64(i)*977, histories, disabled).run()
			sum.requests += t.requests
			sum.interrupted += t.interrupted
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
