package router

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/settings"
)

// Settings are the settings of one router process.
type Settings struct {
	Instance    model.InstanceID
	DataCentre  model.DataCentre
	Regions     map[model.DataCentre]model.Region
	Listen      string // callers' address
	Ready       string // address of the readiness check
	Metrics     string // address of the metrics; empty means none
	Exchange    string // UDP address for the other routers
	Store       string // address of the platform's store
	ReadyPath   string // path of the readiness check
	MemoryLimit int64  // bytes
	FirstStart  bool   // the whole system starts for the first time, so caches are empty

	Grace        time.Duration // from SIGTERM until the platform kills the process
	Revoke       time.Duration // after which a key that was taken away opens nothing
	StrictRevoke bool          // Revoke holds also for a process that is cut off
	RetryRatio   float64       // repeats for each request over all routers
	RetryBurst   float64       // repeats beyond the ratio in a window over all routers
	RetryWindow  time.Duration
	ListInterval time.Duration // between reads of the instance list
	FollowTime   time.Duration // for which a read of the operators' orders waits
	path         string
}

// Limits of the settings that are durations.
const (
	minBound = time.Millisecond
	maxBound = 10 * time.Minute
)

// LoadSettings reads the settings of a router and reports all faults together.
func LoadSettings(path string) (Settings, error) {
	f, err := settings.Open(path)
	if err != nil {
		return Settings{}, err
	}
	s, err := ReadSettings(f)
	s.path = path
	return s, err
}

// ReadSettings reads the settings from f.
func ReadSettings(f *settings.File) (Settings, error) {
	s := Settings{
		Instance:     model.InstanceID(f.Required("router", "instance")),
		DataCentre:   model.DataCentre(f.Required("router", "data_centre")),
		Regions:      map[model.DataCentre]model.Region{},
		Listen:       f.Address("router", "listen"),
		Ready:        f.Address("router", "ready"),
		ReadyPath:    f.Required("router", "ready_path"),
		Metrics:      f.OptionalAddress("router", "metrics"),
		Exchange:     f.Address("router", "exchange"),
		Store:        f.Address("platform", "store"),
		MemoryLimit:  f.Int("router", "memory_mb", 256, 16, 1<<20) << 20,
		FirstStart:   f.Bool("router", "first_start", false),
		Grace:        f.Duration("bounds", "grace", 8*time.Second, minBound, maxBound),
		Revoke:       f.Duration("bounds", "revoke", 5*time.Second, minBound, maxBound),
		StrictRevoke: f.Bool("bounds", "strict_revoke", true),
		RetryRatio:   f.Float("bounds", "retry_ratio", 0.2, 0, 10),
		RetryBurst:   f.Float("bounds", "retry_burst", 50, 0, 1e6),
		RetryWindow:  f.Duration("bounds", "retry_window", 10*time.Second, minBound, maxBound),
		ListInterval: f.Duration("platform", "list_interval", 500*time.Millisecond, minBound, maxBound),
		FollowTime:   f.Duration("platform", "follow", time.Second, minBound, maxBound),
	}
	for _, dc := range f.List("regions", "data_centres") {
		s.Regions[model.DataCentre(dc)] = model.Region(f.Required("regions", dc))
	}
	return s, f.Err()
}
