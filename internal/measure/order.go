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

// Sizes of an order run. One step is a tenth of a second.
const (
	orderStep     = 100 * time.Millisecond
	orderSpacing  = 10 * time.Second
	orderRunTime  = 20 * time.Minute
	orderRuns     = 20
	orderLoadTime = 3 * time.Second // of one load from the weight store
	// orderListLag is how far the instance lists of two sides may differ in time.
	orderListLag = 5 * time.Second
	orderClock   = time.Second // clocks of two sides differ by up to this
)

// orderCount counts what happened in order runs.
type orderCount struct {
	orders, loads, pauses, lostAnswers int
	changes, memberChanges, restarts   int

	dropped   int // orders dropped at the time of sending
	refused   int // orders refused by an engine that honours fences
	harmful   int // carried out although the side knew of a newer target
	tooClose  int // loads closer than the spacing
	unsettled int // engines without their target at the end
}

// orderEngine is an engine and the side beside it.
type orderEngine struct {
	id      model.EndpointID
	machine *order.Machine
	honours bool
	clock   time.Duration // of the side, against the true time
	state   order.State
	loads   map[model.Version]time.Time // loads in progress and their end

	known   int64 // accepted offset of the side
	pending *order.Order
	sendAt  time.Time // when the sending goroutine goes on; later than decided after a pause
	paused  time.Time // until when the whole process is paused
	listAt  time.Time // when it sees the newest instance list
	members int       // version of the list that it saw
}

type orderRun struct {
	rng      *rand.Rand
	without  order.Safeguard
	count    *orderCount
	now      time.Time
	engines  []*orderEngine
	lists    []*config.Accepted // accepted configurations, by offset
	known    []time.Time        // when each was accepted
	pool     [][]model.EndpointID
	lastLoad time.Time
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
	facts := fmt.Sprintf("%d orders, %d loads, %d pauses, %d lost answers, %d changes", c.orders, c.loads, c.pauses, c.lostAnswers, c.changes)
	zero := func(name string, n int) Figure {
		return Figure{Name: prefix + "/" + name, Value: float64(n), Unit: "count", Relation: Equal, Baseline: facts}
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

// runOrders runs n random runs of a pool, half of whose engines ignore fences.
func runOrders(seed uint64, engines, n int, without order.Safeguard) orderCount {
	var c orderCount
	for i := range n {
		r := newOrderRun(rand.New(rand.NewPCG(seed, uint64(i))), engines, without, &c)
		for end := r.now.Add(orderRunTime); r.now.Before(end); {
			r.step(r.now.Before(end.Add(-orderRunTime / 2)))
		}
		r.finish()
	}
	return c
}

func newOrderRun(rng *rand.Rand, engines int, without order.Safeguard, c *orderCount) *orderRun {
	r := &orderRun{rng: rng, without: without, count: c, now: time.Unix(1_000_000, 0)}
	var ids []model.EndpointID
	for i := range engines {
		ids = append(ids, model.EndpointID(fmt.Sprint("engine-", i)))
	}
	r.pool = append(r.pool, ids)
	r.change("v0")
	for i, id := range ids {
		var m []order.Safeguard
		if without != "" {
			m = append(m, without)
		}
		e := &orderEngine{
			id: id, machine: order.New(id, "chat", m...), honours: i%2 == 0, known: config.NoBase, members: -1,
			clock: time.Duration(rng.Int64N(int64(orderClock))), loads: map[model.Version]time.Time{},
		}
		e.state.Loaded = []model.Version{"v0"}
		r.engines = append(r.engines, e)
	}
	return r
}

// change accepts a configuration with another version of the pool.
func (r *orderRun) change(v model.Version) {
	l := lists.New()
	l.Pools["chat"] = lists.Pool{Kind: model.Engine, Version: v, LoadSpacing: orderSpacing}
	r.lists = append(r.lists, &config.Accepted{Offset: int64(len(r.lists)), Lists: l})
	r.known = append(r.known, r.now)
	r.count.changes++
}

// step makes a tenth of a second pass. Faults happen while faulty.
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
			r.fault(e)
		}
		r.finishLoads(e)
		if r.now.Before(e.paused) {
			continue
		}
		r.learn(e)
		r.act(e, faulty)
	}
}

// changeMembers adds or removes an instance in the pool's list.
func (r *orderRun) changeMembers() {
	ids := slices.Clone(r.pool[len(r.pool)-1])
	if len(ids) > len(r.engines) {
		ids = ids[:len(ids)-1]
	} else {
		ids = append(ids, "engine-new")
	}
	r.pool = append(r.pool, ids)
	r.count.memberChanges++
	for _, e := range r.engines {
		e.listAt = r.now.Add(time.Duration(r.rng.Int64N(int64(orderListLag))))
	}
}

func (r *orderRun) fault(e *orderEngine) {
	switch r.rng.IntN(3000) {
	case 0: // the whole process is paused
		e.paused = r.now.Add(time.Duration(r.rng.Int64N(int64(time.Minute))))
		r.count.pauses++
	case 1: // only the goroutine that sends is paused
		if e.pending != nil {
			e.sendAt = r.now.Add(time.Duration(r.rng.Int64N(int64(time.Minute))))
			r.count.pauses++
		}
	case 2: // the engine restarts with an old version and forgets its fence
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

// learn brings the side what it would have read by now: configurations after a
// second, the instance list with its lag.
func (r *orderRun) learn(e *orderEngine) {
	now := r.now.Add(e.clock)
	e.machine.Tick(now)
	for e.known+1 < int64(len(r.lists)) && r.now.Sub(r.known[e.known+1]) >= time.Second {
		e.known++
		e.machine.SetConfig(now, r.lists[e.known])
	}
	if newest := len(r.pool) - 1; e.members != newest && !r.now.Before(e.listAt) {
		e.members = newest
		e.machine.SetMembers(now, r.pool[newest])
	}
}

// act carries out what the source of the side would do now.
func (r *orderRun) act(e *orderEngine, faulty bool) {
	now := r.now.Add(e.clock)
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
		if faulty && r.rng.IntN(10) == 0 { // paused between decision and send
			e.sendAt = r.now.Add(time.Duration(r.rng.Int64N(int64(2 * time.Minute))))
			r.count.pauses++
		}
	case step.ReadState:
		st := e.state
		st.Loaded, st.Loading = slices.Clone(st.Loaded), nil
		for v := range e.loads {
			st.Loading = append(st.Loading, v)
		}
		if !e.honours {
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
	if r.without != order.FenceCheck && !order.StillValid(o, e.machine.MinFence(), now) {
		r.count.dropped++
		e.machine.OrderDone(now, false)
		return
	}
	lost := faulty && r.rng.IntN(10) == 0
	if lost {
		r.count.lostAnswers++
	}
	if !lost || r.rng.IntN(2) == 0 {
		r.carryOut(e, o)
	}
	e.machine.OrderDone(now, lost)
}

// carryOut lets the engine take the order and checks it.
func (r *orderRun) carryOut(e *orderEngine, o order.Order) {
	if e.honours {
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

// finish counts the engines that do not hold exactly what they should.
func (r *orderRun) finish() {
	want := order.DeriveTarget(r.lists[len(r.lists)-1].Lists, "chat").Versions
	for _, e := range r.engines {
		if !slices.Equal(slices.Sorted(slices.Values(e.state.Loaded)), want) {
			r.count.unsettled++
		}
	}
}
