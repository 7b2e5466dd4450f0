// Package admit is the admission control of an endpoint. It counts the
// endpoint's load exactly, bounds it by the pool mean, and holds a short queue.
// Unconfirmed work, which is admitted but has no first token yet, is kept within
// the cold limit, the cost units that a cold endpoint can take.
package admit

import (
	"math"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/invariant"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// MaxMeanAge is the age above which the pool mean is scaled down. It is the
// longest report interval of 4 s plus one exchange with the root.
const MaxMeanAge = 6 * time.Second

// reportOverlap is the fraction of the mean that may be counted twice: the
// reports in a mean are up to one report interval of 1 s apart, and work moves
// between endpoints in that time. Requests last about 20 s, so a twentieth of
// the work is new in each interval.
const reportOverlap = 0.05

// Limits are the limits that the operators' lists set for a pool. A zero field
// means no limit.
type Limits struct {
	LoadMultiple float64       // load bound as a multiple of the pool mean
	Slots        int           // requests that a warm endpoint runs concurrently
	ColdLimit    int64         // cost units that a cold endpoint can take
	WarmTime     time.Duration // longest time to first token of a warm endpoint
}

// Mean is the last received mean load of the pool.
type Mean struct {
	PerEndpoint float64 // cost units
	Endpoints   int     // endpoints that reported; 0 if the mean is unknown
	MeasuredAt  time.Time
}

// Gate holds the conditions under which the endpoint takes no new work.
type Gate struct {
	DataCentreOut bool
	Leaving       bool // by a leaving notice or the instance list
	Draining      bool // this process is shutting down
}

// refusal returns the refusal for a closed gate, or nil if the gate is open.
func (g Gate) refusal() *model.Refusal {
	switch {
	case g.DataCentreOut:
		return model.Refuse(model.ReasonDataCentreOut, "the data centre takes no new work")
	case g.Draining:
		return model.Refuse(model.ReasonDraining, "the process stops and takes no new work")
	case g.Leaving:
		return model.Refuse(model.ReasonLeaving, "the endpoint leaves and takes no new work")
	}
	return nil
}

// Ticket identifies one piece of work. The submitter creates it, so that it can
// withdraw queued work.
type Ticket uint64

// Work is the part of a request that admission needs.
type Work struct {
	Ticket    Ticket
	Workspace model.Workspace
	Priority  int  // higher is admitted first
	Retried   bool // another endpoint has refused it
	Cost      model.Cost
	Deadline  time.Time // zero means none
}

// Decision is the reply to a call of Submit, given at once or after a time in the
// queue.
type Decision struct {
	Ticket    Ticket
	Refusal   *model.Refusal // nil if the work may run
	QueueTime time.Duration
}

// Disabled names the mechanisms that are turned off. Only tests set them, to show
// that the check of a mechanism fails without it.
type Disabled struct {
	Bound, ColdLimit, Gate, Fairness bool
	// Checks turns the invariant checks off, for comparisons that violate them
	// many times.
	Checks bool
}

// admittedWork is work that was admitted and has not ended.
type admittedWork struct {
	Work
	generateUnits int64 // units of tokens that may still be generated
	admittedAt    time.Time
	confirmed     bool // its first token has arrived
	overdue       bool // found without a first token after the warm time
}

// units returns the part of the cost that counts as load: the prompt, until the
// work ends, and the tokens that may still be generated. It is at least 1 until
// the work ends.
func (r *admittedWork) units() int64 { return max(1, r.Cost.Prefill+r.generateUnits) }

// Controller is the admission state of one endpoint. It belongs to the control
// goroutine.
type Controller struct {
	rand          func() float64 // in [0, 1), jitter of retry times
	limits        Limits
	mean          Mean
	gate          Gate
	disabled      Disabled
	coverage      coverage
	running       map[Ticket]*admittedWork
	load          int64 // units of the admitted work
	workspaceLoad map[model.Workspace]int64
	warmup        warmupWindow
	queue         queue
	activity      activity
}

// New returns a controller for a cold endpoint. rand returns values in [0, 1).
func New(rand func() float64) *Controller {
	return &Controller{
		rand: rand, running: map[Ticket]*admittedWork{}, workspaceLoad: map[model.Workspace]int64{},
		warmup: newWarmupWindow(), queue: newQueue(), activity: activity{},
	}
}

// Disable turns mechanisms off. Only tests call it.
func (c *Controller) Disable(d Disabled) { c.disabled = d; c.queue.fifo = d.Fairness }

// SetLimits sets the limits of the accepted configuration.
func (c *Controller) SetLimits(l Limits) {
	c.limits = l
	c.warmup.setLimits(l)
}

// SetMean sets the newest pool mean.
func (c *Controller) SetMean(m Mean, now time.Time) {
	c.coverage.observe(m.Endpoints, now)
	c.mean = m
}

// SetGate opens or closes the endpoint for new work.
func (c *Controller) SetGate(g Gate) { c.gate = g }

// Closed reports whether the gate is closed.
func (c *Controller) Closed() bool { return c.gate != Gate{} }

// Load returns the units of the admitted work that has not ended.
func (c *Controller) Load() int64 { return c.load }

// Demand returns the units of the admitted and the queued work. The pool mean is
// computed from it: a mean of admitted work alone could never rise in a pool
// whose endpoints are equally loaded. Queued work that another endpoint has
// refused is left out, since that endpoint may have reported it.
func (c *Controller) Demand() int64 { return c.load + c.queue.firstAttemptUnits() }

// Running returns the number of admitted requests.
func (c *Controller) Running() int { return len(c.running) }

// Waiting returns the number of queued requests.
func (c *Controller) Waiting() int { return len(c.queue.items) }

// Unconfirmed returns the units of the unconfirmed work, which is admitted work
// without a first token.
func (c *Controller) Unconfirmed() int64 { return c.warmup.units }

// Window returns the warm-up window: the number of requests that may be
// unconfirmed at once.
func (c *Controller) Window() int { return c.warmup.size }

// LoadRatio returns the load divided by the pool mean, or 0 if the mean is
// unknown.
func (c *Controller) LoadRatio() float64 {
	if c.mean.Endpoints == 0 || c.mean.PerEndpoint <= 0 {
		return 0
	}
	return float64(c.load) / c.mean.PerEndpoint
}

// Bound returns the load bound at now. It is 0 while the mean is unknown, so that
// only an idle endpoint takes work.
func (c *Controller) Bound(now time.Time) float64 {
	switch {
	case c.limits.LoadMultiple <= 0 || c.disabled.Bound:
		return math.Inf(1)
	case c.mean.Endpoints == 0 || !c.coverage.settled(now):
		return 0
	case c.coverage.singleEndpoint(now):
		return math.Inf(1) // the only endpoint of a pool is its mean
	}
	b := c.limits.LoadMultiple * c.mean.PerEndpoint * c.coverage.fraction(c.mean.Endpoints) * (1 - reportOverlap)
	if age := now.Sub(c.mean.MeasuredAt); age > MaxMeanAge {
		b *= float64(MaxMeanAge) / float64(age)
	}
	return b
}

// Submit queues w and returns the decisions that are due now. If there is none
// for w, a later call of Step decides.
func (c *Controller) Submit(now time.Time, w Work) []Decision {
	c.activity.record(w.Workspace, now)
	if r := c.gate.refusal(); r != nil && !c.disabled.Gate {
		return []Decision{{Ticket: w.Ticket, Refusal: c.withRetryAfter(r, w)}}
	}
	if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
		return []Decision{{Ticket: w.Ticket, Refusal: model.Refuse(model.ReasonDeadline, "the deadline has passed")}}
	}
	var out []Decision
	for _, dropped := range c.queue.push(w, now) {
		out = append(out, Decision{Ticket: dropped.Ticket, Refusal: c.refuseQueueFull(dropped.Work), QueueTime: now.Sub(dropped.enqueuedAt)})
	}
	return append(out, c.Step(now)...)
}

