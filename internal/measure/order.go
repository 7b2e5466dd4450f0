package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/order"
)

// Sizes of an order run.
const (
	orderStep     = 100 * time.Millisecond
	orderSpacing  = 10 * time.Second
	orderRunTime  = 20 * time.Minute
	orderRuns     = 20
	orderLoadTime = 3 * time.Second // of one load from the weight store
	// orderListLag bounds the difference in time between the instance lists of two sides.
	orderListLag      = 5 * time.Second
	orderMaxClockSkew = time.Second // bound on the clock skew between two sides
)

// orderCount counts the events and the invariant violations of order runs.
type orderCount struct {
	orders, loads, pauses, lostAnswers int
	changes, memberChanges, restarts   int

	dropped   int // orders dropped by a side right before sending
	refused   int // orders refused by an engine because of a stale fence
	harmful   int // orders executed although the side knew a newer target
	tooClose  int // loads that start within the spacing of the load before
	unsettled int // engines not in their target state at the end
}

// orderEngine is an engine and the side beside it.
type orderEngine struct {
	id           model.EndpointID
	machine      *order.Machine
	honoursFence bool
	clockSkew    time.Duration // of the side, against the simulated time
	state        order.State
	loads        map[model.Version]time.Time // end of each load in progress

	configOffset int64 // accepted by the side
	pending      *order.Order
	sendAt       time.Time // when the pending order is sent; after the decision if the sender is paused
	pausedUntil  time.Time // of the whole process
	listUpdateAt time.Time // when it receives the newest instance list
	memberList   int       // index of the newest instance list that it received
}

type orderRun struct {
	rng         *rand.Rand
	disabled    order.Mechanism
	count       *orderCount
	now         time.Time
	engines     []*orderEngine
	configs     []*config.Accepted   // accepted configurations by offset
	acceptedAt  []time.Time          // by offset
	memberLists [][]model.EndpointID // instance lists of the pool, oldest first
	lastLoad    time.Time
}

func orderScenarios() []Scenario {
	return []Scenario{{Name: "order", Run: orderScenario}}
}

func orderScenario(env Env) []Figure {
	var out []Figure
	for u, user := range []struct {
		name    string
		engines int
	}{{"kauri", 10}, {"kalesa", 20}} {
		c := runOrders(env.Seed+uint64(u), user.engines, orderRuns, "")
		out = append(out, c.figures("order/"+user.name)...)
	}
	return out
}

func (c orderCount) figures(prefix string) []Figure {
	baseline := fmt.Sprintf("%d orders, %d loads, %d pauses, %d lost answers, %d changes", c.orders, c.loads, c.pauses, c.lostAnswers, c.changes)
	zero := func(name string, n int) Figure {
		return Figure{Name: prefix + "/" + name, Value: float64(n), Unit: "count", Relation: Equal, Baseline: baseline}
	}
	return []Figure{
		zero("harmful", c.harmful),
		zero("loads_too_close", c.tooClose),
		zero("unsettled", c.unsettled),
		{Name: prefix + "/dropped_by_the_side", Value: float64(c.dropped), Unit: "count"},
		{Name: prefix + "/refused_by_the_engine", Value: float64(c.refused), Unit: "count"},
		{Name: prefix + "/member_changes", Value: float64(c.memberChanges), Unit: "count"},
		{Name: prefix + "/engine_restarts", Value: float64(c.restarts), Unit: "count"},
	}
}

// runOrders makes n random runs of a pool. Every second engine ignores fences.
func runOrders(seed uint64, engines, n int, disabled order.Mechanism) orderCount {
	var c orderCount
	for i := range n {
		r := newOrderRun(rand.New(rand.NewPCG(seed, uint64(i))), engines, disabled, &c)
		for end := r.now.Add(orderRunTime); r.now.Before(end); {
			r.step(r.now.Before(end.Add(-orderRunTime / 2)))
		}
		r.countUnsettled()
	}
	return c
}

func newOrderRun(rng *rand.Rand, engines int, disabled order.Mechanism, c *orderCount) *orderRun {
	r := &orderRun{rng: rng, disabled: disabled, count: c, now: time.Unix(1_000_000, 0)}
	var ids []model.EndpointID
	for i := range engines {
		ids = append(ids, model.EndpointID(fmt.Sprint("engine-", i)))
	}
	r.memberLists = append(r.memberLists, ids)
	r.change("v0")
	for i, id := range ids {
		var m []order.Mechanism
		if disabled != "" {
			m = append(m, disabled)
		}
		e := &orderEngine{
			id: id, machine: order.New(id, "chat", m...), honoursFence: i%2 == 0, configOffset: config.NoBase, memberList: -1,
			clockSkew: time.Duration(rng.Int64N(int64(orderMaxClockSkew))), loads: map[model.Version]time.Time{},
		}
		e.state.Loaded = []model.Version{"v0"}
		r.engines = append(r.engines, e)
	}
	return r
}

// change accepts a configuration with the given version of the pool.
func (r *orderRun) change(v model.Version) {
	l := lists.New()
	l.Pools["chat"] = lists.Pool{Kind: model.Engine, Version: v, LoadSpacing: orderSpacing}
	r.configs = append(r.configs, &config.Accepted{Offset: int64(len(r.configs)), Lists: l})
	r.acceptedAt = append(r.acceptedAt, r.now)
	r.count.changes++
}

