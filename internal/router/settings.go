package router

import (
	"os"
	"reflect"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/locality"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/settings"
	"github.com/goldcrestturn/goldcrestturn/internal/slots"
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
	MemoryLimit int64  // bytes; 0 means the default
	MaxFDs      int64  // descriptors that the process may have open; 0 means the default
	MaxFields   int64  // of the head of a caller's request; 0 means the default
	MinRate     int64  // bytes a second that a caller sends or takes while the router waits for it
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
	Admission    bool          // requests are refused early and by urgency while a pool is overloaded
	Contracts    []string      // terms of the platform for this deployment, from which Features follow
	Slots        SlotSettings
	FollowWait   time.Duration  // for which a read of the operators' orders waits for changes
	Price        locality.Price // of requests to other data centres
	Duties       DutySettings
	path         string // of the settings file
	file         []byte // its contents when it was read
}

// SlotSettings are the settings of the grants of slots.
type SlotSettings struct {
	Enabled    bool
	Lease      time.Duration // validity of a grant, at least
	Answer     time.Duration // after which the home of a pool is not waited for
	Queue      float64       // requests that an endpoint may have waiting, as a multiple of its slots
	PoolFactor float64       // a pool with fewer slots than this times the routers has few
}

// config returns the parameters of package slots.
func (s SlotSettings) config() slots.Config {
	return slots.Config{Lease: s.Lease, Answer: s.Answer, Queue: s.Queue, PoolFactor: s.PoolFactor}
}

// DutySettings are the settings of the duties of one router at a time.
type DutySettings struct {
	Address string        // of the platform's interface for duties; empty means none
	Names   []string      // duties to perform, by the platform's names
	Lease   time.Duration // after which another router may take over
	Thaw    time.Duration // after a suspension, in which the platform does not count calls
	Window  time.Duration // of a usage report
	Delay   time.Duration // from the end of a window until its report is due
}

// readsPerDrain is how often the instance list is read within the time after which a
// leaving endpoint must get no new requests. The ages of the list at a store reader
// and at the routers that query it add up to about two intervals.
const readsPerDrain = 4

// Defaults from which the bounds on callers follow.
const (
	defaultMemoryMB = 256
	defaultMaxFDs   = 4096
	minDescriptors  = 384 // leaves some to callers beside those in reserve
	// defaultMaxFields is what the usual MaxHeaderBytes of 16,384 can hold, so no caller
	// within it meets this bound. What many fields cost counts towards the memory.
	defaultMaxFields = 4096
	defaultMinRate   = 512 // bytes a second; 2,400 transfers at once on a link of 10 Mbit/s have that
)

// Allowed range of settings that are durations.
const (
	minDuration = time.Millisecond
	maxDuration = 10 * time.Minute
)

// LoadSettings reads the settings file at path. The error lists all findings.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "router: settings file cannot be read")
	}
	f, err := settings.Parse(path, data)
	if err != nil {
		return Settings{}, err
	}
	s, err := ReadSettings(f)
	s.path, s.file = path, data
	return s, err
}

// startSettings are the settings that a reload does not change: addresses and names, by which
// others know the process, and what is laid out once. All other settings are read from the
// control state or its snapshot, never from the settings of the start.
var startSettings = []struct {
	key string // in the settings file
	of  func(*Settings) any
}{
	{"router.instance", func(s *Settings) any { return &s.Instance }},
	{"router.data_centre", func(s *Settings) any { return &s.DataCentre }},
	{"router.listen", func(s *Settings) any { return &s.Listen }},
	{"router.ready", func(s *Settings) any { return &s.Ready }},
	{"router.ready_path", func(s *Settings) any { return &s.ReadyPath }},
	{"router.metrics", func(s *Settings) any { return &s.Metrics }},
	{"router.exchange", func(s *Settings) any { return &s.Exchange }},
	{"router.memory_mb", func(s *Settings) any { return &s.MemoryLimit }},
	{"router.max_fds", func(s *Settings) any { return &s.MaxFDs }},
	{"router.max_header_fields", func(s *Settings) any { return &s.MaxFields }},
	{"router.min_rate", func(s *Settings) any { return &s.MinRate }},
	{"router.first_start", func(s *Settings) any { return &s.FirstStart }},
	{"platform.store", func(s *Settings) any { return &s.Store }},
	{"platform.contracts", func(s *Settings) any { return &s.Contracts }},
	{"rollout.enabled", func(s *Settings) any { return &s.Rollouts }},
	{"regions", func(s *Settings) any { return &s.Regions }},
	{"duties.address", func(s *Settings) any { return &s.Duties.Address }},
	{"duties.names", func(s *Settings) any { return &s.Duties.Names }},
	{"duties.lease", func(s *Settings) any { return &s.Duties.Lease }},
	{"duties.thaw", func(s *Settings) any { return &s.Duties.Thaw }},
	{"duties.report_window", func(s *Settings) any { return &s.Duties.Window }},
	{"duties.report_delay", func(s *Settings) any { return &s.Duties.Delay }},
}

