package lists

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Plan is a service class of workspaces.
type Plan struct {
	Priority int   `json:"priority"` // higher is served first
	Rate     int64 `json:"rate"`     // cost units a second for each workspace
	Burst    int64 `json:"burst"`    // cost units that may be used in one burst
}

// Workspace is a customer and its plan.
type Workspace struct {
	Plan    model.Plan `json:"plan"`
	KeyHash string     `json:"key_hash"` // lower-case hex SHA-256 of the API key
}

// Pool holds the settings of a set of endpoints.
type Pool struct {
	Kind         model.EndpointKind `json:"kind"`
	Plans        []model.Plan       `json:"plans"`         // plans that may use the pool
	Version      model.Version      `json:"version"`       // version in use outside a rollout
	LoadMultiple float64            `json:"load_multiple"` // load bound of an endpoint as a multiple of the pool mean
	Slots        int                `json:"slots"`         // requests that a warm endpoint runs concurrently
	ColdLimit    int64              `json:"cold_limit"`    // limit on unconfirmed cost units at a cold endpoint
	WarmTime     time.Duration      `json:"warm_time"`     // maximum first-token time of a warm endpoint
	LoadSpacing  time.Duration      `json:"load_spacing"`  // minimum time between loads from the weight store
	KeyLifetime  time.Duration      `json:"key_lifetime"`  // validity of an idempotency key
	ReturnTime   time.Duration      `json:"return_time"`   // time over which a data centre that returns to service reclaims its chats
	HonoursFence bool               `json:"honours_fence"` // endpoints refuse orders with a stale fence
	Adapters     []string           `json:"adapters,omitempty"`
	Role         EngineRole         `json:"role,omitempty"` // empty does not change the role of the engines
}

// EngineRole is the part of a generation that an engine performs.
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

// DataCentreState is whether a data centre takes new work.
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

// RolloutState is the current or final state of a rollout.
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
	FirstShare float64       `json:"first_share"` // share of chats until there is enough evidence, 0 to 1
	Steps      int           `json:"steps"`       // equal steps from the first share to 1
	Start      time.Time     `json:"start"`
	Deadline   time.Time     `json:"deadline"`
	State      RolloutState  `json:"state"`
	Reason     string        `json:"reason,omitempty"`
	Evidence   string        `json:"evidence,omitempty"`
}

// Lists is the complete state that the configuration declares.
type Lists struct {
	Plans       map[model.Plan]Plan             `json:"plans"`
	Workspaces  map[model.Workspace]Workspace   `json:"workspaces"`
	Pools       map[model.Pool]Pool             `json:"pools"`
	Routes      map[model.Route]Route           `json:"routes"`
	DataCentres map[model.DataCentre]DataCentre `json:"data_centres"`
	Rollouts    map[string]Rollout              `json:"rollouts"`
	Released    map[string]time.Time            `json:"released"` // fingerprints that an operator released, with the time
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
