package admit

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Base retry times of refusals. Jitter of up to 50 percent in both directions
// keeps callers that were refused together from retrying together.
const (
	retryOverloaded = time.Second     // a new pool mean arrives about once a second
	retryCold       = 2 * time.Second // a few requests have to be confirmed first
	retryDefault    = time.Second     // another endpoint takes the request
)

// withRetryAfter sets the load ratio and the retry time of r.
func (c *Controller) withRetryAfter(r *model.Refusal, w Work) *model.Refusal {
	r.LoadRatio = c.LoadRatio()
	base := retryDefault
	switch r.Reason {
	case model.ReasonOverloaded:
		base = retryOverloaded
	case model.ReasonCold:
		base = retryCold
	}
	if w.Priority < c.queue.topPriority() {
		base *= 2 // work of a higher priority is admitted first
	}
	r.RetryAfter = time.Duration((0.5 + c.rand()) * float64(base))
	return r
}

// refuseQueueFull returns the refusal of work that a full queue dropped.
func (c *Controller) refuseQueueFull(w Work) *model.Refusal {
	if c.warmup.isCold() {
		return c.withRetryAfter(model.Refuse(model.ReasonCold, "the endpoint is cold and its queue is full"), w)
	}
	return c.withRetryAfter(model.Refuse(model.ReasonOverloaded, "the queue of the endpoint is full"), w)
}

// refuseExpired returns the refusal of work whose time in the queue has ended.
func (c *Controller) refuseExpired(now time.Time, w Work) *model.Refusal {
	if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
		return model.Refuse(model.ReasonDeadline, "the deadline passed while the request waited")
	}
	if !c.warmup.fits(w.Cost.Units()) {
		return c.withRetryAfter(model.Refuse(model.ReasonCold, "the endpoint has as much unconfirmed work as a cold one bears"), w)
	}
	if c.limits.Slots > 0 && len(c.running) >= c.limits.Slots {
		return c.withRetryAfter(model.Refuse(model.ReasonOverloaded, "all slots are in use"), w)
	}
	return c.withRetryAfter(model.Refuse(model.ReasonOverloaded, "the load is at its bound over the mean of the pool"), w)
}

// topPriority returns the highest priority in the queue, or the smallest number
// if the queue is empty.
func (q *queue) topPriority() int {
	if len(q.items) == 0 {
		return -1 << 31
	}
	return q.items[0].Priority
}
