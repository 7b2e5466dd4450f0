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

// method is a way to choose endpoints.
type method struct {
	name           string
	baseline       *choose.Baseline // nil for the fleet and the ideal
	ideal          bool             // one global owner table, no load bound
	disabled       admit.Disabled   // mechanisms that a test turns off
	tokensDisabled bool             // set by tests: no return tokens and no cache transfers
}

func (m method) fleet() bool { return m.baseline == nil && !m.ideal }

// bounded reports whether the sides apply the load limits.
func (m method) bounded() bool { return m.fleet() || m.baseline != nil && m.baseline.Bounded }

// routingRun is one run of a load with one method.
type routingRun struct {
	virtualClock
	size          fleetSize
	method        method
	rng           *rand.Rand // for the method, for example its jitter
	faults        *rand.Rand // for the churn, the same for all methods
	engines       []*simEngine
	entries       []*simEntry
	owner         map[int]int        // owner table of the ideal: engine index by chat
	tokens        map[int]string     // return token that the caller of a chat received, by chat
	reports       map[int]loadReport // at the aggregator, by engine index
	ticket        admit.Ticket
	observer      loadObserver
	surge         *surge
	drainDisabled bool           // set by tests: an evacuated side ends its running work
	workspaces    map[int]string // by chat
	stats         runStats
}

type loadReport struct {
	demand int64
	at     time.Time
}

type runStats struct {
	prompt, cached        int64
	arrived, answered     int
	refused, gaveUp       int // refusals to callers, and callers that gave up
	resumed               int
	waits, waitsOfOthers  []time.Duration   // from arrival to admission; waitsOfOthers: during a surge, of other workspaces
	lastAdmission         map[int]time.Time // last admission by data centre
	exported, transferred int
}

// simEngine is an engine and its side process.
type simEngine struct {
	index          int
	id             model.EndpointID
	centre         int
	up             bool
	evacuated      bool // its side knows that the data centre is evacuated
	cold           bool
	generation     int // incremented by a restart; callbacks of work from before it do nothing
	cache          *prefixCache
	busyUntil      time.Time
	importLimiter  *rate.Limiter // for imported caches
	controller     *admit.Controller
	offered        map[admit.Ticket]*request
	running        map[admit.Ticket]*request
	pendingPrefill int64 // prompt units that the engine has yet to prefill
	coldPeak       int64 // highest pendingPrefill while cold
}

// simEntry is the state of one entry.
type simEntry struct {
	table          *member.Table
	listed         map[int]bool      // by engine index, for the baselines
	evacuated      map[int]bool      // by data centre
	returnedAt     map[int]time.Time // by data centre, after an evacuation
	overBoundUntil map[int]time.Time // by engine index
	loadRatio      map[int]float64   // by engine index
	pool           *choose.Pool
	ordering       choose.Ordering // of the baseline
	poolCheckedAt  time.Time
	poolValid      bool
}

// request is a turn that has been sent.
type request struct {
	turn
	arrived  time.Time
	order    []int
	attempts int
	retries  int
	admitted time.Time
}

const (
	maxAttempts      = 3 // as in the entry
	callerMaxRetries = 5 // retries after which a caller gives up
	rebuildInterval  = 250 * time.Millisecond
	overBoundTTL     = time.Second // as in the entry
)

func newRun(size fleetSize, m method, seed uint64) *routingRun {
	r := &routingRun{
		size: size, method: m, rng: rand.New(rand.NewPCG(seed, 2)), faults: rand.New(rand.NewPCG(seed, 3)),
		owner: map[int]int{}, tokens: map[int]string{}, reports: map[int]loadReport{},
		stats: runStats{lastAdmission: map[int]time.Time{}},
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
			r.every(time.Duration(r.rng.Int64N(int64(reportInterval))), reportInterval, runTime, func() { r.report(en) })
			r.every(time.Duration(r.rng.Int64N(int64(100*time.Millisecond))), 100*time.Millisecond, runTime, func() { r.applyDecisions(en, en.controller.Step(r.now)) })
		}
	}
	return r
}

