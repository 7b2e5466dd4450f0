package admit

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Base times to wait after a refusal. The jitter spreads them by half to both
// sides, so that callers refused together do not return together.
const (
	retryOverloaded = time.Second     // a new mean arrives about once a second
	retryCold       = 2 * time.Second // a few requests have to be confirmed first
	retryGone       = time.Second     // another endpoint takes the request
)

// complete adds load ratio and retry time to r.
func (c *Controller) complete(r *model.Refusal, w Work) *model.Refusal {
	r.LoadRatio = c.LoadRatio()
	base := retryGone
	switch r.Reason {
	case model.ReasonOverloaded:
		base = retryOverloaded
	case model.ReasonCold:
		base = retryCold
	}
	if w.Priority < c.queue.topPriority() {
		base *= 2 // lower plans make room for higher ones first
	}
	r.RetryAfter = time.Duration((0.5 + c.rand()) * float64(base))
	return r
}

// full is the refusal of work that a full queue dropped.
func (c *Controller) full(w Work) *model.Refusal {
	if c.ramp.isCold() {
		return c.complete(model.Refuse(model.ReasonCold, "the endpoint is cold and its queue is full"), w)
	}
	return c.complete(model.Refuse(model.ReasonOverloaded, "the queue of the endpoint is full"), w)
}

// overloaded is the refusal of work that waited in vain.
func (c *Controller) overloaded(now time.Time, w Work) *model.Refusal {
	if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
		return model.Refuse(model.ReasonDeadline, "the deadline passed while the request waited")
	}
	if !c.ramp.fits(w.Cost.Units()) {
		return c.complete(model.Refuse(model.ReasonCold, "the endpoint has as much unconfirmed work as a cold one bears"), w)
	}
	if c.limits.Slots > 0 && len(c.running) >= c.limits.Slots {
		return c.complete(model.Refuse(model.ReasonOverloaded, "all slots are in use"), w)
	}
	return c.complete(model.Refuse(model.ReasonOverloaded, "the load is at its bound over the mean of the pool"), w)
}

// topPriority returns the highest priority that waits, or the lowest number if
// nothing does.
func (q *queue) topPriority() int {
	if len(q.items) == 0 {
		return -1 << 31
	}
	return q.items[0].Priority
}
