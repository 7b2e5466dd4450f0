package side

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/program"
	"github.com/goldcrestturn/goldcrestturn/internal/settings"
)

// Settings are the settings of one side.
type Settings struct {
	Instance      model.InstanceID // also the id of the endpoint
	DataCentre    model.DataCentre
	Region        model.Region
	Pool          model.Pool
	Kind          model.EndpointKind
	Version       model.Version
	Endpoint      string        // base URL of the endpoint
	Listen        string        // address for entries
	Control       string        // control exchange address
	Admin         string        // metrics and status address
	LogService    string        // base URL
	InstanceList  string        // base URL
	Key           string        // shared key of the fleet
	DrainTimeout  time.Duration // for requests in flight at a planned stop
	ControlBudget int64         // bytes per second of control traffic
	AppendBudget  int64         // appends per second of the whole fleet
	Bounds        program.Bounds
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
	// defaultAppendBudget stays below the several hundred appends per second
	// that the log service sustains.
	defaultAppendBudget = 300
	maxAppendBudget     = 10_000
)

// EndpointID returns the id of the endpoint of this side.
func (s Settings) EndpointID() model.EndpointID { return model.EndpointID(s.Instance) }

// LoadSettings reads the settings of a side and reports all errors together.
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
		Instance:      model.InstanceID(f.Required("side", "instance")),
		DataCentre:    model.DataCentre(f.Required("side", "data_centre")),
		Region:        model.Region(f.Required("side", "region")),
		Pool:          model.Pool(f.Required("side", "pool")),
		Kind:          model.EndpointKind(f.OneOf("side", "kind", string(model.Engine), string(model.Engine), string(model.Service))),
		Version:       model.Version(f.String("side", "version", "")),
		Endpoint:      f.Required("side", "endpoint"),
		Listen:        f.Address("side", "listen"),
		Control:       f.Address("side", "control"),
		Admin:         f.Address("side", "admin"),
		LogService:    f.Required("platform", "log_service"),
		InstanceList:  f.Required("platform", "instance_list"),
		Key:           f.Required("fleet", "key"),
		DrainTimeout:  f.Duration("side", "drain_time", defaultDrainTimeout, time.Second, maxDrainTimeout),
		ControlBudget: f.Int("fleet", "control_budget", defaultControlBudget, minControlBudget, maxControlBudget),
		AppendBudget:  f.Int("fleet", "append_budget", defaultAppendBudget, 1, maxAppendBudget),
	}
	s.Bounds = program.Bounds{
		MemoryLimit: f.Int("side", "memory_mb", program.DefaultMemoryMB, 16, 1<<20) << 20,
		MaxFDs:      f.Int("side", "max_fds", program.DefaultMaxFDs, program.MinMaxFDs, 1<<20),
	}
	return s, f.Err()
}
