package summary

import "maps"

// Latches holds the latches of rollouts by name. A higher value supersedes a lower
// one: latches are merged by maximum, so they never revert, in whatever order
// messages arrive.
type Latches map[string]int64

// Merge merges other into l and reports whether l changed.
func (l Latches) Merge(other Latches) bool {
	changed := false
	for name, value := range other {
		if old, known := l[name]; (!known || value > old) && (known || len(l) < MaxLatches) {
			l[name] = value
			changed = true
		}
	}
	return changed
}

// MaxLatches bounds the number of latches. A pool has one rollout at a time, and
// finished ones are removed from the configuration.
const MaxLatches = 64

// Clone returns a copy for a message or a snapshot, nil if l is empty.
func (l Latches) Clone() Latches {
	if len(l) == 0 {
		return nil
	}
	return maps.Clone(l)
}
