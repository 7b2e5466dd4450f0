package lists

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Plan is a class of workspaces.
type Plan struct {
	Priority int   `json:"priority"` // higher goes first
	Rate     int64 `json:"rate"`     // cost units a second for each workspace
	Burst    int64 `json:"burst"`    // cost units that may be used at once
}

// Workspace is one customer and the plan that it holds.
type Workspace struct {
	Plan    model.Plan `json:"plan"`
	KeyHash string     `json:"key_hash"` // lower-case hex SHA-256 of the API key
}

// Pool is a set of endpoints and what must hold for them.
type Pool struct {
	Kind         model.EndpointKind `json:"kind"`
	Plans        []model.Plan       `json:"plans"`         // plans that may use the pool
	Version      model.Version      `json:"version"`       // version in use outside a rollout
	LoadMultiple float64            `json:"load_multiple"` // bound on load over the mean of the pool
	Slots        int                `json:"slots"`         // requests that a warm endpoint runs at once
	ColdLimit    int64              `json:"cold_limit"`    // cost units that a cold endpoint bears
	WarmTime     time.Duration      `json:"warm_time"`     // longest first-token time of a warm endpoint
	LoadSpacing  time.Duration      `json:"load_spacing"`  // shortest time between loads from the weight store
	KeyLifetime  time.Duration      `json:"key_lifetime"`  // time for which an idempotency key is honoured
	ReturnTime   time.Duration      `json:"return_time"`   // time over which a data centre gets its chats back
	HonoursFence bool               `json:"honours_fence"` // endpoints refuse an old fencing number
	Adapters     []string           `json:"adapters,omitempty"`
	Role         EngineRole         `json:"role,omitempty"` // empty leaves the engines' role alone
}

// EngineRole is the part of a generation that an engine does.
type EngineRole string

// The roles of engines.
const (
	RoleBoth    EngineRole = "both"
	RolePrefill EngineRole = "prefill"
	RoleDecode  EngineRole = "decode"
)

// Route is one kind of call.
type Route struct {
	Pool       model.Pool `json:"pool"`
	Idempotent bool       `json:"idempotent"`
}

// DataCentreState tells whether a data centre takes new work.
type DataCentreState string

// The states of a data centre.
const (
	DataCentreIn  DataCentreState = "in"
	DataCentreOut DataCentreState = "out"
)

// DataCentre is a data centre and its state.
type DataCentre struct {
	Region model.Region    `json:"region"`
	State  DataCentreState `json:"state"`
}

// RolloutState is the final or present state of a rollout.
type RolloutState string

// The states of a rollout.
const (
	RolloutActive     RolloutState = "active"
	RolloutDone       RolloutState = "done"
	RolloutRolledBack RolloutState = "taken_back"
)

// Rollout moves a pool from one version to another.
type Rollout struct {
	Pool       model.Pool    `json:"pool"`
	Old        model.Version `json:"old"`
	New        model.Version `json:"new"`
	FirstShare float64       `json:"first_share"` // share of chats until enough evidence, 0 to 1
	Steps      int           `json:"steps"`       // equal steps from the first share to 1
	Start      time.Time     `json:"start"`
	Deadline   time.Time     `json:"deadline"`
	State      RolloutState  `json:"state"`
	Reason     string        `json:"reason,omitempty"`
	Evidence   string        `json:"evidence,omitempty"`
}

// Lists is the whole declared state.
type Lists struct {
	Plans       map[model.Plan]Plan             `json:"plans"`
	Workspaces  map[model.Workspace]Workspace   `json:"workspaces"`
	Pools       map[model.Pool]Pool             `json:"pools"`
	Routes      map[model.Route]Route           `json:"routes"`
	DataCentres map[model.DataCentre]DataCentre `json:"data_centres"`
	Rollouts    map[string]Rollout              `json:"rollouts"`
	Released    map[string]time.Time            `json:"released"` // fingerprints that an operator released
}

// New returns empty lists.
func New() *Lists {
	return &Lists{
		Plans:       map[model.Plan]Plan{},
		Workspaces:  map[model.Workspace]Workspace{},
		Pools:       map[model.Pool]Pool{},
		Routes:      map[model.Route]Route{},
		DataCentres: map[model.DataCentre]DataCentre{},
		Rollouts:    map[string]Rollout{},
		Released:    map[string]time.Time{},
	}
}
