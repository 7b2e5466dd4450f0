package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// tick is the interval at which thresholds are derived again. It is shorter than that
	// of the reports of peers.
	tick = 100 * time.Millisecond
	// demandTime is the time constant of the averages of arrivals and ends. A step in
	// demand is known within about one report of the peers.
	demandTime = 400 * time.Millisecond
	// resultTime is the same for shares of results, of which a router gets few.
	resultTime = time.Second
	// stepTime is the time between two changes of the occupancy target. A change shows in
	// the times to the first event only after a while.
	stepTime = 200 * time.Millisecond
	// calmTime is how long a pool must be without evidence of overload and without
	// refusals before its requests are admitted without a check.
	calmTime = 2 * time.Second
	// isolationTime is how long a router must hear nothing of its peers' demand to go by
	// its own view.
	isolationTime = 5 * time.Second

	// Bounds of the occupancy target: requests in flight over slots. Below half of the
	// slots nothing is refused, so lower targets have no effect. At endpoints that state
	// loads more than the slots only waits; the others have a queue that is needed while
	// routers do not know which of them is free. The figures are those with which the
	// model of the tests serves most in time.
	minOccupancyStated   = 0.55
	minOccupancyUnstated = 1.2
	startStated          = 0.9
	maxOccupancyStated   = 0.95
	startUnstated        = 1.6
	maxOccupancyUnstated = 2.5
	occupancyDecrease    = 0.95
	occupancyIncrease    = 1.015
	// freeOccupancy is the occupancy below which nothing is refused if nothing waits.
	freeOccupancy = 0.5

	// Evidence of overload.
	waitingEvidence       = 0.05 // waiting over slots of endpoints that state loads
	takenEvidence         = 0.9  // requests in flight over slots of the same
	takenEvidenceUnstated = 2.0  // requests in flight over slots of the others
	lateEvidence          = 0.2  // share of results after the latency target
	rejectedEvidence      = 0.05 // share of attempts that full endpoints reject
	minResults            = 5.0  // below which shares of results say nothing
	// lateTolerated and lateNone are the shares of late results above which the occupancy
	// target is lowered and below which it is raised. Below lateHealthy stated waiting
	// requests do not count: own results count more than statements. With 0.1 for
	// lateTolerated, the model of the tests served 0.876 of the throughput at eight times
	// the capacity in the worst of 8 runs, with 0.05 0.938.
	lateTolerated = 0.05
	lateNone      = 0.03
	lateHealthy   = 0.02

	// fillTime is the time in which requests in flight are to reach the occupancy target.
	// Shorter ones overshoot, since the loads of the peers are one report old.
	fillTime = 600 * time.Millisecond
	// drainTime is the same while more are in flight than the target. It is shorter, since
	// requests that wait in engines become late.
	drainTime = 400 * time.Millisecond
	// stretchTime is the time constant of the mean stretch of requests. It is about the
	// time of a long stream.
	stretchTime = 2 * time.Second
	// stretchPrior is the work that counts as ended without stretch, so that a few results
	// do not decide.
	stretchPrior = 1.0
	// atTarget is the factor on the occupancy target up to which late results lower it.
	// Above it, the excess in flight explains them.
	atTarget = 1.1
	// consensusGain is the part of the difference to the mean of the peers by which a
	// router moves its target in each tick.
	consensusGain = 0.3
	// deadBand is the change of an admitted share, relative to it, that is not applied, so
	// that thresholds of routers differ less in time than their averages.
	deadBand = 0.05
	// urgentBound is how far requests that are more urgent than the threshold may exceed
	// the bound on requests in flight, which less urgent ones may have used up.
	urgentBound = 1.1
	// overloadedPeers is the share of heard peers with evidence of overload from which a
	// router without evidence applies the threshold too.
	overloadedPeers = 1.0 / 3

	// initialService is the assumed time of a request of a route without results.
	initialService = 300 * time.Millisecond
	minService     = 5 * time.Millisecond
	// serviceGain is the weight of a result in the mean times of its route.
	serviceGain = 0.05
	// estimateLifetime is how long learned times are used to refuse requests without a
	// result of the route, so that an estimate that refuses all cannot confirm itself.
	estimateLifetime = time.Second
	// maxCredit bounds the requests that are admitted at once because earlier ones were not.
	maxCredit = 2
	// maxPeers bounds the peers whose reports are kept, since any host can send them with any
	// name. It is far above the 370 of the target size.
	maxPeers = 2048
	// poolLifetime is how long a pool without requests is kept, since operators remove pools.
	poolLifetime = 10 * time.Minute
	// maxRoutes bounds the routes of a pool with learned times.
	maxRoutes = 4096
)

