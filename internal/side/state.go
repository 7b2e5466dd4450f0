package side

import (
	"math/rand/v2"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/admit"
	"github.com/goldcrestturn/goldcrestturn/internal/config"
)

// State is the control state of a side process. Only its control loop touches
// it.
type State struct {
	Config *config.Accepted
	Load   int64    // cost units of the running and the waiting work; the pool mean is taken from it
	Mean   PoolMean // last known mean load of the pool

	Admission   *admit.Controller
	Leaving     bool // the instance list or a notice says that this instance leaves
	Draining    bool // this process stops
	admissionOf *config.Accepted
	asked       map[admit.Ticket]admitRequest // waiting for a decision
	report      endpointReported              // last report of the endpoint
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
	At      time.Time
	Config  *config.Accepted
	Load    int64
	Running int
}

// Events of the side's control pipeline.
type (
	// configRecord is one record of the configuration stream.
	configRecord struct {
		offset int64
		record config.Record
	}
	// meanReceived carries a new pool mean from a summary holder.
	meanReceived struct{ mean PoolMean }
)

func (configRecord) EventName() string { return "config_record" }
func (meanReceived) EventName() string { return "mean_received" }

func newState() *State {
	return &State{Config: config.Empty(), Admission: admit.New(rand.Float64), asked: map[admit.Ticket]admitRequest{}}
}

func publish(s *State, now time.Time) *Snapshot {
	return &Snapshot{At: now, Config: s.Config, Load: s.Load, Running: s.Admission.Running()}
}
