package entry

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/choose"
	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/member"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// State is the control state of an entry. Only its control loop touches it.
type State struct {
	Config  *config.Accepted
	Members *member.Table
	Keys    map[string]model.Workspace       // by hash of the API key; replaced, never changed
	Pools   map[model.Pool][]member.Endpoint // endpoints that may get new work; replaced, never changed
	derived bool                             // Keys and Pools belong to Config and Members

	Candidates map[model.Pool]*choose.Pool // what the order of a chat is taken from; replaced, never changed
	keysOf     *config.Accepted            // configuration that Keys belongs to
	loads      map[model.EndpointID]endpointLoad
	loadsMoved bool // a load ratio changed since the last tick
	firstTick  time.Time
	wasOut     map[model.DataCentre]bool
	returning  map[model.DataCentre]time.Time // since when a data centre is back in service
}

// Snapshot is the published view of the state. Nobody changes it.
type Snapshot struct {
	At     time.Time
	Config *config.Accepted
	Keys   map[string]model.Workspace
	Pools  map[model.Pool][]member.Endpoint

	Candidates map[model.Pool]*choose.Pool
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
	// endpointSeen carries what one hand-over showed about an endpoint. reason
	// is empty after an answer; ratio is 0 if unknown.
	endpointSeen struct {
		id     model.EndpointID
		reason model.Reason
		ratio  float64
	}
)

func (configRecord) EventName() string { return "config_record" }
func (listChanged) EventName() string  { return "list_changed" }
func (endpointSeen) EventName() string { return "endpoint_seen" }

func newState() *State {
	return &State{
		Config: config.Empty(), Members: member.NewTable(), loads: map[model.EndpointID]endpointLoad{},
		wasOut: map[model.DataCentre]bool{}, returning: map[model.DataCentre]time.Time{},
	}
}

func publish(s *State, now time.Time) *Snapshot {
	return &Snapshot{At: now, Config: s.Config, Keys: s.Keys, Pools: s.Pools, Candidates: s.Candidates}
}