// Load is what a router knows of the load of a pool over all routers.
type Load struct {
	Slots          float64       // requests that the endpoints run at once; 0 if unknown
	Taken          float64       // requests in flight there, running or waiting
	Waiting        float64       // requests that wait there for a slot
	Stated         bool          // the endpoints state their loads
	Routers        int           // live or, if this router hears none, known routers, this one included
	Live           int           // live peers
	Interval       time.Duration // between the load reports of a router
	ReportInterval time.Duration // between its reports of demand; 0 means Interval
}

// Request is a request to be decided on.
type Request struct {
	Pool      model.Pool
	Route     model.Route
	Priority  int           // 0 is the most urgent
	Left      time.Duration // until its deadline
	Wait      time.Duration // as the caller stated it, to tell returning requests; 0 if not
	Target    time.Duration // latency target; 0 if none
	Random    float64       // uniform in [0, 1)
	Workspace model.Workspace
	Plain     bool // to a pool of plain services, which never state a load
}

// Reason is why a request was admitted or refused.
type Reason string

// The reasons.
const (
	Admitted     Reason = "admitted"      // under overload, within the threshold
	NoOverload   Reason = "no_overload"   // the pool is not overloaded
	CapacityFree Reason = "capacity_free" // under half of the slots are taken
	LoadUnknown  Reason = "load_unknown"  // plain services state no load, so their room is a guess
	FairShare    Reason = "fair_share"    // its workspace has more than its share
	LessUrgent   Reason = "less_urgent"   // above the threshold of its class
	BoundReached Reason = "bound_reached" // this router has its share in flight
	TooLate      Reason = "too_late"      // it cannot be answered before its deadline
)

// Decision is the decision on a request.
type Decision struct {
	Admit      bool
	Reason     Reason
	Ticket     uint64        // identifies an admitted request in FirstEvent and End
	RetryAfter time.Duration // of a refused request
}

// Outcome is how an admitted request ended.
type Outcome int

// The outcomes.
const (
	Answered  Outcome = iota // completely or in part
	Abandoned                // its caller left or its time ended
	NotRun                   // endpoints did not run it, or it failed at once
)

// routeTimes are the learned times of a route.
type routeTimes struct {
	service float64       // seconds from admission to the end
	work    float64       // service as it was last without overload: the weight of a request
	first   float64       // seconds to the first event
	at      time.Time     // of the last result
	usual   time.Duration // time that callers state at their first attempt
}

// inFlight is an admitted request that has not ended.
type inFlight struct {
	pool    *pool
	route   model.Route
	began   time.Time
	target  time.Duration
	work    float64
	begun   bool // its first event has arrived
	counted bool // as late
}

// heard is the last report of a peer.
type heard struct {
	Report
	at time.Time
}

// pool is the state of one pool at one router.
type pool struct {
	name       model.Pool
	hash       uint32
	load       Load
	routes     map[model.Route]*routeTimes
	tickets    map[uint64]*inFlight
	workspaces map[workspaceKey]*workspaceDemand
	fair       fairness
	peers      map[string]heard
	heardAt    time.Time // when a peer's report last arrived
	loadedFrom time.Time // since when the demand is reported for the load of the pool; zero if it is not
	usedAt     time.Time // when the last request arrived
	ticked     time.Time
	stepped    time.Time
	calmFrom   time.Time // since when there is neither evidence nor a refusal; zero if there is
	freeFrom   time.Time // since when capacity is free; zero if it is not

	arrivedWork [Classes]float64 // since the last tick, in units of work
	demand      [Classes]float64 // work a second that arrives at this router
	steady      [Classes]float64 // the same, averaged over an interval between reports
	service     float64          // seconds that requests took which ended, decaying
	ended       float64          // their work, decaying
	work        float64          // mean work of its requests
	reported    [Classes]float64 // demand as the peers know it
	arrived     [Classes]float64 // requests since the last tick
	rate        [Classes]float64 // requests a second
	late, onTime,
	rejected, attempts float64 // decaying sums

	evidence   bool             // own evidence of overload
	active     bool             // the threshold applies
	refused    bool             // since the last tick
	occupancy  float64          // target of requests in flight over slots
	ownFrom    time.Time        // since when the own requests stand for half of the slots; zero if they do not
	admitted   [Classes]float64 // share of each class that is admitted
	usual      [Classes]float64 // mean of admitted over usualTime, while peers are heard
	restricted int              // first class of the first priority that is not admitted whole; 0 if all are
	credit     [Classes]float64 // of requests to admit
	share      float64          // of this router in the admitted demand
	returns    [Priorities]time.Time
}

