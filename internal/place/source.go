package place

import (
	"slices"
	"time"
)

// cacheSource returns the address of an endpoint from which target can transfer
// the cache of the part. It returns "" if target is a holder itself or no source is
// known. It prefers usable endpoints, and among them those in the data centre of
// target. Those in others are sources only if across is set.
func (t *Table) cacheSource(now time.Time, part uint64, target *endpointState, all []candidate, across bool) string {
	holders := t.holders.lookup(part)
	if slices.Contains(holders, target.hash) {
		return ""
	}
	best, from := -1, ""
	for _, c := range all {
		if !slices.Contains(holders, c.hash) || c.health.down || !across && c.DataCentre != target.DataCentre {
			continue
		}
		rank := 0
		if c.DataCentre == target.DataCentre {
			rank = 1
		}
		if rank > best {
			best, from = rank, c.Address
		}
	}
	if from == "" {
		from = t.leavingSource(now, target, holders, across)
	}
	return from
}

// removedCacheTime is how long the cache of an endpoint that is missing from the
// list may still be transferred. The process keeps serving for a while after its
// record is removed.
const removedCacheTime = 2500 * time.Millisecond

// leavingSource returns the address of a holder that gets no new requests but may
// still serve its cache: one that is listed, such as a draining endpoint, or one that
// left the list at most removedCacheTime ago. Of several that left, it returns the
// last.
func (t *Table) leavingSource(now time.Time, target *endpointState, holders []uint32, across bool) string {
	var best *endpointState
	for _, h := range holders {
		s := t.byHash[h]
		if s == nil || !across && s.DataCentre != target.DataCentre || s.health.down || now.Before(s.turnedAwayUntil) || !s.listed && now.Sub(s.missingSince) > removedCacheTime {
			continue
		}
		if best == nil || s.listed && !best.listed || s.missingSince.After(best.missingSince) {
			best = s
		}
	}
	if best == nil {
		return ""
	}
	return best.Address
}
