package entry

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/settings"
)

// Settings are the settings of one entry process.
type Settings struct {
	Instance      model.InstanceID
	DataCentre    model.DataCentre
	Region        model.Region
	Listen        string        // callers' address
	Control       string        // control exchange address
	Admin         string        // metrics and status address
	LogService    string        // base URL
	InstanceList  string        // base URL
	Key           string        // shared key of the fleet
	LogRetention  time.Duration // time for which the log service keeps records
	DrainTimeout  time.Duration
	ControlBudget int64 // bytes a second for control traffic
	AppendBudget  int64 // appends a second of the whole fleet
	MaxBody       int64 // bytes of one caller's body
	Timeout       time.Duration
	BodyTimeout   time.Duration // for a caller to send its body
	WriteTimeout  time.Duration // for a caller to take one piece of its answer
}

// Bounds and defaults of the settings.
const (
	defaultDrainTime = 60 * time.Second
	maxDrainTime     = 10 * time.Minute
	// defaultControlBudget is the limit of control traffic of a node at the
	// target size, in bytes a second.
	defaultControlBudget = 11_000
	minControlBudget     = 1_000
	maxControlBudget     = 1_000_000
	defaultMaxBody       = 2 << 20
	// defaultAppendBudget stays below the several hundred appends a second
	// that the log service takes.
	defaultAppendBudget = 300
	maxAppendBudget     = 10_000
	// defaultLogRetention is short, so that a wrong default only costs a few
	// more snapshots, not the start of a fleet without peers.
	defaultLogRetention = 4 * time.Hour
	minLogRetention     = time.Minute
	maxLogRetention     = 90 * 24 * time.Hour
	defaultTimeout      = 2 * time.Minute
	maxTimeout          = time.Hour
	// defaultBodyTime takes the largest body over a link of 2 Mbit/s.
	defaultBodyTime = 10 * time.Second
	// defaultWriteTime is far above the round trip of any caller that reads.
	defaultWriteTime = 10 * time.Second
)

// LoadSettings reads the settings of an entry and reports all faults together.
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
		DrainTimeout:  f.Duration("entry", "drain_time", defaultDrainTime, time.Second, maxDrainTime),
		ControlBudget: f.Int("fleet", "control_budget", defaultControlBudget, minControlBudget, maxControlBudget),
		AppendBudget:  f.Int("fleet", "append_budget", defaultAppendBudget, 1, maxAppendBudget),
		MaxBody:       f.Int("entry", "max_body", defaultMaxBody, 1, 64<<20),
		Timeout:       f.Duration("entry", "timeout", defaultTimeout, time.Second, maxTimeout),
		BodyTimeout:   f.Duration("entry", "body_time", defaultBodyTime, time.Millisecond, maxTimeout),
		WriteTimeout:  f.Duration("entry", "write_time", defaultWriteTime, time.Millisecond, maxTimeout),
	}
	return s, f.Err()
}
