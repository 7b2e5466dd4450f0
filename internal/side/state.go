package side

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/replay"
)

// State is the control state of a side process. Only its control loop touches
// it.
type State struct {
	Config   *config.Accepted
	Running  map[model.RequestID]model.Cost // admitted and not yet finished
	Load     int64                          // cost units of Running
	Mean     PoolMean                       // last known mean load of the pool
	Claims   claimState
	Replay   *replay.Index
	Draining model.Reason // why no new work is taken; empty if it is taken
	drainEnd []waitIdle
	services map[model.InstanceID]struct{} // live service instances, which share the append budget
}

// PoolMean is the mean load of the pool's endpoints as the summary holders
// know it.
type PoolMean struct {
	PerEndpoint float64   // cost units
	Endpoints   int       // endpoints that reported; 0 if the mean is not known
	MeasuredAt  time.Time // on this process's clock, its age in the message taken off
}

// Snapshot is the published view of the state. Nobody changes it.
type Snapshot struct {
	At       time.Time
	Config   *config.Accepted
	Load     int64
	Running  int
	Draining model.Reason
}

// Events of the side's control pipeline.
type (
	// configRecord is one record of the configuration stream.
	configRecord struct {
		offset int64
		record config.Record
	}
	// admitRequest asks for admission. The reply is nil if req may run.
	admitRequest struct {
		control.Question[*model.Refusal]
		req *model.Request
	}
	// meanReceived carries a new pool mean from a summary holder.
	meanReceived struct{ mean PoolMean }
	// workDone ends the work of an admitted request.
	workDone struct{ id model.RequestID }
)

func (configRecord) EventName() string { return "config_record" }
func (admitRequest) EventName() string { return "admit_request" }
func (workDone) EventName() string     { return "work_done" }
func (meanReceived) EventName() string { return "mean_received" }

func newState() *State {
	return &State{
		Config: config.Empty(), Running: map[model.RequestID]model.Cost{}, Claims: newClaimState(),
		services: map[model.InstanceID]struct{}{},
		Replay: replay.NewIndex(replay.Limits{
			AnswerBytes: defaultKeepAnswer, TotalBytes: defaultKeepTotal, Keep: defaultKeepTime, Grace: defaultGraceTime,
		}),
	}
}

func publish(s *State, now time.Time) *Snapshot {
	return &Snapshot{At: now, Config: s.Config, Load: s.Load, Running: len(s.Running), Draining: s.Draining}
}
