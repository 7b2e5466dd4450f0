package summary

import "maps"

// Latches are the latches of rollouts by name. A higher value is later; they
// merge by maximum, so they never revert, whatever the order of the messages.
type Latches map[string]int64

// Merge merges other into v and reports whether v changed.
func (v Latches) Merge(other Latches) bool {
	changed := false
	for name, value := range other {
		if old, known := v[name]; (!known || value > old) && (known || len(v) < MaxLatches) {
			v[name] = value
			changed = true
		}
	}
	return changed
}

// MaxLatches bounds the rollouts whose verdicts are kept. A pool has one
// rollout at a time, and finished ones leave the configuration.
const MaxLatches = 64

// Clone returns a copy for a message or a snapshot, nil if v is empty.
func (v Latches) Clone() Latches {
	if len(v) == 0 {
		return nil
	}
	return maps.Clone(v)
}
