package measure

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/goldcrestturn/goldcrestturn/internal/admit"
	"github.com/goldcrestturn/goldcrestturn/internal/choose"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/member"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// method is a way to choose endpoints that a run measures.
type method struct {
	name     string
	baseline *choose.Baseline // nil for the fleet and the ideal
	ideal    bool             // one global owner table, no bound
	switches admit.Disabled   // mechanisms that a test turned off
	plain    bool             // test switch: no return tokens and no copies of caches
}

func (m method) fleet() bool { return m.baseline == nil && !m.ideal }

// bounded reports whether the sides apply the limits.
func (m method) bounded() bool { return m.fleet() || m.baseline != nil && m.baseline.Bounded }

// routingRun is one run of a load with one method.
type routingRun struct {
	virtualClock
	size       fleetSize
	method     method
	rng        *rand.Rand // of the method, such as for jitter
	faults     *rand.Rand // of the churn, the same for all methods
	engines    []*simEngine
	entries    []*simEntry
	owner      map[int]int        // of the ideal, by chat
	tokens     map[int]string     // return token that the caller of a chat holds
	reports    map[int]loadReport // at the holder
	ticket     admit.Ticket
	observed   observer
	surge      *surge
	cutsWork   bool           // test switch: a closed side ends its running work
	workspaces map[int]string // by chat
	stats      runStats
}

type loadReport struct {
	demand int64
	at     time.Time
}

type runStats struct {
	prompt, cached       int64
	arrived, answered    int
	refused, given       int // refusals to callers, and callers that gave up
	resumed              int
	waits, waitsOfOthers []time.Duration   // arrival to admission; the second during a surge
	lastIn               map[int]time.Time // last admission by data centre
	moved, pulled        int
}

// simEngine is an engine and its side process.
type simEngine struct {
	index      int
	id         model.EndpointID
	centre     int
	up         bool
	out        bool // its side knows that the data centre is out
	cold       bool
	generation int // counts restarts, which cut the running work
	cache      *prefixCache
	busyUntil  time.Time
	copies     *rate.Limiter // of imports
	ctl        *admit.Controller
	asked      map[admit.Ticket]*request
	running    map[admit.Ticket]*request
	coldWork   int64 // prompt units that the engine has still to compute
	coldPeak   int64 // highest coldWork while cold
}

// simEntry is what one entry knows.
type simEntry struct {
	table     *member.Table
	listed    map[int]bool // by engine, for the baselines
	out       map[int]bool // by data centre
	wasOut    map[int]time.Time
	over      map[int]time.Time // until when an engine counts as over its bound
	ratio     map[int]float64
	pool      *choose.Pool
	ordering  choose.Ordering // of the baseline
	builtAt   time.Time
	unchanged bool
}

// request is a turn on its way.
type request struct {
	turn
	arrived  time.Time
	order    []int
	try      int
	repeats  int
	admitted time.Time
}

const (
	handOvers    = 3 // as in the entry
	callerGives  = 5 // repeats after which a caller gives up
	rebuildEvery = 250 * time.Millisecond
	overMark     = time.Second // as in the entry
)

func newRun(size fleetSize, m method, seed uint64) *routingRun {
	r := &routingRun{
		size: size, method: m, rng: rand.New(rand.NewPCG(seed, 2)), faults: rand.New(rand.NewPCG(seed, 3)),
		owner: map[int]int{}, tokens: map[int]string{}, reports: map[int]loadReport{},
		stats: runStats{lastIn: map[int]time.Time{}},
	}
	r.now = epoch
	for i := range size.engines {
		r.engines = append(r.engines, r.newEngine(i))
	}
	for range size.entries {
		r.entries = append(r.entries, r.newEntry())
	}
	for _, en := range r.engines {
		if m.bounded() {
			r.every(time.Duration(r.rng.Int64N(int64(reportEvery))), reportEvery, runTime, func() { r.report(en) })
			r.every(time.Duration(r.rng.Int64N(int64(100*time.Millisecond))), 100*time.Millisecond, runTime, func() { r.decide(en, en.ctl.Step(r.now)) })
		}
	}
	return r
}

