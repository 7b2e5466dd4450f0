package place

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// SlotEndpoint is an endpoint of a pool of which the slots are known.
type SlotEndpoint struct {
	ID      model.EndpointID
	Hash    uint32
	Slots   int
	Backoff bool // this router sends requests elsewhere for now
}

// Slots returns the endpoints of a pool that take requests, their slots, and the requests
// of all routers that they have. It returns no endpoint for a pool of engines, which state
// their load, or if the slots of one are not known.
func (t *Table) Slots(now time.Time, pool model.Pool) (endpoints []SlotEndpoint, slots int, load float64) {
	if t.pools[pool].Engine {
		return nil, 0, 0
	}
	for _, s := range t.usable(pool) {
		if s.Slots <= 0 {
			return nil, 0, 0
		}
		if t.evacuated[s.DataCentre] || s.health.down {
			continue
		}
		endpoints = append(endpoints, SlotEndpoint{s.ID, s.hash, s.Slots, s.health.inBackoff(now) || now.Before(s.turnedAwayUntil)})
		slots += s.Slots
		load += t.load(now, s)
	}
	return endpoints, slots, load
}

// First returns the name of the router, of this one and the live peers, that comes first in
// the rendezvous order for a key, and the rank of this one among all routers.
func (t *Table) First(now time.Time, key uint32, self model.InstanceID) (first model.InstanceID, rank int) {
	first = self
	top := rendezvousScore(t.selfID, key)
	for name, p := range t.peers {
		if score := rendezvousScore(p.id, key); score > top && now.Sub(p.lastSeen) <= t.peerLifetime() {
			first, top = model.InstanceID(name), score
		}
	}
	return first, t.rank(key)
}
