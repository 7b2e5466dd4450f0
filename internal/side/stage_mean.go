package side

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
)

// foldMean keeps the newest mean load of the pool.
type foldMean struct{}

func (foldMean) Name() string { return "fold_mean" }

func (foldMean) Apply(s *State, _ time.Time, ev control.Event) bool {
	m, ok := ev.(meanReceived)
	if !ok || m.mean.MeasuredAt.Before(s.Mean.MeasuredAt) {
		return false
	}
	s.Mean = m.mean
	return true
}
