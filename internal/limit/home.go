package limit

import (
	"maps"
	"time"

	"golang.org/x/time/rate"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
)

// Plan is the rate limit of one workspace.
type Plan struct {
	Rate  int64 // cost units a second; 0 means no limit
	Burst int64 // capacity of the token bucket in cost units
}

// HomeOf returns the home entry of a workspace, the first of the region's
// entries in rendezvous order, or "" if there are no entries.
func HomeOf(ws model.Workspace, entries []model.InstanceID) model.InstanceID {
	if first := summary.Rendezvous("home\x00"+string(ws), entries, 1); len(first) > 0 {
		return first[0]
	}
	return ""
}

// maxBuckets is the number of buckets from which full ones are dropped before
// another is added. It is the number of workspaces at the target size: if only
// one entry is left, it is the home entry of all of them.
const maxBuckets = 16_000

// Home holds the token buckets of the workspaces whose home entry this process
// is. It belongs to the control goroutine.
type Home struct{ buckets map[model.Workspace]*bucket }

// NewHome returns a Home without buckets.
func NewHome() *Home { return &Home{buckets: map[model.Workspace]*bucket{}} }

// Grant is the reply to a request to borrow units.
type Grant struct {
	Units      int64
	RetryAfter time.Duration // if Units is 0: time after which the units may be available
}

// Borrow grants up to want units of a workspace. It grants at least need units
// or none.
func (h *Home) Borrow(now time.Time, ws model.Workspace, p Plan, want, need int64) Grant {
	b := h.buckets[ws]
	if b == nil {
		if len(h.buckets) >= maxBuckets {
			h.Sweep(now)
		}
		b = newBucket(now, p)
		h.buckets[ws] = b
	}
	b.setPlan(now, p)
	return b.take(now, max(want, need), need)
}

// Sweep drops full buckets, which are equivalent to new ones.
func (h *Home) Sweep(now time.Time) {
	maps.DeleteFunc(h.buckets, func(_ model.Workspace, b *bucket) bool { return b.full(now) })
}

// Len returns the number of buckets.
func (h *Home) Len() int { return len(h.buckets) }

// bucket is a token bucket that may go into debt for one request whose cost
// exceeds the burst, since such a request could never run otherwise.
type bucket struct {
	plan    Plan
	limiter *rate.Limiter
}

func newBucket(now time.Time, p Plan) *bucket {
	b := &bucket{plan: p, limiter: rate.NewLimiter(rate.Limit(p.Rate), int(max(1, p.Burst)))}
	b.limiter.AllowN(now, 0) // sets the time from which the bucket refills
	return b
}

// setPlan changes rate and burst. Units that are already spent stay spent.
func (b *bucket) setPlan(now time.Time, p Plan) {
	if b.plan != p {
		b.plan = p
		b.limiter.SetLimitAt(now, rate.Limit(p.Rate))
		b.limiter.SetBurstAt(now, int(max(1, p.Burst)))
	}
}

func (b *bucket) full(now time.Time) bool {
	return b.limiter.TokensAt(now) >= float64(b.limiter.Burst())
}

// take takes up to want units. It takes at least need units or none.
func (b *bucket) take(now time.Time, want, need int64) Grant {
	burst := int64(b.limiter.Burst())
	available := int64(b.limiter.TokensAt(now))
	if minimum := min(need, burst); available < minimum {
		return Grant{RetryAfter: b.wait(minimum - available)}
	}
	units := max(need, min(want, available))
	for remaining := units; remaining > 0; remaining -= min(remaining, burst) {
		b.limiter.ReserveN(now, int(min(remaining, burst)))
	}
	return Grant{Units: units}
}

func (b *bucket) wait(units int64) time.Duration {
	if b.plan.Rate <= 0 {
		return time.Minute
	}
	return time.Duration(float64(units) / float64(b.plan.Rate) * float64(time.Second))
}