// FirstToken records the first token of admitted work. The units of the prompt
// count until the work ends, since the prompt occupies the engine's memory until
// then.
func (c *Controller) FirstToken(now time.Time, t Ticket) []Decision {
	r := c.running[t]
	if r == nil || r.confirmed {
		return nil
	}
	r.confirmed = true
	c.warmup.confirm(r, !r.overdue && !c.isOverdue(r, now))
	return c.Step(now)
}

// Progress records the total number of tokens that admitted work has generated
// and releases their units.
func (c *Controller) Progress(now time.Time, t Ticket, tokens int64) []Decision {
	r := c.running[t]
	if r == nil {
		return nil
	}
	left := max(0, r.Cost.Generate-tokens)
	before := r.units()
	r.generateUnits = min(r.generateUnits, model.Cost{Generate: left}.Units())
	c.load -= before - r.units()
	c.addLoad(r.Workspace, r.units()-before)
	return c.Step(now)
}

// Done ends admitted work or withdraws queued work. It may be called twice:
// unknown tickets are ignored.
func (c *Controller) Done(now time.Time, t Ticket) []Decision {
	c.queue.remove(t)
	if r := c.running[t]; r != nil {
		if !r.confirmed {
			c.warmup.remove(r)
		}
		c.load -= r.units()
		c.addLoad(r.Workspace, -r.units())
		delete(c.running, t)
	}
	return c.Step(now)
}

