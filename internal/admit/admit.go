// Package admit decides what work an endpoint takes. It counts the load
// exactly, bounds it by the mean of the pool, limits unconfirmed work to what a
// cold endpoint bears, and keeps a short queue.
package admit

import (
	"math"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/invariant"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// MaxMeanAge is the age beyond which the pool mean is scaled down. It is the
// longest report period of 4 s plus one exchange with the root.
const MaxMeanAge = 6 * time.Second

// reportOverlap is the part of the mean that may be counted twice, because the
// reports in it are up to a period of 1 s apart and work moves between endpoints
// meanwhile. Requests last about 20 s, so a twentieth of the work is new in
// each period.
const reportOverlap = 0.05

// Limits are what the operators' lists set for a pool. A zero field is not
// applied.
type Limits struct {
	LoadMultiple float64       // bound on load over the mean of the pool
	Slots        int           // requests that a warm endpoint runs at once
	ColdLimit    int64         // cost units that a cold endpoint bears
	WarmTime     time.Duration // longest first-token time of a warm endpoint
}

// Mean is the mean load of the pool as last heard.
type Mean struct {
	PerEndpoint float64 // cost units
	Endpoints   int     // endpoints that reported; 0 if the mean is not known
	MeasuredAt  time.Time
}

// Gate says whether the endpoint takes new work at all.
type Gate struct {
	DataCentreOut bool
	Leaving       bool // announced, or marked in the instance list
	Draining      bool // this process stops
}

// refusal returns the refusal of a closed gate, or nil.
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

// Ticket names one piece of work. The asker creates it, so that it can withdraw
// work that still waits.
type Ticket uint64

// Work is a request as far as admission needs it.
type Work struct {
	Ticket    Ticket
	Workspace model.Workspace
	Priority  int  // higher goes first
	Retried   bool // another endpoint refused it before
	Cost      model.Cost
	Deadline  time.Time // zero means none
}

// Decision is the answer to an offer, at once or after a wait.
type Decision struct {
	Ticket    Ticket
	Refusal   *model.Refusal // nil if the work may run
	QueueTime time.Duration
}

// Disabled turn single mechanisms off. Only tests set them, to show that the
// check of a mechanism fails without it.
type Disabled struct {
	Bound, ColdLimit, Gate, Fairness bool
	// Checks leaves out the invariants, for comparisons that break them many
	// times.
	Checks bool
}

// running is admitted work.
type running struct {
	Work
	generate  int64 // units of tokens that may still be generated
	admitted  time.Time
	confirmed bool
	late      bool
}

// units is the part of the cost that counts as load: the prompt to the end, and
// the tokens that may still come. It is at least 1 until the work ends.
func (r *running) units() int64 { return max(1, r.Cost.Prefill+r.generate) }

// Controller is the admission state of one endpoint. It belongs to the control
// goroutine.
type Controller struct {
	rand     func() float64 // in [0, 1), for the jitter of retry times
	limits   Limits
	mean     Mean
	gate     Gate
	off      Disabled
	cover    coverage
	running  map[Ticket]*running
	load     int64
	holding  map[model.Workspace]int64 // load by workspace
	ramp     ramp
	queue    queue
	lastSeen recent
}

// New returns a controller of a cold endpoint. rand yields values in [0, 1).
func New(rand func() float64) *Controller {
	return &Controller{
		rand: rand, running: map[Ticket]*running{}, holding: map[model.Workspace]int64{},
		ramp: newRamp(), queue: newQueue(), lastSeen: recent{},
	}
}

// Disable turns mechanisms off. Only tests call it.
func (c *Controller) Disable(s Disabled) { c.off = s; c.queue.unfair = s.Fairness }

// SetLimits applies the limits of the accepted configuration.
func (c *Controller) SetLimits(l Limits) {
	c.limits = l
	c.ramp.setLimits(l)
}

// SetMean applies the newest mean of the pool.
func (c *Controller) SetMean(m Mean, now time.Time) {
	c.cover.note(m.Endpoints, now)
	c.mean = m
}

// SetGate opens or closes the endpoint for new work.
func (c *Controller) SetGate(g Gate) { c.gate = g }

// Closed reports whether the endpoint takes no new work.
func (c *Controller) Closed() bool { return c.gate != Gate{} }

// Load returns the units of the admitted work that is not done yet.
func (c *Controller) Load() int64 { return c.load }

// Demand returns the units of the running and the waiting work. The pool mean
// is taken from it: a mean of running work alone could never rise from a pool
// in which every endpoint holds as much as its neighbours. Waiting work that
// another endpoint refused before is left out, since that one may have reported
// it.
func (c *Controller) Demand() int64 { return c.load + c.queue.units() }

// Running returns the number of admitted requests.
func (c *Controller) Running() int { return len(c.running) }

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int { return len(c.queue.items) }

// Unconfirmed returns the units of the admitted work without a first token.
func (c *Controller) Unconfirmed() int64 { return c.ramp.units }

// Window returns how many requests may be without a first token at once.
func (c *Controller) Window() int { return c.ramp.window }

// LoadRatio returns load over the pool mean, or 0 if the mean is not known.
func (c *Controller) LoadRatio() float64 {
	if c.mean.Endpoints == 0 || c.mean.PerEndpoint <= 0 {
		return 0
	}
	return float64(c.load) / c.mean.PerEndpoint
}

// Bound returns the load that may not be exceeded at now. It is 0 while the
// mean is unknown, when only an idle endpoint takes work.
func (c *Controller) Bound(now time.Time) float64 {
	switch {
	case c.limits.LoadMultiple <= 0 || c.off.Bound:
		return math.Inf(1)
	case c.mean.Endpoints == 0 || !c.cover.settled(now):
		return 0
	case c.cover.alone(now):
		return math.Inf(1) // an endpoint alone in its pool carries the mean itself
	}
	b := c.limits.LoadMultiple * c.mean.PerEndpoint * c.cover.part(c.mean.Endpoints) * (1 - reportOverlap)
	if age := now.Sub(c.mean.MeasuredAt); age > MaxMeanAge {
		b *= float64(MaxMeanAge) / float64(age)
	}
	return b
}

// Offer decides on w. It returns the decisions that are due now; without one
// for w, w waits and a later call of Step decides.
func (c *Controller) Offer(now time.Time, w Work) []Decision {
	c.lastSeen.note(w.Workspace, now)
	if r := c.gate.refusal(); r != nil && !c.off.Gate {
		return []Decision{{Ticket: w.Ticket, Refusal: c.complete(r, w)}}
	}
	if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
		return []Decision{{Ticket: w.Ticket, Refusal: model.Refuse(model.ReasonDeadline, "the deadline has passed")}}
	}
	var out []Decision
	for _, dropped := range c.queue.push(w, now) {
		out = append(out, Decision{Ticket: dropped.Ticket, Refusal: c.full(dropped.Work), QueueTime: now.Sub(dropped.since)})
	}
	return append(out, c.Step(now)...)
}