// step advances the run by orderStep, with faults if faulty is set.
func (r *orderRun) step(faulty bool) {
	r.now = r.now.Add(orderStep)
	if faulty && r.rng.IntN(600) == 0 {
		r.change(model.Version(fmt.Sprint("v", r.rng.IntN(4))))
	}
	if faulty && r.rng.IntN(1200) == 0 {
		r.changeMembers()
	}
	for _, e := range r.engines {
		if faulty {
			r.injectFault(e)
		}
		r.finishLoads(e)
		if r.now.Before(e.pausedUntil) {
			continue
		}
		r.applyUpdates(e)
		r.stepSide(e, faulty)
	}
}

// changeMembers adds an instance to the pool's list or removes it again.
func (r *orderRun) changeMembers() {
	ids := slices.Clone(r.memberLists[len(r.memberLists)-1])
	if len(ids) > len(r.engines) {
		ids = ids[:len(ids)-1]
	} else {
		ids = append(ids, "engine-new")
	}
	r.memberLists = append(r.memberLists, ids)
	r.count.memberChanges++
	for _, e := range r.engines {
		e.listUpdateAt = r.now.Add(time.Duration(r.rng.Int64N(int64(orderListLag))))
	}
}

func (r *orderRun) injectFault(e *orderEngine) {
	switch r.rng.IntN(3000) {
	case 0: // the whole process is paused
		e.pausedUntil = r.now.Add(time.Duration(r.rng.Int64N(int64(time.Minute))))
		r.count.pauses++
	case 1: // only the goroutine that sends orders is paused
		if e.pending != nil {
			e.sendAt = r.now.Add(time.Duration(r.rng.Int64N(int64(time.Minute))))
			r.count.pauses++
		}
	case 2: // the engine restarts with the old version and loses its fence
		e.state = order.State{Loaded: []model.Version{"v0"}}
		e.loads = map[model.Version]time.Time{}
		r.count.restarts++
	}
}

func (r *orderRun) finishLoads(e *orderEngine) {
	for _, v := range sortedKeys(e.loads) {
		if !r.now.Before(e.loads[v]) {
			delete(e.loads, v)
			e.state.Loaded = append(e.state.Loaded, v)
		}
	}
}

// applyUpdates gives the side the updates that it would have read by now:
// configurations after a second, the instance list after its lag.
func (r *orderRun) applyUpdates(e *orderEngine) {
	now := r.now.Add(e.clockSkew)
	e.machine.Tick(now)
	for e.configOffset+1 < int64(len(r.configs)) && r.now.Sub(r.acceptedAt[e.configOffset+1]) >= time.Second {
		e.configOffset++
		e.machine.SetConfig(now, r.configs[e.configOffset])
	}
	if newest := len(r.memberLists) - 1; e.memberList != newest && !r.now.Before(e.listUpdateAt) {
		e.memberList = newest
		e.machine.SetMembers(now, r.memberLists[newest])
	}
}

// stepSide does what the order source of the side would do now: send an order or
// read the state of the engine.
func (r *orderRun) stepSide(e *orderEngine, faulty bool) {
	now := r.now.Add(e.clockSkew)
	if o := e.pending; o != nil {
		if !r.now.Before(e.sendAt) {
			e.pending = nil
			r.send(e, *o, now, faulty)
		}
		return
	}
	switch step := e.machine.Next(now); {
	case step.Order != nil:
		e.pending, e.sendAt = step.Order, r.now
		if faulty && r.rng.IntN(10) == 0 { // paused between decision and sending
			e.sendAt = r.now.Add(time.Duration(r.rng.Int64N(int64(2 * time.Minute))))
			r.count.pauses++
		}
	case step.ReadState:
		st := e.state
		st.Loaded, st.Loading = slices.Clone(st.Loaded), nil
		for v := range e.loads {
			st.Loading = append(st.Loading, v)
		}
		if !e.honoursFence {
			st.Fence = 0
		}
		if faulty && r.rng.IntN(20) == 0 {
			e.machine.SetState(now, nil)
			return
		}
		e.machine.SetState(now, &st)
	}
}

func (r *orderRun) send(e *orderEngine, o order.Order, now time.Time, faulty bool) {
	if r.disabled != order.FenceCheck && !order.StillValid(o, e.machine.MinFence(), now) {
		r.count.dropped++
		e.machine.OrderDone(now, false)
		return
	}
	lost := faulty && r.rng.IntN(10) == 0
	if lost {
		r.count.lostAnswers++
	}
	if !lost || r.rng.IntN(2) == 0 {
		r.execute(e, o)
	}
	e.machine.OrderDone(now, lost)
}

// execute applies an order to the engine and counts violations.
func (r *orderRun) execute(e *orderEngine, o order.Order) {
	if e.honoursFence {
		if o.Fence < e.state.Fence {
			r.count.refused++
			return
		}
		e.state.Fence = o.Fence
	}
	r.count.orders++
	if o.Fence < e.machine.MinFence() {
		r.count.harmful++
	}
	switch o.Kind {
	case order.Load:
		if slices.Contains(e.state.Loaded, o.Version) {
			return
		}
		if _, loading := e.loads[o.Version]; loading {
			return
		}
		if r.count.loads++; r.now.Sub(r.lastLoad) < orderSpacing {
			r.count.tooClose++
		}
		r.lastLoad = r.now
		e.loads[o.Version] = r.now.Add(orderLoadTime)
	case order.Unload:
		e.state.Loaded = slices.DeleteFunc(e.state.Loaded, func(v model.Version) bool { return v == o.Version })
	}
}

// countUnsettled counts the engines that have not loaded exactly their target
// versions.
func (r *orderRun) countUnsettled() {
	want := order.DeriveTarget(r.configs[len(r.configs)-1].Lists, "chat").Versions
	for _, e := range r.engines {
		if !slices.Equal(slices.Sorted(slices.Values(e.state.Loaded)), want) {
			r.count.unsettled++
		}
	}
}