// Controller decides on the requests of one router. It belongs to the control goroutine.
type Controller struct {
	load    func(time.Time, model.Pool) Load
	hash    func(string) uint32
	enabled bool
	pools   map[model.Pool]*pool
	tickets map[uint64]*inFlight
	last    uint64
}

// New returns a controller. load returns what is known of the load of a pool, hash the
// number that stands for a pool or a workspace in reports.
func New(load func(time.Time, model.Pool) Load, hash func(string) uint32) *Controller {
	return &Controller{enabled: true, load: load, hash: hash, pools: map[model.Pool]*pool{}, tickets: map[uint64]*inFlight{}}
}

func (c *Controller) pool(now time.Time, name model.Pool) *pool {
	p := c.pools[name]
	if p == nil {
		p = &pool{name: name, hash: c.hash(string(name)), workspaces: map[workspaceKey]*workspaceDemand{}, routes: map[model.Route]*routeTimes{}, tickets: map[uint64]*inFlight{}, peers: map[string]heard{}, share: 1}
		c.pools[name] = p
	}
	if p.ticked.IsZero() || now.Sub(p.ticked) >= tick {
		p.advance(now, c.load(now, name))
	}
	return p
}

// Decide decides on a request. End must be called once for each admitted one.
func (c *Controller) Decide(now time.Time, r Request) Decision {
	if r.Plain {
		return Decision{Admit: true, Reason: LoadUnknown}
	}
	p := c.pool(now, r.Pool)
	p.usedAt = now
	times := p.times(r.Route)
	cl := class(r.Priority, times.returning(r.Wait))
	p.arrived[cl]++
	p.arrivedWork[cl] += times.work
	w := p.workspace(workspaceKey{c.hash(string(r.Workspace)), cl / 2}, r.Random)
	if w != nil {
		w.arrived += times.work
	}
	reason := NoOverload
	if c.enabled {
		reason = p.decide(now, r, cl, times, w, c.hash(string(r.Workspace)))
	}
	if reason == FairShare || reason == LessUrgent || reason == BoundReached || reason == TooLate {
		p.refused = true
		return Decision{Reason: reason, RetryAfter: p.retryAfter(now, r)}
	}
	c.last++
	t := &inFlight{pool: p, route: r.Route, began: now, target: r.Target, work: times.work}
	c.tickets[c.last], p.tickets[c.last] = t, t
	return Decision{Admit: true, Reason: reason, Ticket: c.last}
}

func (p *pool) decide(now time.Time, r Request, cl int, times *routeTimes, w *workspaceDemand, workspace uint32) Reason {
	p.predict(now)
	switch {
	case !p.active:
		return NoOverload
	case p.free(now):
		return CapacityFree
	case now.Sub(times.at) < estimateLifetime && r.Left.Seconds() < max(times.first, 0.8*times.service):
		return TooLate
	}
	share, credit, short := p.admitted[cl], &p.credit[cl], LessUrgent
	if p.fair.mean > 0 && p.fair.priority == cl/2 && w != nil {
		share, credit = p.fair.share(workspace, share), &w.credit[cl%2]
		if share < p.admitted[cl] {
			short = FairShare
		}
	}
	*credit = min(*credit+share, maxCredit)
	if *credit < 1 {
		return short
	}
	if float64(len(p.tickets)) >= p.bound(cl) {
		return BoundReached
	}
	*credit--
	return Admitted
}

// predict judges the load of the pool by the requests of this router in flight, which are
// known at once: the share of this router in the demand is known from the last reports.
// From its part of the slots on, the threshold applies before loads and results show it.
func (p *pool) predict(now time.Time) {
	own := float64(len(p.tickets))
	if own < freeOccupancy*p.share*p.load.Slots {
		p.ownFrom = time.Time{}
	} else if p.ownFrom.IsZero() {
		p.ownFrom = now
	}
	if p.share*p.load.Slots >= minOwnSlots && own >= p.varied(p.share*p.evidenceOccupancy()*p.load.Slots) {
		if !p.active { // the threshold of the last overload is not that of this one
			p.setAdmitted()
			p.setFair()
		}
		p.active, p.calmFrom = true, time.Time{}
	}
}

