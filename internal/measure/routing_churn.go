package measure

import (
	"maps"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/admit"
	"github.com/goldcrestturn/goldcrestturn/internal/choose"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
)

// churn is a script of faults. All methods of a comparison run the same script.
type churn struct {
	name  string
	surge *surge
	apply func(r *routingRun)
}

// Times of the scripts.
const (
	evacuateAt         = 120 * time.Second
	restartAt          = 170 * time.Second
	returnAt           = 210 * time.Second
	logLagMin          = 20 * time.Millisecond // from a record to a reader while the log is up
	logLagMax          = 300 * time.Millisecond
	listLagMin         = 500 * time.Millisecond
	listLagMax         = 4 * time.Second
	coldTime           = 20 * time.Second // how long an engine stays cold after a restart
	transfersPerSecond = 10               // copied chats a second from a leaving endpoint or to an importing one
)

// overCapacity returns a surge in which the load exceeds all slots: a method that
// keeps the bound has to refuse requests, one that does not overloads engines. It
// is not part of the comparison over all churns.
func overCapacity() churn {
	return churn{name: "surge_over_capacity", surge: &surge{from: 120 * time.Second, to: 240 * time.Second, factor: 2}, apply: func(*routingRun) {}}
}

func churns() []churn {
	return []churn{
		{name: "leave_return", apply: leaveAndReturn},
		{name: "flapping", apply: flapping},
		{name: "lists_disagree", apply: listsDisagree},
		{name: "surge", surge: &surge{from: 120 * time.Second, to: 240 * time.Second, factor: 1.2}, apply: func(*routingRun) {}},
		{name: "two_faults", apply: func(r *routingRun) { leaveAndReturn(r); flapping(r) }},
	}
}

func (r *routingRun) between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.faults.Int64N(int64(high-low)))
}

// leaveAndReturn evacuates a data centre, restarts its engines and returns it to
// service.
func leaveAndReturn(r *routingRun) {
	r.at(epoch.Add(evacuateAt), func() { r.setEvacuated(0, true, r.logLag) })
	r.at(epoch.Add(restartAt), func() {
		for _, en := range r.engines {
			if en.centre == 0 {
				r.restart(en, 5*time.Second, true)
			}
		}
	})
	r.at(epoch.Add(returnAt), func() { r.setEvacuated(0, false, r.logLag) })
}

func (r *routingRun) logLag() time.Duration { return r.between(logLagMin, logLagMax) }

// setEvacuated propagates the record that evacuates a data centre or returns it to
// service.
func (r *routingRun) setEvacuated(centre int, evacuated bool, lag func() time.Duration) {
	for _, en := range r.engines {
		if en.centre == centre {
			r.after(lag(), func() { r.setSideEvacuated(en, evacuated) })
		}
	}
	for _, e := range r.entries {
		r.after(lag(), func() { r.setEntryEvacuated(e, centre, evacuated) })
	}
}

func (r *routingRun) setSideEvacuated(en *simEngine, evacuated bool) {
	if en.evacuated == evacuated {
		return
	}
	en.evacuated = evacuated
	en.controller.SetGate(admit.Gate{DataCentreOut: evacuated})
	r.applyDecisions(en, en.controller.Step(r.now))
	if evacuated {
		r.exportChats(en)
	}
	if evacuated && r.drainDisabled {
		en.generation++
	}
}

func (r *routingRun) setEntryEvacuated(e *simEntry, centre int, evacuated bool) {
	if e.evacuated[centre] == evacuated {
		return
	}
	e.evacuated[centre], e.poolValid = evacuated, false
	if !evacuated {
		e.returnedAt[centre] = r.now
	}
}

// exportChats copies the cached chats of a leaving engine to the engines that
// will get their next requests, the most recently used chats first and at a
// limited rate.
func (r *routingRun) exportChats(en *simEngine) {
	if !r.method.fleet() || r.method.tokensDisabled {
		return
	}
	generation, i := en.generation, 0
	for el := en.cache.order.Front(); el != nil; el = el.Next() {
		c := el.Value.(cached)
		i++
		r.after(time.Duration(i)*time.Second/transfersPerSecond, func() {
			if en.generation == generation && r.tokens[c.chat] == choose.ReturnToken(en.id) {
				r.exportChat(c)
			}
		})
	}
}

