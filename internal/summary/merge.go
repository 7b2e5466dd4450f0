package summary

import "maps"

// Verdicts are the latches of rollouts by name. A higher value is later; they
// merge by maximum, so they never revert, whatever the order of the messages.
type Verdicts map[string]int64

// Join merges other into v and reports whether v changed.
func (v Verdicts) Join(other Verdicts) bool {
	changed := false
	for name, value := range other {
		if old, known := v[name]; (!known || value > old) && (known || len(v) < MaxVerdicts) {
			v[name] = value
			changed = true
		}
	}
	return changed
}

// MaxVerdicts bounds the rollouts whose verdicts are kept. A pool has one
// rollout at a time, and finished ones leave the configuration.
const MaxVerdicts = 64

// Clone returns a copy for a message or a snapshot, nil if v is empty.
func (v Verdicts) Clone() Verdicts {
	if len(v) == 0 {
		return nil
	}
	return maps.Clone(v)
}