func (r *routingRun) newEngine(i int) *simEngine {
	en := &simEngine{
		index: i, id: model.EndpointID(fmt.Sprintf("engine-%02d", i)), centre: i % r.size.centres, up: true,
		cache: newPrefixCache(cacheLimit), asked: map[admit.Ticket]*request{}, running: map[admit.Ticket]*request{},
	}
	en.copies = rate.NewLimiter(movesPerSec, movesPerSec)
	r.newController(en)
	return en
}

// newController gives the engine a side process that has just started.
func (r *routingRun) newController(en *simEngine) {
	en.ctl = admit.New(r.rng.Float64)
	if r.method.ideal {
		en.cache.limit = cacheLimit * int64(r.size.engines)
	}
	if r.method.bounded() {
		en.ctl.SetLimits(poolLimits)
		s := r.method.switches
		s.Checks = s.Bound || s.ColdLimit || s.Gate
		en.ctl.Disable(s)
	}
}

func (r *routingRun) newEntry() *simEntry {
	e := &simEntry{
		table: member.NewTable(), listed: map[int]bool{}, out: map[int]bool{}, wasOut: map[int]time.Time{},
		over: map[int]time.Time{}, ratio: map[int]float64{},
	}
	for _, en := range r.engines {
		r.list(e, en, instances.Live)
	}
	return e
}

// list shows the entry a state of an engine in the instance list.
func (r *routingRun) list(e *simEntry, en *simEngine, s instances.Status) {
	e.listed[en.index] = s == instances.Live
	e.table.ApplyList(instances.Changes{Instances: []instances.Instance{{
		ID: model.InstanceID(en.id), Role: instances.RoleEndpoint, DataCentre: model.DataCentre(fmt.Sprint(en.centre)), Status: s,
	}}}, r.now)
	e.unchanged = false
}

// report sends the side's load to the holder and takes the mean back.
func (r *routingRun) report(en *simEngine) {
	if !en.up || en.out {
		delete(r.reports, en.index)
		return
	}
	r.reports[en.index] = loadReport{en.ctl.Demand(), r.now}
	var mean admit.Mean
	var sum int64
	oldest := r.now
	for i := range r.engines {
		if rep, ok := r.reports[i]; ok && r.now.Sub(rep.at) <= admit.MaxMeanAge {
			sum += rep.demand
			mean.Endpoints++
			if rep.at.Before(oldest) {
				oldest = rep.at
			}
		}
	}
	mean.PerEndpoint, mean.MeasuredAt = float64(sum)/float64(mean.Endpoints), oldest
	r.after(2*r.size.oneWay, func() {
		en.ctl.SetMean(mean, r.now)
		r.decide(en, en.ctl.Step(r.now))
	})
}

// start runs a load to its end.
func (r *routingRun) start(load []turn) {
	r.stats.arrived = len(load)
	for _, t := range load {
		r.at(epoch.Add(t.at), func() { r.arrive(&request{turn: t, arrived: r.now}) })
	}
	r.run()
}

// lost returns the requests that were neither answered nor refused.
func (r *routingRun) lost() int { return r.stats.arrived - r.stats.answered - r.stats.given }

func (r *routingRun) noteWorkspaces(load []turn) {
	r.workspaces = map[int]string{}
	for _, t := range load {
		r.workspaces[t.chat] = t.workspace
	}
}

// arrive orders the endpoints for a request at its entry.
func (r *routingRun) arrive(q *request) {
	q.try, q.order = 0, q.order[:0]
	switch {
	case r.method.ideal:
		q.order = append(q.order, r.ownerOf(q))
	default:
		e := r.entries[q.entry]
		p := r.poolOf(e)
		for _, c := range r.orderOf(p, q) {
			q.order = append(q.order, r.indexOf(c.ID))
		}
	}
	r.hand(q)
}

