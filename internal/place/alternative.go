package place

import "time"

// HasAlternative reports whether another endpoint than the excluded ones may take the
// request within the load bound and has a free slot, as far as its slots are known. One
// without would refuse the request or let it wait behind all others.
func (t *Table) HasAlternative(now time.Time, q Query) bool {
	_, eligible, mean := t.candidates(now, q)
	for _, c := range eligible {
		if c.load+1 <= loadLimit(mean) && (c.Slots == 0 || c.load+1 <= float64(c.Slots)) {
			return true
		}
	}
	return false
}
