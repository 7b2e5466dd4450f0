package place

import "time"

// window counts events in a sliding second.
type window struct{ times []time.Time }

const windowLength = time.Second

func (w *window) count(now time.Time) int {
	i := 0
	for i < len(w.times) && now.Sub(w.times[i]) > windowLength {
		i++
	}
	w.times = append(w.times[:0], w.times[i:]...)
	return len(w.times)
}

func (w *window) add(now time.Time) { w.times = append(w.times, now) }

// coldShare is the part of an endpoint's cold rate that all entries together
// use. The rest covers entries that start while the endpoint is cold and have
// not been heard yet.
const coldShare = 0.9

// coldAllows reports whether this entry may send one more request to s now. The
// entries share the rate that a cold endpoint tolerates without talking to each
// other; an entry that does not hear the others assumes as many as it last heard.
func (t *Table) coldAllows(now time.Time, s *spot) bool {
	if !now.Before(s.coldUntil) {
		return true
	}
	rate := t.pools[s.Pool].ColdRate
	if rate <= 0 {
		return true
	}
	share := rate * coldShare
	if limit := int(share / float64(t.Entries(now))); limit >= 1 {
		return s.starts.count(now) < limit
	}
	// With more entries than requests a second, one each would be too many: the
	// first ones of the endpoint's order send, one request a second each.
	return t.rank(s.hash) < max(1, int(share)) && s.starts.count(now) < 1
}

// rank returns the place of this entry in the order of all entries for an
// endpoint, 0 first. Entries that know the same ones agree on it.
func (t *Table) rank(endpoint uint32) int {
	own := order(t.self, endpoint)
	before := 0
	for _, p := range t.peers {
		if order(p.id, endpoint) > own {
			before++
		}
	}
	for name, id := range t.announced {
		if t.peers[name] == nil && order(id, endpoint) > own {
			before++
		}
	}
	return before
}
