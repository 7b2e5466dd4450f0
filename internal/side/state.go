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

// State is the control state of a side. Only its control loop accesses it.
type State struct {
	Config   *config.Accepted
	Follower *config.Follower // source of Config
	Load     int64            // cost units of the requests in flight and in the queue; the pool mean is computed from it
	Mean     MeanLoad         // last known mean load of the pool
	Members  *member.Table
	orderState
	exchangeState
	rolloutState
	times timing.Sums // stage times that are not reported yet
	admissionState
	Claims          claimState
	Replay          *replay.Index
	refusedAttempts *replay.RefusedSet
	Draining        model.Reason // why the side takes no new work; empty if it does
	idleWaiters     []waitIdle
	services        map[model.InstanceID]struct{} // live sides of services, which share the append budget
}

// MeanLoad is the mean load of the pool's endpoints as the aggregators know it.
type MeanLoad struct {
	PerEndpoint float64   // cost units
	Endpoints   int       // endpoints that reported; 0 if the mean is not known
	MeasuredAt  time.Time // by the clock of this process, computed from the age in the message
}

// Snapshot is the published, immutable view of the state.
type Snapshot struct {
	At      time.Time
	Config  *config.Accepted
	View    config.View // for replies to peers
	Load    int64
	Running int
	// MinOrderFence is the lowest fencing number that an order to the engine may have.
	MinOrderFence int64
	Mean          MeanLoad
	Peers         *member.Peers // processes of the region in the control exchange
	exchangeView
	Versions rollout.Selector
	Draining model.Reason
}

// Events of the side's control pipeline.
type (
	// meanReceived carries the mean load of the pool from an aggregator.
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
		refusedAttempts: replay.NewRefusedSet(),
		Replay: replay.NewIndex(replay.Limits{
			AnswerBytes: defaultMaxAnswerBytes, TotalBytes: defaultMaxTotalBytes, Retention: defaultAnswerRetention, Grace: defaultReaderGrace,
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