// evidenceOccupancy returns the occupancy from which a pool counts as overloaded.
func (p *pool) evidenceOccupancy() float64 {
	if p.load.Stated {
		return takenEvidence
	}
	return takenEvidenceUnstated
}

// free reports whether under half of the slots are taken and nothing waits there. If the
// requests of this router in flight suggest more, they count against the known loads until
// these must have shown it, as long as own results are bad, and from the whole share of the
// router on: loads may be stated falsely.
func (p *pool) free(now time.Time) bool {
	if p.freeFrom.IsZero() {
		return false
	}
	if p.ownFrom.IsZero() {
		return true
	}
	return !p.bad() && float64(len(p.tickets)) < p.varied(max(p.share, 1/float64(max(1, p.load.Routers)))*p.load.Slots) && now.Sub(p.freeFrom) > p.load.Interval && now.Sub(p.ownFrom) > p.load.Interval+loadDelay
}

// loadDelay is the time in which a change of a load is stated or reported, beyond the
// interval between reports.
const loadDelay = 150 * time.Millisecond

// bound returns the number of requests of a class that this router may have in flight. While
// results are bad it allows for no variation: what is in flight has to become less.
func (p *pool) bound(cl int) float64 {
	mean := p.share * p.occupancy * p.load.Slots
	switch {
	case p.bad() && mean >= minOwnSlots:
		return mean
	case cl < p.restricted:
		return urgentBound * p.varied(mean)
	}
	return p.varied(mean)
}

// varied allows for the variation of independent arrivals around a mean, which matters
// where the share of a router is small.
func (p *pool) varied(mean float64) float64 { return mean + max(math.Sqrt(mean), minVaried) }

const (
	// minVaried is the least excess over a mean that does not count.
	minVaried = 3
	// minOwnSlots is the number of slots in the share of a router from which its requests
	// in flight say something about the pool.
	minOwnSlots = 10
)

func (p *pool) times(route model.Route) *routeTimes {
	t := p.routes[route]
	if t == nil {
		if len(p.routes) >= maxRoutes {
			clear(p.routes)
		}
		t = &routeTimes{service: initialService.Seconds(), work: initialService.Seconds()}
		p.routes[route] = t
	}
	return t
}

const (
	// usualDecay lowers the usual time of a route at each request, so that it follows
	// callers that state less from now on.
	usualDecay = 0.9995
	// returningMargin is the difference to the usual time from which a request counts as
	// returning; time on the network varies.
	returningMargin = 40 * time.Millisecond
)

// returning reports whether the caller of a request has used part of its time.
func (t *routeTimes) returning(wait time.Duration) bool {
	if wait <= 0 {
		return false
	}
	t.usual = max(wait, time.Duration(usualDecay*float64(t.usual)))
	return wait < t.usual-returningMargin
}

// SetEnabled sets whether requests are refused. All else is kept up, so that it takes
// effect at once.
func (c *Controller) SetEnabled(enabled bool) { c.enabled = enabled }

// RetryAfter returns when the caller of a request that endpoints refused is to return, or
// 0 if the pool is not overloaded.
func (c *Controller) RetryAfter(now time.Time, r Request) time.Duration {
	p := c.pool(now, r.Pool)
	if !c.enabled || !p.active {
		return 0
	}
	return p.retryAfter(now, r)
}

// AllowRetry reports whether a request of a priority may be sent to a second endpoint. Under
// overload it may as long as no new request of the priority is refused.
func (c *Controller) AllowRetry(now time.Time, name model.Pool, priority int) bool {
	p := c.pool(now, name)
	return !c.enabled || !p.active || p.free(now) || p.admitted[class(priority, false)] >= 1
}

// FirstEvent records that the answer to an admitted request has begun.
func (c *Controller) FirstEvent(now time.Time, ticket uint64) {
	if t := c.tickets[ticket]; t != nil && !t.begun {
		t.begun = true
		t.pool.recordFirst(now, t)
	}
}

func (p *pool) recordFirst(now time.Time, t *inFlight) {
	took := now.Sub(t.began)
	times := p.times(t.route)
	times.first += serviceGain * (took.Seconds() - times.first)
	times.at = now
	p.attempts++
	switch {
	case t.counted:
	case t.target > 0 && took > t.target:
		p.late++
	default:
		p.onTime++
	}
	t.counted = true
}