func (r *routingRun) newEngine(i int) *simEngine {
	en := &simEngine{
		index: i, id: model.EndpointID(fmt.Sprintf("engine-%02d", i)), centre: i % r.size.centres, up: true,
		cache: newPrefixCache(cacheLimit), offered: map[admit.Ticket]*request{}, running: map[admit.Ticket]*request{},
	}
	en.importLimiter = rate.NewLimiter(transfersPerSecond, transfersPerSecond)
	r.newController(en)
	return en
}

// newController gives the engine the admission state of a side process that has
// just started.
func (r *routingRun) newController(en *simEngine) {
	en.controller = admit.New(r.rng.Float64)
	if r.method.ideal {
		en.cache.limit = cacheLimit * int64(r.size.engines)
	}
	if r.method.bounded() {
		en.controller.SetLimits(poolLimits)
		s := r.method.disabled
		s.Checks = s.Bound || s.ColdLimit || s.Gate
		en.controller.Disable(s)
	}
}

func (r *routingRun) newEntry() *simEntry {
	e := &simEntry{
		table: member.NewTable(), listed: map[int]bool{}, evacuated: map[int]bool{}, returnedAt: map[int]time.Time{},
		overBoundUntil: map[int]time.Time{}, loadRatio: map[int]float64{},
	}
	for _, en := range r.engines {
		r.setListed(e, en, instances.Live)
	}
	return e
}

// setListed shows an entry a status of an engine in the instance list.
func (r *routingRun) setListed(e *simEntry, en *simEngine, s instances.Status) {
	e.listed[en.index] = s == instances.Live
	e.table.ApplyList(instances.Changes{Instances: []instances.Instance{{
		ID: model.InstanceID(en.id), Role: instances.RoleEndpoint, DataCentre: model.DataCentre(fmt.Sprint(en.centre)), Status: s,
	}}}, r.now)
	e.poolValid = false
}

// report sends the side's load to the aggregator and applies the mean of its
// reply.
func (r *routingRun) report(en *simEngine) {
	if !en.up || en.evacuated {
		delete(r.reports, en.index)
		return
	}
	r.reports[en.index] = loadReport{en.controller.Demand(), r.now}
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
		en.controller.SetMean(mean, r.now)
		r.applyDecisions(en, en.controller.Step(r.now))
	})
}

// start runs a load until all requests have ended.
func (r *routingRun) start(load []turn) {
	r.stats.arrived = len(load)
	for _, t := range load {
		r.at(epoch.Add(t.at), func() { r.arrive(&request{turn: t, arrived: r.now}) })
	}
	r.run()
}

// lost returns the requests that were neither answered nor refused.
func (r *routingRun) lost() int { return r.stats.arrived - r.stats.answered - r.stats.gaveUp }

// recordWorkspaces records the workspace of each chat.
func (r *routingRun) recordWorkspaces(load []turn) {
	r.workspaces = map[int]string{}
	for _, t := range load {
		r.workspaces[t.chat] = t.workspace
	}
}

// arrive makes the entry of a request order the endpoints for it and attempt the
// first one.
func (r *routingRun) arrive(q *request) {
	q.attempts, q.order = 0, q.order[:0]
	switch {
	case r.method.ideal:
		q.order = append(q.order, r.ownerOf(q))
	default:
		e := r.entries[q.entry]
		p := r.poolOf(e)
		for _, c := range r.candidateOrder(p, q) {
			q.order = append(q.order, r.indexOf(c.ID))
		}
	}
	r.attempt(q)
}

func (r *routingRun) candidateOrder(p *choose.Pool, q *request) []choose.Candidate {
	key := q.key()
	if r.method.baseline != nil {
		return r.entries[q.entry].ordering(key, maxAttempts)
	}
	return p.Order(nil, choose.Query{Key: key, Chat: true, ReturnToken: r.tokenOf(q.chat)}, maxAttempts)
}

