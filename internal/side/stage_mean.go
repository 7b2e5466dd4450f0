package side

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
)

// updateMean keeps the latest mean load of the pool.
type updateMean struct{}

func (updateMean) Name() string { return "fold_mean" }

func (updateMean) Apply(s *State, _ time.Time, ev control.Event) bool {
	received, ok := ev.(meanReceived)
	if !ok || received.mean.MeasuredAt.Before(s.Mean.MeasuredAt) {
		return false
	}
	s.Mean = received.mean
	return true
}
