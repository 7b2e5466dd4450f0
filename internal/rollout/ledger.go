package rollout

import "maps"

// Bounds of an evidence table.
const (
	maxSources = 4096 // endpoints or groups that report to one process
	maxKeys    = 256  // versions and routes of one source
)

// EvidenceTable holds the latest counts of every source. Counts are totals since
// the source started; when a source restarts, its previous counts are kept.
type EvidenceTable struct {
	sources map[string]*sourceEvidence
}

type sourceEvidence struct {
	current      Evidence
	previousRuns Evidence // counts from before restarts of the source
}

// NewEvidenceTable returns an empty table.
func NewEvidenceTable() *EvidenceTable { return &EvidenceTable{sources: map[string]*sourceEvidence{}} }

// Put stores the total counts of a source. It reports false if they exceed the
// bounds of the table.
func (t *EvidenceTable) Put(source string, total Evidence) bool {
	if len(total) > maxKeys {
		return false
	}
	s := t.sources[source]
	if s == nil {
		if len(t.sources) >= maxSources {
			return false
		}
		s = &sourceEvidence{current: Evidence{}, previousRuns: Evidence{}}
		t.sources[source] = s
	}
	for k, c := range total {
		if c.Sub(s.current[k]).negative() {
			s.previousRuns[k] = s.previousRuns[k].Add(s.current[k])
		}
	}
	s.current = maps.Clone(total)
	return true
}

// Total returns the sum over all sources.
func (t *EvidenceTable) Total() Evidence {
	out := Evidence{}
	for _, s := range t.sources {
		out.Merge(s.previousRuns)
		out.Merge(s.current)
	}
	return out
}

// Retain drops the evidence of all rollouts that are not in names.
func (t *EvidenceTable) Retain(names map[string]bool) {
	drop := func(k Key, _ Counts) bool { return !names[k.Rollout] }
	for source, s := range t.sources {
		maps.DeleteFunc(s.current, drop)
		maps.DeleteFunc(s.previousRuns, drop)
		if len(s.current)+len(s.previousRuns) == 0 {
			delete(t.sources, source)
		}
	}
}
