package measure

import (
	"maps"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/admit"
	"github.com/goldcrestturn/goldcrestturn/internal/choose"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
)

// churn is a script of faults. All methods of a comparison get the same one.
type churn struct {
	name  string
	surge *surge
	apply func(r *routingRun)
}

// Times of the scripts.
const (
	outAt       = 120 * time.Second
	restartAt   = 170 * time.Second
	backAt      = 210 * time.Second
	logLagMin   = 20 * time.Millisecond // record to reader while the log is up
	logLagMax   = 300 * time.Millisecond
	listLagMin  = 500 * time.Millisecond
	listLagMax  = 4 * time.Second
	coldTime    = 20 * time.Second // a restarted engine is slow for so long
	movesPerSec = 10               // exported chats a second of one leaving endpoint
)

// overCapacity is a surge with which the load exceeds all slots: a method that
// keeps the bound has to refuse, and one that does not overloads engines. It is
// no part of the comparison over all churns.
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

// leaveAndReturn takes a data centre out, restarts its engines and brings it
// back.
func leaveAndReturn(r *routingRun) {
	r.at(epoch.Add(outAt), func() { r.setOut(0, true, r.logLag) })
	r.at(epoch.Add(restartAt), func() {
		for _, en := range r.engines {
			if en.centre == 0 {
				r.restart(en, 5*time.Second, true)
			}
		}
	})
	r.at(epoch.Add(backAt), func() { r.setOut(0, false, r.logLag) })
}

func (r *routingRun) logLag() time.Duration { return r.between(logLagMin, logLagMax) }

// setOut spreads the record that takes a data centre out or brings it back.
func (r *routingRun) setOut(centre int, out bool, lag func() time.Duration) {
	for _, en := range r.engines {
		if en.centre == centre {
			r.after(lag(), func() { r.closeSide(en, out) })
		}
	}
	for _, e := range r.entries {
		r.after(lag(), func() { r.closeEntry(e, centre, out) })
	}
}

func (r *routingRun) closeSide(en *simEngine, out bool) {
	if en.out == out {
		return
	}
	en.out = out
	en.ctl.SetGate(admit.Gate{DataCentreOut: out})
	r.decide(en, en.ctl.Step(r.now))
	if out {
		r.moveChats(en)
	}
	if out && r.cutsWork {
		en.generation++
	}
}

func (r *routingRun) closeEntry(e *simEntry, centre int, out bool) {
	if e.out[centre] == out {
		return
	}
	e.out[centre], e.unchanged = out, false
	if !out {
		e.wasOut[centre] = r.now
	}
}

// moveChats copies the warm chats of a leaving engine to the engines that get
// them next, the most recent first and at a limited rate.
func (r *routingRun) moveChats(en *simEngine) {
	if !r.method.fleet() || r.method.plain {
		return
	}
	generation, i := en.generation, 0
	for el := en.cache.order.Front(); el != nil; el = el.Next() {
		c := el.Value.(cached)
		i++
		r.after(time.Duration(i)*time.Second/movesPerSec, func() {
			if en.generation == generation && r.tokens[c.chat] == choose.ReturnToken(en.id) {
				r.moveChat(c)
			}
		})
	}
}

func (r *routingRun) moveChat(c cached) {
	q := &request{turn: turn{chat: c.chat, workspace: r.workspaces[c.chat]}}
	order := r.orderOf(r.poolOf(r.entries[0]), q)
	if len(order) == 0 {
		return
	}
	to := r.engines[r.indexOf(order[0].ID)]
	if to.up && !to.out {
		to.cache.put(c.chat, c.units)
		r.stats.moved++
	}
}

// restart takes an engine and its side process down for a while. Its running
// work is resumed elsewhere.
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
	for _, t := range slices.Sorted(maps.Keys(en.asked)) {
		q := en.asked[t]
		r.after(r.size.oneWay, func() { r.arrive(q) })
	}
	clear(en.running)
	clear(en.asked)
	en.coldWork = 0
	switch {
	case dropCache && !r.method.ideal:
		en.cache = newPrefixCache(cacheLimit)
	case dropCache && !en.out:
		r.forgetOwned(en)
	}
	for _, e := range r.entries {
		gone := r.between(listLagMin, listLagMax)
		back := max(gone, down+r.between(listLagMin, listLagMax))
		r.after(gone, func() { r.list(e, en, instances.Gone) })
		r.after(back, func() { r.list(e, en, instances.Live) })
	}
	r.after(down, func() { r.comeUp(en, dropCache) })
}

// forgetOwned drops the caches of an engine from the ideal.
func (r *routingRun) forgetOwned(en *simEngine) {
	for chat, o := range r.owner {
		if o == en.index {
			r.engines[0].cache.drop(chat)
			delete(r.owner, chat)
		}
	}
}

func (r *routingRun) comeUp(en *simEngine, cold bool) {
	en.up, en.busyUntil = true, r.now
	r.newController(en)
	en.ctl.SetGate(admit.Gate{DataCentreOut: en.out})
	if cold {
		r.turnCold(en, coldTime)
	}
}

// turnCold makes an engine slow for a while.
func (r *routingRun) turnCold(en *simEngine, d time.Duration) {
	en.cold = true
	en.addCold(0)
	r.after(d, func() { en.cold = false })
}

// flapping makes two engines of the second data centre go down and come back
// again and again, every third time with an empty cache.
func flapping(r *routingRun) {
	for k, en := range []*simEngine{r.engines[1], r.engines[1+r.size.centres]} {
		for n := range 10 {
			r.at(epoch.Add(110*time.Second+time.Duration(n)*25*time.Second+time.Duration(k)*9*time.Second), func() {
				r.restart(en, 3*time.Second, n%3 == 2)
			})
		}
	}
}

// listsDisagree drops two engines from the list of one entry for seconds.
func listsDisagree(r *routingRun) {
	for n := range 18 {
		r.at(epoch.Add(105*time.Second+time.Duration(n)*15*time.Second), func() {
			e := r.entries[r.faults.IntN(len(r.entries))]
			for range 2 {
				en := r.engines[r.faults.IntN(len(r.engines))]
				r.list(e, en, instances.Gone)
				r.after(r.between(2*time.Second, 5*time.Second), func() { r.list(e, en, instances.Live) })
			}
		})
	}
}