// FirstToken notes the first token of admitted work. The units of the prompt stay
// counted to the end, since the prompt occupies the engine's memory until then.
func (c *Controller) FirstToken(now time.Time, t Ticket) []Decision {
	r := c.running[t]
	if r == nil || r.confirmed {
		return nil
	}
	r.confirmed = true
	c.ramp.confirm(r, !r.late && !c.late(r, now))
	return c.Step(now)
}

// Progress notes that tokens of admitted work have been generated in all. The
// units of generated tokens are released.
func (c *Controller) Progress(now time.Time, t Ticket, tokens int64) []Decision {
	r := c.running[t]
	if r == nil {
		return nil
	}
	left := max(0, r.Cost.Generate-tokens)
	before := r.units()
	r.generate = min(r.generate, model.Cost{Generate: left}.Units())
	c.load -= before - r.units()
	c.hold(r.Workspace, r.units()-before)
	return c.Step(now)
}

// Done ends admitted work or withdraws waiting work. Unknown tickets are
// ignored, so that it may be called twice.
func (c *Controller) Done(now time.Time, t Ticket) []Decision {
	c.queue.remove(t)
	if r := c.running[t]; r != nil {
		if !r.confirmed {
			c.ramp.forget(r)
		}
		c.load -= r.units()
		c.hold(r.Workspace, -r.units())
		delete(c.running, t)
	}
	return c.Step(now)
}

// MarkCold notes evidence that the endpoint is cold: a shorter uptime or a dropped
// cache in a report, or a refused connection.
func (c *Controller) MarkCold() { c.ramp.cold() }

// Step applies the passage of time and admits waiting work that fits.
func (c *Controller) Step(now time.Time) []Decision {
	c.noteLate(now)
	var out []Decision
	if r := c.gate.refusal(); r != nil && !c.off.Gate {
		for _, it := range c.queue.clear() {
			out = append(out, Decision{Ticket: it.Ticket, Refusal: c.complete(r, it.Work), QueueTime: now.Sub(it.since)})
		}
		return out
	}
	for _, it := range c.queue.expire(now) {
		out = append(out, Decision{Ticket: it.Ticket, Refusal: c.overloaded(now, it.Work), QueueTime: now.Sub(it.since)})
	}
	for {
		it, ok := c.queue.next(func(w Work) verdict { return c.fits(now, w) })
		if !ok {
			return out
		}
		c.admit(now, it.Work)
		out = append(out, Decision{Ticket: it.Ticket, QueueTime: now.Sub(it.since)})
	}
}

func (c *Controller) admit(now time.Time, w Work) {
	r := &running{Work: w, generate: w.Cost.Units() - w.Cost.Prefill, admitted: now}
	c.running[w.Ticket] = r
	c.load += r.units()
	c.hold(w.Workspace, r.units())
	c.ramp.add(r)
	c.verify(now)
}

func (c *Controller) hold(w model.Workspace, units int64) {
	c.holding[w] += units
	if c.holding[w] <= 0 {
		delete(c.holding, w)
	}
}

// late reports whether r is without its first token beyond the warm time.
func (c *Controller) late(r *running, now time.Time) bool {
	return c.limits.WarmTime > 0 && now.Sub(r.admitted) > c.limits.WarmTime
}

// noteLate finds work whose first token is overdue, without waiting for it.
func (c *Controller) noteLate(now time.Time) {
	if c.ramp.count == 0 {
		return
	}
	for _, r := range c.running {
		if !r.confirmed && !r.late && c.late(r, now) {
			r.late = true
			c.ramp.slow()
		}
	}
}

// verify recounts what the limits are about after an admission.
func (c *Controller) verify(now time.Time) {
	if c.off.Checks {
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
	invariant.Check(invariant.ColdLimit, c.limits.ColdLimit == 0 || count == 1 || unconfirmed <= c.limits.ColdLimit && count <= c.ramp.window,
		"%d requests with %d units are unconfirmed, limits are %d and %d", count, unconfirmed, c.ramp.window, c.limits.ColdLimit)
	invariant.Check(invariant.DataCentreOut, !c.gate.DataCentreOut, "work was admitted in a data centre that is out")
	invariant.Check(invariant.LeavingNoWork, !c.gate.Leaving && !c.gate.Draining, "work was admitted by an endpoint that leaves")
}
