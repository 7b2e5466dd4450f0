package limit

import (
	"maps"
	"time"

	"golang.org/x/time/rate"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
)

// Plan is the limit of one workspace.
type Plan struct {
	Rate  int64 // cost units a second; 0 means no limit
	Burst int64 // cost units that may be used at once
}

// HomeOf returns the entries of a region in the order in which they are home of
// a workspace.
func HomeOf(ws model.Workspace, entries []model.InstanceID) model.InstanceID {
	if first := summary.Rendezvous("home\x00"+string(ws), entries, 1); len(first) > 0 {
		return first[0]
	}
	return ""
}

// maxBuckets bounds the table of a home: all workspaces of the target size, in
// case one entry is left.
const maxBuckets = 16_000

// Home keeps the buckets of the workspaces whose home this entry is. It belongs
// to the control goroutine.
type Home struct{ buckets map[model.Workspace]*bucket }

// NewHome returns a home without buckets.
func NewHome() *Home { return &Home{buckets: map[model.Workspace]*bucket{}} }

// Grant is the answer to a wish.
type Grant struct {
	Units      int64
	RetryAfter time.Duration // when the wish may be granted, if Units is 0
}

// Borrow grants up to want units of a workspace, and at least need or nothing.
func (h *Home) Borrow(now time.Time, ws model.Workspace, p Plan, want, need int64) Grant {
	b := h.buckets[ws]
	if b == nil {
		if len(h.buckets) >= maxBuckets {
			h.Sweep(now)
		}
		b = newBucket(now, p)
		h.buckets[ws] = b
	}
	b.set(now, p)
	return b.take(now, max(want, need), need)
}

// Sweep drops full buckets: a new one is full too, so they hold no information.
func (h *Home) Sweep(now time.Time) {
	maps.DeleteFunc(h.buckets, func(_ model.Workspace, b *bucket) bool { return b.full(now) })
}

// Len returns the number of buckets.
func (h *Home) Len() int { return len(h.buckets) }

// bucket is a rate limiter that may go into debt for one request whose cost
// exceeds the burst; otherwise such a request would never run.
type bucket struct {
	plan    Plan
	limiter *rate.Limiter
}

func newBucket(now time.Time, p Plan) *bucket {
	b := &bucket{plan: p, limiter: rate.NewLimiter(rate.Limit(p.Rate), int(max(1, p.Burst)))}
	b.limiter.AllowN(now, 0) // sets the time from which the bucket fills
	return b
}

// set changes the plan. The units used so far stay used.
func (b *bucket) set(now time.Time, p Plan) {
	if b.plan != p {
		b.plan = p
		b.limiter.SetLimitAt(now, rate.Limit(p.Rate))
		b.limiter.SetBurstAt(now, int(max(1, p.Burst)))
	}
}

func (b *bucket) full(now time.Time) bool {
	return b.limiter.TokensAt(now) >= float64(b.limiter.Burst())
}

// take takes up to want units, at least need, or nothing.
func (b *bucket) take(now time.Time, want, need int64) Grant {
	burst := int64(b.limiter.Burst())
	have := int64(b.limiter.TokensAt(now))
	if floor := min(need, burst); have < floor {
		return Grant{RetryAfter: b.wait(floor - have)}
	}
	units := max(need, min(want, have))
	for left := units; left > 0; left -= min(left, burst) {
		b.limiter.ReserveN(now, int(min(left, burst)))
	}
	return Grant{Units: units}
}

func (b *bucket) wait(units int64) time.Duration {
	if b.plan.Rate <= 0 {
		return time.Minute
	}
	return time.Duration(float64(units) / float64(b.plan.Rate) * float64(time.Second))
}