// reloaded returns the settings in force after a reload of the file as next, and the keys of
// the changed settings that wait for the next start.
func (s Settings) reloaded(next Settings) (inForce Settings, waiting []string) {
	inForce = next
	for _, setting := range startSettings {
		kept, changed := reflect.ValueOf(setting.of(&s)).Elem(), reflect.ValueOf(setting.of(&inForce)).Elem()
		if !reflect.DeepEqual(kept.Interface(), changed.Interface()) {
			waiting = append(waiting, setting.key)
			changed.Set(kept)
		}
	}
	return inForce, waiting
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
		MemoryLimit:  f.Int("router", "memory_mb", defaultMemoryMB, 16, 1<<20) << 20,
		MaxFDs:       f.Int("router", "max_fds", defaultMaxFDs, minDescriptors, 1<<20),
		MaxFields:    f.Int("router", "max_header_fields", defaultMaxFields, 16, 1<<16),
		MinRate:      f.Int("router", "min_rate", defaultMinRate, 0, 1<<20),
		FirstStart:   f.Bool("router", "first_start", false),
		Grace:        f.Duration("bounds", "grace", 8*time.Second, minDuration, maxDuration),
		Revoke:       f.Duration("bounds", "revoke", 5*time.Second, minDuration, maxDuration),
		Drain:        f.Duration("bounds", "drain", 2*time.Second, minDuration, maxDuration),
		StrictRevoke: f.Bool("bounds", "strict_revoke", true),
		RetryRatio:   f.Float("bounds", "retry_ratio", 0.2, 0, 10),
		RetryBurst:   f.Float("bounds", "retry_burst", 50, 0, 1e6),
		RetryWindow:  f.Duration("bounds", "retry_window", 10*time.Second, minDuration, maxDuration),
		Admission:    f.Bool("admission", "enabled", true),
		Rollouts:     f.Bool("rollout", "enabled", true),
		Exposure:     f.Float("bounds", "exposure_share", 0.1, 0, 1),
		ExposureOver: f.Float("bounds", "exposure_tolerance", 50, 0, 1e6),
		Rollback:     f.Duration("bounds", "rollback", 5*time.Second, minDuration, maxDuration),
		Contracts:    f.List("platform", "contracts"),
		FollowWait:   f.Duration("platform", "follow", time.Second, minDuration, maxDuration),
	}
	s.Price = locality.Price{
		PerGB:      f.Float("locality", "gb_price", 0, 0, 1e9),
		Link:       f.Duration("locality", "link_delay", 3*time.Millisecond, 0, time.Second),
		CacheToken: f.Float("locality", "cache_token_bytes", 0, 0, 1e7),
	}
	s.Slots = SlotSettings{
		Enabled:    f.Bool("slots", "enabled", true),
		Lease:      f.Duration("slots", "lease", time.Second, 200*time.Millisecond, 30*time.Second),
		Answer:     f.Duration("slots", "answer", 60*time.Millisecond, 5*time.Millisecond, time.Second),
		Queue:      f.Float("slots", "queue", 1.5, 0, 4),
		PoolFactor: f.Float("slots", "pool_factor", 4, 0, 100),
	}
	s.Duties = DutySettings{
		Address: f.OptionalAddress("duties", "address"),
		Names:   f.List("duties", "names"),
		Lease:   f.Duration("duties", "lease", 3*time.Second, time.Second, maxDuration),
		Thaw:    f.Duration("duties", "thaw", 300*time.Millisecond, 0, maxDuration),
		Window:  f.Duration("duties", "report_window", 5*time.Second, time.Second, maxDuration),
		Delay:   f.Duration("duties", "report_delay", 10*time.Second, time.Second, maxDuration),
	}
	s.ListInterval = f.Duration("platform", "list_interval", s.Drain/readsPerDrain, minDuration, maxDuration)
	for _, dc := range f.List("regions", "data_centres") {
		s.Regions[model.DataCentre(dc)] = model.Region(f.Required("regions", dc))
	}
	return s, f.Err()
}