// tokenOf returns the return token that the caller of a chat sends.
func (r *routingRun) tokenOf(chat int) string {
	if r.method.tokensDisabled {
		return ""
	}
	return r.tokens[chat]
}

func (r *routingRun) indexOf(id model.EndpointID) int {
	i, _ := slices.BinarySearchFunc(r.engines, id, func(en *simEngine, id model.EndpointID) int { return cmp.Compare(en.id, id) })
	return i
}

// ownerOf returns the engine of a chat from the global owner table of the ideal.
// The table reflects every change at once and keeps the owner of a chat as long
// as it serves. When a chat leaves an evacuated data centre, its cache moves with
// it at no cost; an engine that loses its cache without notice loses it for the
// ideal too.
func (r *routingRun) ownerOf(q *request) int {
	if o, ok := r.owner[q.chat]; ok && r.engines[o].up && !r.engines[o].evacuated {
		return o
	}
	if o, ok := r.owner[q.chat]; ok && !r.engines[o].evacuated {
		r.engines[0].cache.drop(q.chat)
	}
	var list []choose.Candidate
	for _, en := range r.engines {
		if en.up && !en.evacuated {
			list = append(list, choose.Candidate{ID: en.id, Weight: 1})
		}
	}
	first := choose.NewPool(nil, list).Order(nil, choose.Query{Key: q.key(), Chat: true}, 1)
	r.owner[q.chat] = r.indexOf(first[0].ID)
	return r.owner[q.chat]
}

func (q *request) key() string { return q.workspace + "\x00" + fmt.Sprint(q.chat) }

// poolOf returns the candidates as the entry sees them.
func (r *routingRun) poolOf(e *simEntry) *choose.Pool {
	if r.now.Sub(e.poolCheckedAt) >= rebuildInterval {
		e.poolValid = e.poolValid && !e.table.Step(r.now)
		for i, until := range e.overBoundUntil {
			if r.now.After(until) {
				delete(e.overBoundUntil, i)
				e.poolValid = false
			}
		}
		for _, since := range e.returnedAt {
			e.poolValid = e.poolValid && r.now.Sub(since) > choose.ReclaimTime
		}
		e.poolCheckedAt = r.now
	}
	if e.poolValid && e.pool != nil {
		return e.pool
	}
	var list []choose.Candidate
	for _, en := range r.engines {
		if r.usable(e, en) {
			_, over := e.overBoundUntil[en.index]
			list = append(list, choose.Candidate{
				ID: en.id, Weight: 1, OutOfService: e.evacuated[en.centre], OverBound: over, LoadRatio: e.loadRatio[en.index], WithheldShare: r.withheldShare(e, en), ReclaimsChats: r.reclaims(e, en),
			})
		}
	}
	e.pool, e.poolValid = choose.NewPool(nil, list), true
	if r.method.baseline != nil {
		e.ordering = r.method.baseline.Prepare(e.pool)
	}
	return e.pool
}

// usable reports whether the entry considers the engine as taking work. The
// baselines know only the instance list.
func (r *routingRun) usable(e *simEntry, en *simEngine) bool {
	if !r.method.fleet() {
		return e.listed[en.index]
	}
	m, ok := e.table.Get(model.InstanceID(en.id))
	return ok && m.Usable()
}

// reclaims reports whether the engine's data centre has returned to service and
// gets its chats back.
func (r *routingRun) reclaims(e *simEntry, en *simEngine) bool {
	since, ok := e.returnedAt[en.centre]
	return ok && r.method.fleet() && r.now.Sub(since) < choose.ReclaimTime
}

// withheldShare returns the share of its chats that a returning data centre does
// not get yet.
func (r *routingRun) withheldShare(e *simEntry, en *simEngine) float64 {
	since, ok := e.returnedAt[en.centre]
	if !ok || !r.method.fleet() {
		return 0
	}
	const returnTime = 60 * time.Second
	return max(0, 1-float64(r.now.Sub(since))/float64(returnTime))
}
