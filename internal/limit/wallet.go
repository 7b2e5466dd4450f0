package limit

import (
	"maps"
	"math"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// useWindow is the time constant of the recent use that sizes a batch.
	useWindow = time.Second
	// lapseTime is the time after which unused units of a batch are dropped.
	// They are not returned: a lost or repeated message could then create
	// units, while a lapse only wastes about a second of one entry's use.
	lapseTime = 2 * time.Second
	// maxWallets bounds the active workspaces of an entry.
	maxWallets = 16_000
)

// Leases keeps the borrowed batches of one entry. It belongs to the control
// goroutine.
type Leases struct {
	items  map[model.Workspace]*wallet
	lapses bool // unused units lapse; tests switch it off
}

type wallet struct {
	units int64
	until time.Time // when units lapse
	use   float64   // decaying count of units used, about one useWindow of use
	seen  time.Time
	last  int64   // cost of the last request
	local *bucket // share of the limit while the home cannot be reached
}

// NewLeases returns an empty table.
func NewLeases() *Leases { return &Leases{items: map[model.Workspace]*wallet{}, lapses: true} }

// Spend takes cost units from the batch of ws and reports whether it held them.
func (w *Leases) Spend(now time.Time, ws model.Workspace, cost int64) bool {
	it := w.wallet(now, ws)
	it.note(now, cost)
	return it.spend(now, cost, w.lapses)
}

// SpendRetry is Spend for a request whose use was noted before.
func (w *Leases) SpendRetry(now time.Time, ws model.Workspace, cost int64) bool {
	return w.wallet(now, ws).spend(now, cost, w.lapses)
}

func (w *Leases) wallet(now time.Time, ws model.Workspace) *wallet {
	it := w.items[ws]
	if it == nil {
		if len(w.items) >= maxWallets {
			w.Sweep(now)
		}
		it = &wallet{seen: now}
		w.items[ws] = it
	}
	return it
}

func (it *wallet) note(now time.Time, cost int64) {
	it.use = it.recent(now) + float64(cost)
	it.seen, it.last = now, cost
}

func (it *wallet) recent(now time.Time) float64 {
	return it.use * math.Exp(-now.Sub(it.seen).Seconds()/useWindow.Seconds())
}

func (it *wallet) spend(now time.Time, cost int64, lapses bool) bool {
	if lapses && !now.Before(it.until) {
		it.units = 0
	}
	if it.units < cost {
		return false
	}
	it.units -= cost
	return true
}

// BorrowAmount returns how many units to borrow for a request of the given cost: its
// cost or a second of recent use.
func (w *Leases) BorrowAmount(now time.Time, ws model.Workspace, cost int64) int64 {
	it := w.wallet(now, ws)
	return max(cost, int64(it.recent(now))) - it.held(now, w.lapses)
}

// Refills returns the workspaces whose batch runs low and how much to borrow for
// each, so that one call serves all of them: a second of recent use, at least
// one request like the last one. Workspaces without recent use are left out.
func (w *Leases) Refills(now time.Time, of func(model.Workspace) bool) map[model.Workspace]int64 {
	out := map[model.Workspace]int64{}
	for ws, it := range w.items {
		recent := int64(it.recent(now))
		want := max(recent, it.last)
		held := it.held(now, w.lapses)
		if recent >= it.last/4 && held < want && of(ws) {
			out[ws] = want - held
		}
	}
	return out
}

func (it *wallet) held(now time.Time, lapses bool) int64 {
	if lapses && !now.Before(it.until) {
		return 0
	}
	return it.units
}

// Credit adds a borrowed batch.
func (w *Leases) Credit(now time.Time, ws model.Workspace, units int64) {
	it := w.wallet(now, ws)
	it.units = it.held(now, w.lapses) + units
	it.until = now.Add(lapseTime)
}

// SpendLocal decides by the local share limit/entries while the home cannot be
// reached. A request larger than the share's burst passes when the share is
// full, so every workspace gets at least one request.
func (w *Leases) SpendLocal(now time.Time, ws model.Workspace, p Plan, entries int, cost int64) Grant {
	n := int64(max(1, entries))
	share := Plan{Rate: max(1, p.Rate/n), Burst: max(1, p.Burst/n)}
	it := w.wallet(now, ws)
	if it.local == nil {
		it.local = newBucket(now, share)
	}
	it.local.set(now, share)
	return it.local.take(now, cost, cost)
}

// Sweep drops wallets that hold nothing.
func (w *Leases) Sweep(now time.Time) {
	maps.DeleteFunc(w.items, func(_ model.Workspace, it *wallet) bool {
		return (it.units == 0 || !now.Before(it.until)) && it.recent(now) < 1 && (it.local == nil || it.local.full(now))
	})
}

// Len returns the number of wallets.
func (w *Leases) Len() int { return len(w.items) }
