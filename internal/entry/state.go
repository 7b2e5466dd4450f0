package entry

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/choose"
	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/member"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/rollout"
)

// State is the control state of an entry. Only its control loop accesses it.
type State struct {
	Config       *config.Accepted
	Follower     *config.Follower // source of Config
	Members      *member.Table
	Keys         map[string]model.Workspace                 // by hash of the API key; immutable, replaced as a whole
	Pools        map[model.Pool][]member.Endpoint           // endpoints that take new work; immutable, replaced as a whole
	Entries      []model.InstanceID                         // live entries; immutable, replaced as a whole
	Addresses    map[model.Pool]map[model.EndpointID]string // of all known endpoints; immutable, replaced as a whole
	drain        drainState
	derivedValid bool // Keys and Pools are derived from the present Config and Members
	exchangeState
	rolloutState
	timeState
	routingState
}

// Snapshot is the published, immutable view of the state.
type Snapshot struct {
	At      time.Time
	Config  *config.Accepted
	View    config.View // for replies to peers
	Keys    map[string]model.Workspace
	Entries []model.InstanceID // live entries, this one included
	Pools   map[model.Pool][]member.Endpoint
	Peers   *member.Peers // processes of the region in the control exchange
	exchangeView
	Versions          rollout.Selector
	BusiestWorkspaces map[model.Workspace]bool // have a histogram of their own

	Candidates map[model.Pool]*choose.Pool
	Addresses  map[model.Pool]map[model.EndpointID]string
	Draining   bool // a planned stop has begun
}

// Events of the entry's control pipeline.
type (
	// listChanged carries changes of the platform's instance list.
	listChanged struct{ changes instances.Changes }
)

func (listChanged) EventName() string { return "list_changed" }

func newState() *State {
	f := config.NewFollower()
	return &State{Config: f.Accepted, Follower: f, Members: member.NewTable(), exchangeState: newExchangeState(), rolloutState: newRolloutState(), timeState: newTimeState(), routingState: newRoutingState()}
}

func publish(s *State, now time.Time) *Snapshot {
	return &Snapshot{
		At: now, Config: s.Config, View: s.Follower.View(), Keys: s.Keys, Entries: s.Entries, Pools: s.Pools,
		Peers: s.peers, exchangeView: s.view(), Versions: s.selector.Selector, BusiestWorkspaces: s.busiest, Candidates: s.Candidates,
		Addresses: s.Addresses, Draining: !s.drain.startedAt.IsZero(),
	}
}
