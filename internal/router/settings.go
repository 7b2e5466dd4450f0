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
	Listen      string // address for callers
	Ready       string // address of the readiness check
	Metrics     string // address of the metrics; empty means none
	Exchange    string // address for peers, UDP and TCP
	Store       string // address of the platform's store
	ReadyPath   string // path of the readiness check
	MemoryLimit int64  // bytes
	FirstStart  bool   // first start of the whole system, so the caches of engines are empty

	Grace        time.Duration // from SIGTERM until the platform kills the process
	Revoke       time.Duration // after which a revoked key must not be accepted
	Drain        time.Duration // after which an endpoint that leaves must get no new requests
	StrictRevoke bool          // Revoke also binds a process that cannot reach the store
	RetryRatio   float64       // retries per request over all routers
	RetryBurst   float64       // retries beyond the ratio in a window over all routers
	RetryWindow  time.Duration
	Rollouts     bool          // roll-outs are carried out where Features call for it
	Exposure     float64       // share of the requests in a roll-out's window that a bad version may get
	ExposureOver float64       // requests beyond that share
	Rollback     time.Duration // from the 50th bad response until a bad version must get nothing
	ListInterval time.Duration // between reads of the instance list
	Contracts    []string      // terms of the platform for this deployment, from which Features follow
	FollowWait   time.Duration // for which a read of the operators' orders waits for changes
	path         string        // of the settings file
}

// readsPerDrain is how often the instance list is read within the time after which a
// leaving endpoint must get no new requests. The ages of the list at a store reader
// and at the routers that query it add up to about two intervals.
const readsPerDrain = 4

// Allowed range of settings that are durations.
const (
	minDuration = time.Millisecond
	maxDuration = 10 * time.Minute
)

// LoadSettings reads the settings file at path. The error lists all findings.
func LoadSettings(path string) (Settings, error) {
	f, err := settings.Open(path)
	if err != nil {
		return Settings{}, err
	}
	s, err := ReadSettings(f)
	s.path = path
	return s, err
}

// ReadSettings reads the settings of a router from f.
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
		Grace:        f.Duration("bounds", "grace", 8*time.Second, minDuration, maxDuration),
		Revoke:       f.Duration("bounds", "revoke", 5*time.Second, minDuration, maxDuration),
		Drain:        f.Duration("bounds", "drain", 2*time.Second, minDuration, maxDuration),
		StrictRevoke: f.Bool("bounds", "strict_revoke", true),
		RetryRatio:   f.Float("bounds", "retry_ratio", 0.2, 0, 10),
		RetryBurst:   f.Float("bounds", "retry_burst", 50, 0, 1e6),
		RetryWindow:  f.Duration("bounds", "retry_window", 10*time.Second, minDuration, maxDuration),
		Rollouts:     f.Bool("rollout", "enabled", true),
		Exposure:     f.Float("bounds", "exposure_share", 0.1, 0, 1),
		ExposureOver: f.Float("bounds", "exposure_tolerance", 50, 0, 1e6),
		Rollback:     f.Duration("bounds", "rollback", 5*time.Second, minDuration, maxDuration),
		Contracts:    f.List("platform", "contracts"),
		FollowWait:   f.Duration("platform", "follow", time.Second, minDuration, maxDuration),
	}
	s.ListInterval = f.Duration("platform", "list_interval", s.Drain/readsPerDrain, minDuration, maxDuration)
	for _, dc := range f.List("regions", "data_centres") {
		s.Regions[model.DataCentre(dc)] = model.Region(f.Required("regions", dc))
	}
	return s, f.Err()
}
