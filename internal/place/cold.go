package place

import "time"

// slidingWindow counts the events of the last windowLength.
type slidingWindow struct{ times []time.Time }

const windowLength = time.Second

// count removes the expired events and returns the number of the others.
func (w *slidingWindow) count(now time.Time) int {
	i := 0
	for i < len(w.times) && now.Sub(w.times[i]) > windowLength {
		i++
	}
	w.times = append(w.times[:0], w.times[i:]...)
	return len(w.times)
}

func (w *slidingWindow) add(now time.Time) { w.times = append(w.times, now) }

// coldRateShare is the share of the cold rate of an endpoint (catalog.Pool.ColdRate)
// that all routers together use. The rest covers routers that start while the
// endpoint is cold and that this router does not know yet.
const coldRateShare = 0.9

// coldLimitAllows reports whether this router may send one more request to s
// now. The routers divide the rate that a cold endpoint tolerates by their number
// without coordination. A router that receives nothing from its peers assumes as
// many routers as it last knew.
func (t *Table) coldLimitAllows(now time.Time, s *endpointState) bool {
	if !now.Before(s.coldUntil) {
		return true
	}
	rate := t.pools[s.Pool].ColdRate
	if rate <= 0 {
		return true
	}
	share := rate * coldRateShare
	if limit := int(share / float64(t.Routers(now))); limit >= 1 {
		return s.coldStarts.count(now) < limit
	}
	// With more routers than requests a second, one request from each would be too
	// many. Only the first routers in the rendezvous order for the endpoint send one
	// request a second each.
	return t.rank(s.hash) < max(1, int(share)) && s.coldStarts.count(now) < 1
}

// rank returns the position of this router, from 0, in the rendezvous order of
// all routers for an endpoint. Routers that know the same set of routers compute
// the same order.
func (t *Table) rank(endpoint uint32) int {
	own := rendezvousScore(t.selfID, endpoint)
	before := 0
	for _, p := range t.peers {
		if rendezvousScore(p.id, endpoint) > own {
			before++
		}
	}
	for name, id := range t.announced {
		if t.peers[name] == nil && rendezvousScore(id, endpoint) > own {
			before++
		}
	}
	return before
}
