package limit

import (
	"maps"
	"math"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// useWindow is the time constant of the decaying use that sizes a lease.
	useWindow = time.Second
	// leaseTTL is the time after which the unused units of a lease expire. They
	// are not returned to the home entry: a lost or duplicated message could then
	// create units, while expiry only wastes about a second of one entry's use.
	leaseTTL = 2 * time.Second
	// maxLeases bounds the active workspaces of an entry. From this number of
	// leases on, those of idle workspaces are dropped before another is added.
	maxLeases = 16_000
)

// Leases holds the cost units that one entry has borrowed, by workspace. It
// belongs to the control goroutine.
type Leases struct {
	items   map[model.Workspace]*lease
	expires bool // unused units expire; tests switch it off
}

type lease struct {
	units     int64
	expiresAt time.Time
	use       float64 // decaying count of units used, about one useWindow of use
	usedAt    time.Time
	lastCost  int64   // cost of the last request
	local     *bucket // share of the limit while the home entry is unreachable
}

// NewLeases returns an empty table.
func NewLeases() *Leases { return &Leases{items: map[model.Workspace]*lease{}, expires: true} }

// Spend records the use of cost units and takes them from the lease of ws. It
// reports false and takes nothing if the lease holds fewer units.
func (t *Leases) Spend(now time.Time, ws model.Workspace, cost int64) bool {
	l := t.lease(now, ws)
	l.recordUse(now, cost)
	return l.spend(now, cost, t.expires)
}

// SpendAfterBorrow is like Spend, for a request whose use has already been recorded.
func (t *Leases) SpendAfterBorrow(now time.Time, ws model.Workspace, cost int64) bool {
	return t.lease(now, ws).spend(now, cost, t.expires)
}

func (t *Leases) lease(now time.Time, ws model.Workspace) *lease {
	l := t.items[ws]
	if l == nil {
		if len(t.items) >= maxLeases {
			t.Sweep(now)
		}
		l = &lease{usedAt: now}
		t.items[ws] = l
	}
	return l
}

func (l *lease) recordUse(now time.Time, cost int64) {
	l.use = l.recentUse(now) + float64(cost)
	l.usedAt, l.lastCost = now, cost
}

func (l *lease) recentUse(now time.Time) float64 {
	return l.use * math.Exp(-now.Sub(l.usedAt).Seconds()/useWindow.Seconds())
}

func (l *lease) spend(now time.Time, cost int64, expires bool) bool {
	if expires && !now.Before(l.expiresAt) {
		l.units = 0
	}
	if l.units < cost {
		return false
	}
	l.units -= cost
	return true
}

// BorrowAmount returns how many units to borrow for a request of the given
// cost: the cost or a second of recent use, whichever is larger, less the units
// of the lease that have not expired.
func (t *Leases) BorrowAmount(now time.Time, ws model.Workspace, cost int64) int64 {
	l := t.lease(now, ws)
	return max(cost, int64(l.recentUse(now))) - l.unexpired(now, t.expires)
}

// Refills returns the workspaces whose lease runs low and how much to borrow
// for each, so that one call serves all of them. A lease is refilled to a second
// of recent use, or to the cost of the last request if that is more. Workspaces
// whose recent use is below a quarter of that cost, and those for which include
// returns false, are left out.
func (t *Leases) Refills(now time.Time, include func(model.Workspace) bool) map[model.Workspace]int64 {
	out := map[model.Workspace]int64{}
	for ws, l := range t.items {
		recent := int64(l.recentUse(now))
		want := max(recent, l.lastCost)
		available := l.unexpired(now, t.expires)
		if recent >= l.lastCost/4 && available < want && include(ws) {
			out[ws] = want - available
		}
	}
	return out
}

// unexpired returns the units of the lease that have not expired.
func (l *lease) unexpired(now time.Time, expires bool) int64 {
	if expires && !now.Before(l.expiresAt) {
		return 0
	}
	return l.units
}

// Credit adds borrowed units and renews the lease.
func (t *Leases) Credit(now time.Time, ws model.Workspace, units int64) {
	l := t.lease(now, ws)
	l.units = l.unexpired(now, t.expires) + units
	l.expiresAt = now.Add(leaseTTL)
}

// SpendLocal applies the local share of the limit, limit/entries, while the
// home entry is unreachable. A request larger than the share's burst is granted
// when the bucket is full, so every workspace gets at least one request.
func (t *Leases) SpendLocal(now time.Time, ws model.Workspace, p Plan, entries int, cost int64) Grant {
	n := int64(max(1, entries))
	share := Plan{Rate: max(1, p.Rate/n), Burst: max(1, p.Burst/n)}
	l := t.lease(now, ws)
	if l.local == nil {
		l.local = newBucket(now, share)
	}
	l.local.setPlan(now, share)
	return l.local.take(now, cost, cost)
}

// Sweep drops leases without units and recent use whose local bucket is full.
func (t *Leases) Sweep(now time.Time) {
	maps.DeleteFunc(t.items, func(_ model.Workspace, l *lease) bool {
		return (l.units == 0 || !now.Before(l.expiresAt)) && l.recentUse(now) < 1 && (l.local == nil || l.local.full(now))
	})
}

// Len returns the number of leases.
func (t *Leases) Len() int { return len(t.items) }
