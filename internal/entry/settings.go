package entry

import (
	"fmt"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/listener"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/program"
	"github.com/goldcrestturn/goldcrestturn/internal/settings"
)

// Settings are the settings of one entry process.
type Settings struct {
	Instance      model.InstanceID
	DataCentre    model.DataCentre
	Region        model.Region
	Listen        string        // address for callers
	Control       string        // control exchange address
	Admin         string        // metrics and status address
	LogService    string        // base URL
	InstanceList  string        // base URL
	Key           string        // shared key of the fleet
	LogRetention  time.Duration // time for which the log service keeps records
	DrainTimeout  time.Duration // for requests in flight at a planned stop
	ControlBudget int64         // bytes per second of control traffic
	AppendBudget  int64         // appends per second of the whole fleet
	Bounds        program.Bounds
	MaxBody       int64         // bytes of the body of one request
	Timeout       time.Duration // of requests without the header Request-Timeout
	BodyTimeout   time.Duration // for a caller to send the body of its request
	WriteTimeout  time.Duration // for each write of an answer to its caller
}

// Bounds and defaults of the settings.
const (
	defaultDrainTimeout = 60 * time.Second
	maxDrainTimeout     = 10 * time.Minute
	// defaultControlBudget is the limit of control traffic of a node at the
	// target size, in bytes per second.
	defaultControlBudget = 11_000
	minControlBudget     = 1_000
	maxControlBudget     = 1_000_000
	defaultMaxBodyBytes  = 2 << 20
	// defaultAppendBudget stays below the several hundred appends per second
	// that the log service sustains.
	defaultAppendBudget = 300
	maxAppendBudget     = 10_000
	// defaultLogRetention is short, so that a wrong default only costs a few
	// more snapshots and does not keep a fleet without peers from starting.
	defaultLogRetention = 4 * time.Hour
	minLogRetention     = time.Minute
	maxLogRetention     = 90 * 24 * time.Hour
	defaultTimeout      = 2 * time.Minute
	maxTimeout          = time.Hour
	// defaultBodyTimeout is long enough for a body of defaultMaxBodyBytes over
	// a link of 2 Mbit/s.
	defaultBodyTimeout = 10 * time.Second
	// defaultWriteTimeout is far above the round-trip time of any caller that
	// reads its answer.
	defaultWriteTimeout = 10 * time.Second
)

// LoadSettings reads the settings of an entry and reports all errors together.
func LoadSettings(path string) (Settings, error) {
	f, err := settings.Open(path)
	if err != nil {
		return Settings{}, err
	}
	return ReadSettings(f)
}

// ReadSettings reads the settings from f.
func ReadSettings(f *settings.File) (Settings, error) {
	s := Settings{
		Instance:      model.InstanceID(f.Required("entry", "instance")),
		DataCentre:    model.DataCentre(f.Required("entry", "data_centre")),
		Region:        model.Region(f.Required("entry", "region")),
		Listen:        f.Address("entry", "listen"),
		Control:       f.Address("entry", "control"),
		Admin:         f.Address("entry", "admin"),
		LogService:    f.Required("platform", "log_service"),
		InstanceList:  f.Required("platform", "instance_list"),
		Key:           f.Required("fleet", "key"),
		LogRetention:  f.Duration("platform", "log_retention", defaultLogRetention, minLogRetention, maxLogRetention),
		DrainTimeout:  f.Duration("entry", "drain_time", defaultDrainTimeout, time.Second, maxDrainTimeout),
		ControlBudget: f.Int("fleet", "control_budget", defaultControlBudget, minControlBudget, maxControlBudget),
		AppendBudget:  f.Int("fleet", "append_budget", defaultAppendBudget, 1, maxAppendBudget),
		MaxBody:       f.Int("entry", "max_body", defaultMaxBodyBytes, 1, 64<<20),
		Timeout:       f.Duration("entry", "timeout", defaultTimeout, time.Second, maxTimeout),
		BodyTimeout:   f.Duration("entry", "body_time", defaultBodyTimeout, time.Millisecond, maxTimeout),
		WriteTimeout:  f.Duration("entry", "write_time", defaultWriteTimeout, time.Millisecond, maxTimeout),
	}
	s.Bounds = program.Bounds{
		MemoryLimit: f.Int("entry", "memory_mb", program.DefaultMemoryMB, 16, 1<<20) << 20,
		MaxFDs:      f.Int("entry", "max_fds", program.DefaultMaxFDs, program.MinMaxFDs, 1<<20),
	}
	if allowed := s.Bounds.Division().WithBodies().Bytes / listener.BodyCopies; s.MaxBody > allowed {
		f.AddFinding("entry", "max_body", "a body of this size does not fit into memory_mb", fmt.Sprintf("at most %d", allowed))
	}
	return s, f.Err()
}