// End records how an admitted request ended.
func (c *Controller) End(now time.Time, ticket uint64, outcome Outcome) {
	t := c.tickets[ticket]
	if t == nil {
		return
	}
	p := t.pool
	delete(c.tickets, ticket)
	delete(p.tickets, ticket)
	took := now.Sub(t.began)
	if outcome != NotRun {
		if outcome == Answered && !t.begun {
			p.recordFirst(now, t)
		}
		times := p.times(t.route)
		times.service = max(minService.Seconds(), times.service+serviceGain*(took.Seconds()-times.service))
		if !p.active {
			times.work = times.service
		}
		p.service += took.Seconds()
		p.ended += t.work
	}
}

// Rejected records that a full endpoint rejected an attempt.
func (c *Controller) Rejected(now time.Time, name model.Pool) {
	p := c.pool(now, name)
	p.rejected++
	p.attempts++
}

// Hear applies the reports of a peer.
func (c *Controller) Hear(now time.Time, peer string, reports []Report) {
	for _, p := range c.pools {
		for _, r := range reports {
			if _, known := p.peers[peer]; r.Pool == p.hash && (known || len(p.peers) < maxPeers) {
				p.peers[peer], p.heardAt = heard{r, now}, now
			}
		}
	}
}

// Drop forgets the reports of a peer that has left.
func (c *Controller) Drop(peer string) {
	for _, p := range c.pools {
		delete(p.peers, peer)
	}
}

// reportedOccupancy is the occupancy of a pool from which its demand is reported, so that
// the demand of all routers is known when overload begins.
const reportedOccupancy = 0.3

// Reports returns what the peers are to know. It is empty while no pool is loaded.
func (c *Controller) Reports(now time.Time) []Report {
	var out []Report
	for name := range c.pools {
		p := c.pool(now, name)
		if len(p.tickets) == 0 && now.Sub(p.usedAt) > poolLifetime {
			delete(c.pools, name)
			continue
		}
		loaded := p.active || p.evidence || p.load.Slots > 0 && p.load.Taken >= reportedOccupancy*p.load.Slots
		switch {
		case !loaded:
			p.loadedFrom = time.Time{}
		case p.loadedFrom.IsZero():
			p.loadedFrom = now
		}
		if !loaded && !p.asked() {
			continue
		}
		p.reported = p.steady
		report := Report{Pool: p.hash, Loaded: loaded, Overloaded: p.evidence, Occupancy: p.occupancy, Stretch: p.stretch(), Demand: p.steady}
		if p.fair.mean > 0 {
			report.HeavyPriority, report.Heavy = p.fair.priority, p.heaviest(p.fair.priority)
		}
		out = append(out, report)
	}
	// A datagram may not hold all; those of overloaded pools matter most.
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(rank(a), rank(b)) })
	return out
}

// asked reports whether a peer reports its demand because of the load of the pool. To derive
// its share it needs the demand of all.
func (p *pool) asked() bool {
	for _, h := range p.peers {
		if h.Loaded {
			return true
		}
	}
	return false
}

// rank orders the reports of overloaded pools before the others, and then by pool.
func rank(r Report) uint64 {
	if r.Overloaded {
		return uint64(r.Pool)
	}
	return 1<<32 + uint64(r.Pool)
}

// Status is the state of a pool for metrics and logs.
type Status struct {
	Pool      model.Pool
	Active    bool
	Threshold float64 // priorities that are admitted: 1.25 is all of priority 0 and a quarter of 1
	Occupancy float64 // target of requests in flight over slots
	Taken     float64 // requests in flight over slots
	Waiting   float64 // requests that wait over slots
	Late      float64 // share of late results
	Rejected  float64 // share of rejected attempts
	Share     float64 // of this router in the admitted demand
	Peers     int     // whose demand is known
	InFlight  int
}

// Status returns the state of all pools with known slots.
func (c *Controller) Status() []Status {
	var out []Status
	for _, p := range c.pools {
		if p.load.Slots <= 0 {
			continue
		}
		s := Status{Pool: p.name, Active: p.active && c.enabled, Occupancy: p.occupancy, Taken: p.load.Taken / p.load.Slots, Waiting: p.load.Waiting / p.load.Slots,
			Late: p.lateShare(), Rejected: p.rejectedShare(), Share: p.share, Peers: len(p.peers), InFlight: len(p.tickets), Threshold: Priorities}
		if s.Active {
			s.Threshold = p.level()
		}
		out = append(out, s)
	}
	return out
}