func (r *routingRun) exportChat(c cached) {
	q := &request{turn: turn{chat: c.chat, workspace: r.workspaces[c.chat]}}
	order := r.candidateOrder(r.poolOf(r.entries[0]), q)
	if len(order) == 0 {
		return
	}
	to := r.engines[r.indexOf(order[0].ID)]
	if to.up && !to.evacuated {
		to.cache.put(c.chat, c.units)
		r.stats.exported++
	}
}

// restart stops an engine and its side process for a while. Other endpoints
// resume the running work.
func (r *routingRun) restart(en *simEngine, down time.Duration, dropCache bool) {
	if !en.up {
		return
	}
	en.up = false
	en.generation++
	for _, t := range slices.Sorted(maps.Keys(en.running)) {
		q := en.running[t]
		r.stats.resumed++
		r.after(r.size.oneWay, func() { r.arrive(q) })
	}
	for _, t := range slices.Sorted(maps.Keys(en.offered)) {
		q := en.offered[t]
		r.after(r.size.oneWay, func() { r.arrive(q) })
	}
	clear(en.running)
	clear(en.offered)
	en.pendingPrefill = 0
	switch {
	case dropCache && !r.method.ideal:
		en.cache = newPrefixCache(cacheLimit)
	case dropCache && !en.evacuated:
		r.dropOwnedCaches(en)
	}
	for _, e := range r.entries {
		removedAfter := r.between(listLagMin, listLagMax)
		listedAfter := max(removedAfter, down+r.between(listLagMin, listLagMax))
		r.after(removedAfter, func() { r.setListed(e, en, instances.Gone) })
		r.after(listedAfter, func() { r.setListed(e, en, instances.Live) })
	}
	r.after(down, func() { r.finishRestart(en, dropCache) })
}

// dropOwnedCaches drops the chats that an engine owns from the cache of the ideal.
func (r *routingRun) dropOwnedCaches(en *simEngine) {
	for chat, o := range r.owner {
		if o == en.index {
			r.engines[0].cache.drop(chat)
			delete(r.owner, chat)
		}
	}
}

func (r *routingRun) finishRestart(en *simEngine, cold bool) {
	en.up, en.busyUntil = true, r.now
	r.newController(en)
	en.controller.SetGate(admit.Gate{DataCentreOut: en.evacuated})
	if cold {
		r.makeCold(en, coldTime)
	}
}

// makeCold makes an engine cold, with a slow prefill, for a while.
func (r *routingRun) makeCold(en *simEngine, d time.Duration) {
	en.cold = true
	en.addPendingPrefill(0)
	r.after(d, func() { en.cold = false })
}

// flapping restarts two engines of the second data centre repeatedly, every third
// time with an empty cache.
func flapping(r *routingRun) {
	for k, en := range []*simEngine{r.engines[1], r.engines[1+r.size.centres]} {
		for n := range 10 {
			r.at(epoch.Add(110*time.Second+time.Duration(n)*25*time.Second+time.Duration(k)*9*time.Second), func() {
				r.restart(en, 3*time.Second, n%3 == 2)
			})
		}
	}
}

// listsDisagree repeatedly removes two engines from the instance list of one
// entry for some seconds.
func listsDisagree(r *routingRun) {
	for n := range 18 {
		r.at(epoch.Add(105*time.Second+time.Duration(n)*15*time.Second), func() {
			e := r.entries[r.faults.IntN(len(r.entries))]
			for range 2 {
				en := r.engines[r.faults.IntN(len(r.engines))]
				r.setListed(e, en, instances.Gone)
				r.after(r.between(2*time.Second, 5*time.Second), func() { r.setListed(e, en, instances.Live) })
			}
		})
	}
}
