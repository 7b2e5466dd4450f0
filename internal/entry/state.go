package entry

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/member"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// State is the control state of an entry. Only its control loop touches it.
type State struct {
	Config    *config.Accepted
	Members   *member.Table
	Keys      map[string]model.Workspace                 // by hash of the API key; replaced, never changed
	Pools     map[model.Pool][]member.Endpoint           // endpoints that may get new work; replaced, never changed
	Addresses map[model.Pool]map[model.EndpointID]string // of all known endpoints; replaced, never changed
	drain     drainState
	derived   bool // Keys and Pools belong to Config and Members
}

// Snapshot is the published view of the state. Nobody changes it.
type Snapshot struct {
	At     time.Time
	Config *config.Accepted
	Keys   map[string]model.Workspace
	Pools  map[model.Pool][]member.Endpoint

	Addresses map[model.Pool]map[model.EndpointID]string
	Draining  bool // a planned stop has begun
}

// Events of the entry's control pipeline.
type (
	// configRecord is one record of the configuration stream.
	configRecord struct {
		offset int64
		record config.Record
	}
	// listChanged carries changes of the platform's instance list.
	listChanged struct{ changes instances.Changes }
)

func (configRecord) EventName() string { return "config_record" }
func (listChanged) EventName() string  { return "list_changed" }

func newState() *State {
	return &State{Config: config.Empty(), Members: member.NewTable()}
}

func publish(s *State, now time.Time) *Snapshot {
	return &Snapshot{At: now, Config: s.Config, Keys: s.Keys, Pools: s.Pools, Addresses: s.Addresses, Draining: !s.drain.since.IsZero()}
}
