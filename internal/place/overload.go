package place

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// statedWaitingLifetime is how long a stated number of waiting requests is used. A
	// queue of an overloaded engine lasts longer than that.
	statedWaitingLifetime = time.Second
	// maxStatedRatio bounds the load of one endpoint over its slots, so that one false
	// statement does not decide for the pool.
	maxStatedRatio = 2
	// maxStatedSlots bounds the slots that an endpoint states, for the same reason. It
	// applies where the instance list gives none.
	maxStatedSlots = 1024
)

// PoolLoad is the load of the endpoints of a pool that can take requests.
type PoolLoad struct {
	Slots   float64 // requests that they run at once; 0 if unknown
	Taken   float64 // requests in flight there, running or waiting
	Waiting float64 // requests that wait there for a slot
	Stated  bool    // endpoints of the pool state their loads
}

// takesRequests reports whether an endpoint can take requests of this router, apart from
// how loaded it is.
func (t *Table) takesRequests(now time.Time, s *endpointState) bool {
	return !t.evacuated[s.DataCentre] && !s.health.down && !now.Before(s.turnedAwayUntil)
}

// slots returns the requests that an endpoint runs at once; 0 if unknown.
func (s *endpointState) slots() int {
	if s.Slots == 0 && s.lastStated.Known {
		return min(max(s.lastStated.Slots, 0), maxStatedSlots)
	}
	return s.Slots
}

// SlotsByDataCentre returns the slots of the endpoints of a pool that can take requests.
func (t *Table) SlotsByDataCentre(now time.Time, pool model.Pool) map[model.DataCentre]float64 {
	out := map[model.DataCentre]float64{}
	for _, s := range t.usable(pool) {
		if t.takesRequests(now, s) {
			out[s.DataCentre] += float64(s.slots())
		}
	}
	return out
}

// LivePeerCount returns the number of live peers.
func (t *Table) LivePeerCount(now time.Time) int {
	n, lifetime := 0, t.peerLifetime()
	for _, p := range t.peers {
		if now.Sub(p.lastSeen) <= lifetime {
			n++
		}
	}
	return n
}

// PoolLoad returns the load of a pool over all routers, as far as it is known.
func (t *Table) PoolLoad(now time.Time, pool model.Pool) PoolLoad {
	t.expirePeers(now)
	var out PoolLoad
	for _, s := range t.usable(pool) {
		slots := float64(s.slots())
		if slots <= 0 || !t.takesRequests(now, s) {
			continue
		}
		out.Stated = out.Stated || s.lastStated.Known
		taken := min(t.load(now, s), maxStatedRatio*slots)
		out.Slots += slots
		out.Taken += taken
		if s.lastStated.Known && now.Sub(s.lastStatedAt) < statedWaitingLifetime {
			out.Waiting += min(max(0, float64(s.lastStated.Waiting)), slots)
		} else {
			out.Waiting += max(0, taken-slots)
		}
	}
	return out
}
