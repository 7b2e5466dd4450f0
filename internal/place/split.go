package place

import (
	"maps"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Split is the share of the requests of a pool that go to the held version.
type Split struct {
	Share float64   // of the first attempts, from 0 to 1
	Until time.Time // the share is 0 after that, as in a process that was suspended
	// Only says that the other versions get nothing.
	Only bool
}

// SetSplits sets the shares of the held versions. A pool without one sends nothing to its
// held version.
func (t *Table) SetSplits(s map[model.Pool]Split) { t.splits = maps.Clone(s) }

// side returns the endpoints of a pool with those as usable that may get the request of q,
// and whether those of the other versions may take it over.
func (t *Table) side(now time.Time, q Query, members poolEndpoints) (out poolEndpoints, others bool) {
	s, ok := t.splits[q.Pool]
	if !ok || len(members.held) == 0 {
		return members, false
	}
	swapped := poolEndpoints{usable: members.held, held: members.usable}
	switch {
	case s.Only:
		return swapped, false
	case now.Before(s.Until) && len(q.Excluded) == 0 && q.Position > 0 && q.Position < s.Share:
		return swapped, true
	}
	return members, false
}

// HeldVersions returns the versions that SetHeldVersions set. Callers must not modify it.
func (t *Table) HeldVersions() map[model.Pool]model.Version { return t.held }

// HasVersions reports whether a pool has endpoints of its held version, and of others.
func (t *Table) HasVersions(pool model.Pool) (held, others bool) {
	members := t.inPool(pool)
	if len(members.held) > 0 {
		return true, true
	}
	if len(members.usable) == 0 {
		return false, false
	}
	held = members.usable[0].Version == t.held[pool]
	return held, !held
}