// MarkCold records evidence that the endpoint is cold: a shorter uptime or a
// dropped cache in a report, or a refused connection.
func (c *Controller) MarkCold() { c.warmup.reset() }

// Step applies the passage of time and admits queued work that fits.
func (c *Controller) Step(now time.Time) []Decision {
	c.markOverdue(now)
	var out []Decision
	if r := c.gate.refusal(); r != nil && !c.disabled.Gate {
		for _, it := range c.queue.clear() {
			out = append(out, Decision{Ticket: it.Ticket, Refusal: c.withRetryAfter(r, it.Work), QueueTime: now.Sub(it.enqueuedAt)})
		}
		return out
	}
	for _, it := range c.queue.expire(now) {
		out = append(out, Decision{Ticket: it.Ticket, Refusal: c.refuseExpired(now, it.Work), QueueTime: now.Sub(it.enqueuedAt)})
	}
	for {
		it, ok := c.queue.popNext(func(w Work) fitResult { return c.checkFit(now, w) })
		if !ok {
			return out
		}
		c.admit(now, it.Work)
		out = append(out, Decision{Ticket: it.Ticket, QueueTime: now.Sub(it.enqueuedAt)})
	}
}

func (c *Controller) admit(now time.Time, w Work) {
	r := &admittedWork{Work: w, generateUnits: w.Cost.Units() - w.Cost.Prefill, admittedAt: now}
	c.running[w.Ticket] = r
	c.load += r.units()
	c.addLoad(w.Workspace, r.units())
	c.warmup.add(r)
	c.checkInvariants(now)
}

func (c *Controller) addLoad(w model.Workspace, units int64) {
	c.workspaceLoad[w] += units
	if c.workspaceLoad[w] <= 0 {
		delete(c.workspaceLoad, w)
	}
}

// isOverdue reports whether the warm time has passed since the admission of r.
func (c *Controller) isOverdue(r *admittedWork, now time.Time) bool {
	return c.limits.WarmTime > 0 && now.Sub(r.admittedAt) > c.limits.WarmTime
}

// markOverdue marks work whose first token is late, without waiting for the token.
func (c *Controller) markOverdue(now time.Time) {
	if c.warmup.count == 0 {
		return
	}
	for _, r := range c.running {
		if !r.confirmed && !r.overdue && c.isOverdue(r, now) {
			r.overdue = true
			c.warmup.shrink()
		}
	}
}

// checkInvariants recounts the load and the unconfirmed work after an admission
// and checks them against the limits.
func (c *Controller) checkInvariants(now time.Time) {
	if c.disabled.Checks {
		return
	}
	var load, unconfirmed int64
	count := 0
	for _, r := range c.running {
		load += r.units()
		if !r.confirmed {
			unconfirmed += r.units()
			count++
		}
	}
	invariant.Check(invariant.LoadBound, len(c.running) == 1 || float64(load) <= c.Bound(now) && load == c.load,
		"load is %d units, bound is %.0f, counted load is %d", load, c.Bound(now), c.load)
	invariant.Check(invariant.ColdLimit, c.limits.ColdLimit == 0 || count == 1 || unconfirmed <= c.limits.ColdLimit && count <= c.warmup.size,
		"%d requests with %d units are unconfirmed, limits are %d and %d", count, unconfirmed, c.warmup.size, c.limits.ColdLimit)
	invariant.Check(invariant.DataCentreOut, !c.gate.DataCentreOut, "work was admitted in a data centre that is out of service")
	invariant.Check(invariant.LeavingNoWork, !c.gate.Leaving && !c.gate.Draining, "work was admitted by an endpoint that is leaving or draining")
}
