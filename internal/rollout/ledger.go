package rollout

import "maps"

// Bounds on a ledger.
const (
	maxSources = 4096 // endpoints or groups that report to one process
	maxKeys    = 256  // versions and routes of one source
)

// EvidenceTable keeps the latest counts of every source. Counts are totals since the
// source started; when one starts anew, its earlier counts are kept.
type EvidenceTable struct {
	sources map[string]*account
}

type account struct {
	last    Evidence
	earlier Evidence // counts of earlier runs of the source
}

// NewEvidenceTable returns an empty ledger.
func NewEvidenceTable() *EvidenceTable { return &EvidenceTable{sources: map[string]*account{}} }

// Put keeps the total counts of a source. It reports whether they were taken.
func (l *EvidenceTable) Put(source string, total Evidence) bool {
	if len(total) > maxKeys {
		return false
	}
	a := l.sources[source]
	if a == nil {
		if len(l.sources) >= maxSources {
			return false
		}
		a = &account{last: Evidence{}, earlier: Evidence{}}
		l.sources[source] = a
	}
	for k, c := range total {
		if c.Sub(a.last[k]).negative() {
			a.earlier[k] = a.earlier[k].Add(a.last[k])
		}
	}
	a.last = maps.Clone(total)
	return true
}

// Total returns the sum over all sources.
func (l *EvidenceTable) Total() Evidence {
	out := Evidence{}
	for _, a := range l.sources {
		out.Merge(a.earlier)
		out.Merge(a.last)
	}
	return out
}

// Retain drops the evidence of rollouts that are not in names.
func (l *EvidenceTable) Retain(names map[string]bool) {
	drop := func(k Key, _ Counts) bool { return !names[k.Rollout] }
	for source, a := range l.sources {
		maps.DeleteFunc(a.last, drop)
		maps.DeleteFunc(a.earlier, drop)
		if len(a.last)+len(a.earlier) == 0 {
			delete(l.sources, source)
		}
	}
}
