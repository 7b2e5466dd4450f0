package side

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/member"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/replay"
	"github.com/goldcrestturn/goldcrestturn/internal/rollout"
	"github.com/goldcrestturn/goldcrestturn/internal/timing"
)

// State is the control state of a side process. Only its control loop touches
// it.
type State struct {
	Config   *config.Accepted
	Follower *config.Follower // gives Config
	Load     int64            // cost units of the running and the waiting work; the pool mean is taken from it
	Mean     MeanLoad         // last known mean load of the pool
	Members  *member.Table
	orderState
	exchangeState
	rolloutState
	times timing.Sums // not reported yet
	admissionState
	Claims   claimState
	Replay   *replay.Index
	refusals *replay.RefusedSet
	Draining model.Reason // why no new work is taken; empty if it is taken
	drainEnd []waitIdle
	services map[model.InstanceID]struct{} // live service instances, which share the append budget
}

// MeanLoad is the mean load of the pool's endpoints as the summary holders
// know it.
type MeanLoad struct {
	PerEndpoint float64   // cost units
	Endpoints   int       // endpoints that reported; 0 if the mean is not known
	MeasuredAt  time.Time // on this process's clock, its age in the message taken off
}

// Snapshot is the published view of the state. Nobody changes it.
type Snapshot struct {
	At      time.Time
	Config  *config.Accepted
	View    config.View // answers peers
	Load    int64
	Running int
	// MinOrderFence is the lowest fence that an order to the engine may have.
	MinOrderFence int64
	Mean          MeanLoad
	Peers         *member.Peers // processes of the region in the control exchange
	exchangeView
	Versions rollout.Selector
	Draining model.Reason
}

// Events of the side's control pipeline.
type (
	// meanReceived carries a new pool mean from a summary holder.
	meanReceived struct{ mean MeanLoad }
	// listChanged carries changes of the platform's instance list.
	listChanged struct{ changes instances.Changes }
)

func (meanReceived) EventName() string { return "mean_received" }
func (listChanged) EventName() string  { return "list_changed" }

func newState(settings Settings) *State {
	f := config.NewFollower()
	return &State{
		Config: f.Accepted, Follower: f, admissionState: newAdmissionState(),
		Members: member.NewTable(), orderState: newOrderState(settings), exchangeState: newExchangeState(),
		rolloutState: rolloutState{evidence: rollout.Evidence{}}, times: timing.Sums{},
		Claims: newClaimState(), services: map[model.InstanceID]struct{}{},
		refusals: replay.NewRefusedSet(),
		Replay: replay.NewIndex(replay.Limits{
			AnswerBytes: defaultKeepAnswer, TotalBytes: defaultKeepTotal, Retention: defaultKeepTime, Grace: defaultGraceTime,
		}),
	}
}

func publish(s *State, now time.Time) *Snapshot {
	return &Snapshot{
		At: now, Config: s.Config, View: s.Follower.View(), Load: s.Load, Running: s.Admission.Running(),
		Mean: s.Mean, Peers: s.peers, MinOrderFence: s.Orders.MinFence(), exchangeView: s.view(), Versions: s.versions.Selector,
		Draining: s.Draining,
	}
}
