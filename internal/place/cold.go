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
	limit := max(1, int(rate*coldShare/float64(t.Entries(now))))
	return s.starts.count(now) < limit
}
