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

// State is the control state of an entry. Only its control loop touches it.
type State struct {
	Config    *config.Accepted
	Follower  *config.Follower // gives Config
	Members   *member.Table
	Keys      map[string]model.Workspace                 // by hash of the API key; replaced, never changed
	Pools     map[model.Pool][]member.Endpoint           // endpoints that may get new work; replaced, never changed
	Entries   []model.InstanceID                         // live entries; replaced, never changed
	Addresses map[model.Pool]map[model.EndpointID]string // of all known endpoints; replaced, never changed
	drain     drainState
	derived   bool // Keys and Pools belong to Config and Members
	exchangeState
	rolloutState
	timeState
	routingState
}

// Snapshot is the published view of the state. Nobody changes it.
type Snapshot struct {
	At      time.Time
	Config  *config.Accepted
	View    config.View // answers peers
	Keys    map[string]model.Workspace
	Entries []model.InstanceID // live entries, this one included
	Pools   map[model.Pool][]member.Endpoint
	Peers   *member.Peers // processes of the region in the control exchange
	exchangeView
	Versions          rollout.Selector
	BusiestWorkspaces map[model.Workspace]bool // workspaces with a histogram of their own

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
		Peers: s.peers, exchangeView: s.view(), Versions: s.versions.Selector, BusiestWorkspaces: s.busiest, Candidates: s.Candidates,
		Addresses: s.Addresses, Draining: !s.drain.since.IsZero(),
	}
}