func (r *routingRun) orderOf(p *choose.Pool, q *request) []choose.Candidate {
	key := q.key()
	if r.method.baseline != nil {
		return r.entries[q.entry].ordering(key, handOvers)
	}
	return p.Order(nil, choose.Query{Key: key, Chat: true, ReturnToken: r.tokenOf(q.chat)}, handOvers)
}

// tokenOf returns the return token that the caller of a chat holds.
func (r *routingRun) tokenOf(chat int) string {
	if r.method.plain {
		return ""
	}
	return r.tokens[chat]
}

func (r *routingRun) indexOf(id model.EndpointID) int {
	i, _ := slices.BinarySearchFunc(r.engines, id, func(en *simEngine, id model.EndpointID) int { return cmp.Compare(en.id, id) })
	return i
}

// ownerOf is the global owner table of the ideal. It knows the truth at once
// and keeps the owner of a chat while that serves. The caches of a planned move
// come along for free; an engine that loses its cache without notice loses it
// for the ideal too.
func (r *routingRun) ownerOf(q *request) int {
	if o, ok := r.owner[q.chat]; ok && r.engines[o].up && !r.engines[o].out {
		return o
	}
	if o, ok := r.owner[q.chat]; ok && !r.engines[o].out {
		r.engines[0].cache.drop(q.chat)
	}
	var list []choose.Candidate
	for _, en := range r.engines {
		if en.up && !en.out {
			list = append(list, choose.Candidate{ID: en.id, Weight: 1})
		}
	}
	first := choose.NewPool(nil, list).Order(nil, choose.Query{Key: q.key(), Chat: true}, 1)
	r.owner[q.chat] = r.indexOf(first[0].ID)
	return r.owner[q.chat]
}

func (q *request) key() string { return q.workspace + "\x00" + fmt.Sprint(q.chat) }

// poolOf returns the candidates as the entry knows them.
func (r *routingRun) poolOf(e *simEntry) *choose.Pool {
	if r.now.Sub(e.builtAt) >= rebuildEvery {
		e.unchanged = e.unchanged && !e.table.Step(r.now)
		for i, until := range e.over {
			if r.now.After(until) {
				delete(e.over, i)
				e.unchanged = false
			}
		}
		for _, since := range e.wasOut {
			e.unchanged = e.unchanged && r.now.Sub(since) > choose.ReclaimTime
		}
		e.builtAt = r.now
	}
	if e.unchanged && e.pool != nil {
		return e.pool
	}
	var list []choose.Candidate
	for _, en := range r.engines {
		if r.takes(e, en) {
			_, over := e.over[en.index]
			list = append(list, choose.Candidate{
				ID: en.id, Weight: 1, OutOfService: e.out[en.centre], OverBound: over, LoadRatio: e.ratio[en.index], WithheldShare: r.withheld(e, en), ReclaimsChats: r.reclaims(e, en),
			})
		}
	}
	e.pool, e.unchanged = choose.NewPool(nil, list), true
	if r.method.baseline != nil {
		e.ordering = r.method.baseline.Prepare(e.pool)
	}
	return e.pool
}

// takes reports whether the entry believes that the engine takes work. The
// baselines know the list only.
func (r *routingRun) takes(e *simEntry, en *simEngine) bool {
	if !r.method.fleet() {
		return e.listed[en.index]
	}
	m, ok := e.table.Get(model.InstanceID(en.id))
	return ok && m.Usable()
}

// reclaims reports whether the engine's data centre gets its chats back.
func (r *routingRun) reclaims(e *simEntry, en *simEngine) bool {
	since, ok := e.wasOut[en.centre]
	return ok && r.method.fleet() && r.now.Sub(since) < choose.ReclaimTime
}

// withheld is the slice of the chats that a returning data centre lacks.
func (r *routingRun) withheld(e *simEntry, en *simEngine) float64 {
	since, ok := e.wasOut[en.centre]
	if !ok || !r.method.fleet() {
		return 0
	}
	const returnTime = 60 * time.Second
	return max(0, 1-float64(r.now.Sub(since))/float64(returnTime))
}
