package standin

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// EngineFaults are the faults that can be switched on.
type EngineFaults struct {
	Cold        bool           `json:"cold"`         // the engine turns cold without notice and stays so
	CrashMarker string         `json:"crash_marker"` // a request whose body holds it crashes the process
	DownMS      int64          `json:"down_ms"`      // time for which a crashed process refuses connections
	Versions    []VersionFault `json:"versions"`
}

// VersionFault makes a version fail or slow down. Empty fields match all.
type VersionFault struct {
	Version    model.Version `json:"version"`
	Route      model.Route   `json:"route"`
	FailShare  float64       `json:"fail_share"`  // share of requests that fail, 0 to 1
	SlowFactor float64       `json:"slow_factor"` // factor on the time of each token; 0 means 1
	AfterMS    int64         `json:"after_ms"`    // starts so long after it was switched on
	MinRunning int           `json:"min_running"` // holds only with at least so many requests in the batch
}

// EngineStats counts what an engine did.
type EngineStats struct {
	Started       int64 `json:"started"`        // requests that got a slot
	Whole         int64 `json:"whole"`          // answers generated to their end
	Cancelled     int64 `json:"cancelled"`      // requests ended before that
	Crashes       int64 `json:"crashes"`        // ends of the process
	ColdOverloads int64 `json:"cold_overloads"` // requests beyond what the cold engine bears
	MostRunning   int64 `json:"most_running"`   // largest batch
	Prefill       int64 `json:"prefill"`        // prompt tokens of started requests
	Cached        int64 `json:"cached"`         // of these, found in the prefix cache
	OldFences     int64 `json:"old_fences"`     // orders taken although their fence was old
}

// running is one request in the engine. The control loop owns it, except for
// cause, which is set before stop is closed and read after.
type running struct {
	req     endpointapi.GenerateRequest
	version model.Version
	arrived int64 // order of arrival
	started bool  // has a slot
	first   bool  // has its first token
	reply   control.Deferred[slot]
	stop    chan struct{}
	cause   error
}

func (r *running) units() int64 {
	return model.Cost{Prefill: r.req.Prefill, Generate: r.req.MaxTokens}.Units()
}

type engineState struct {
	cfg       EngineConfig
	faults    EngineFaults
	faultsAt  time.Time
	random    *rand.Rand
	startedAt time.Time
	downUntil time.Time // zero while the process is up
	cold      bool
	confirmed int // first tokens since the engine became cold
	arrivals  int64
	running   []*running // with a slot
	waiting   []*running // without a slot, in the order of service
	cache     prefixCache
	engine    endpointapi.EngineState
	// highestFence is kept also by an engine that ignores fences, to count the
	// old orders that it takes. It does not survive the process.
	highestFence int64
	stats        EngineStats
	history      []loadSample
	waitUp       []waitProcess
	eventReads   []readEvents
}

type loadSample struct {
	at   time.Time
	load endpointapi.Load
}

// engineSnapshot is the published view that answers in progress read.
type engineSnapshot struct {
	cfg      EngineConfig
	faults   EngineFaults
	faultsAt time.Time
	at       time.Time
	running  int
	load     endpointapi.Load
	state    endpointapi.EngineState
	stats    EngineStats
	up       bool
}

// Events of the engine's control pipeline.
type (
	engineFaultsSet struct {
		control.Question[bool]
		faults EngineFaults
	}
	generate struct {
		control.Deferred[slot]
		run *running
	}
	firstToken struct{ run *running }
	finished   struct {
		run       *running
		generated int64 // tokens of the answer so far
	}
	cancelRequest struct {
		control.Question[bool]
		id model.RequestID
	}
	crash       struct{ control.Question[bool] }
	waitProcess struct {
		control.Deferred[bool]
		up bool
	}
	readEvents struct {
		control.Deferred[endpointapi.CacheEvents]
		since int64
		until time.Time
	}
	exportKV struct {
		control.Question[kvAnswer]
		chat string
	}
	importKV struct {
		control.Question[kvAnswer]
		kv endpointapi.KV
	}
	kvAnswer struct {
		kv  endpointapi.KV
		err error
	}
	takeOrder struct {
		control.Question[orderAnswer]
		order endpointapi.Order
	}
	orderAnswer struct{ err error }
	fetched     struct {
		fetch fetch
		err   error
	}
)

func (engineFaultsSet) EventName() string { return "engine_faults_set" }
func (generate) EventName() string        { return "generate" }
func (firstToken) EventName() string      { return "first_token" }
func (finished) EventName() string        { return "finished" }
func (cancelRequest) EventName() string   { return "cancel" }
func (crash) EventName() string           { return "crash" }
func (waitProcess) EventName() string     { return "wait_process" }
func (readEvents) EventName() string      { return "read_events" }
func (exportKV) EventName() string        { return "export_kv" }
func (importKV) EventName() string        { return "import_kv" }
func (takeOrder) EventName() string       { return "take_order" }
func (fetched) EventName() string         { return "fetched" }

func newEngineState(cfg EngineConfig, now time.Time) *engineState {
	s := &engineState{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 0))}
	s.restart(now, cfg.StartCold)
	return s
}

// restart gives the state of a process that has just started.
func (s *engineState) restart(now time.Time, cold bool) {
	s.startedAt, s.downUntil, s.history = now, time.Time{}, nil
	s.cold, s.confirmed, s.highestFence = cold, 0, 0
	s.cache.clear(s.cfg.CacheTokens)
	s.engine = endpointapi.EngineState{Loaded: []model.Version{s.cfg.Version}}
}

func (s *engineState) up() bool { return s.downUntil.IsZero() }

func (s *engineState) load(now time.Time) endpointapi.Load {
	l := endpointapi.Load{
		Running: len(s.running), Waiting: len(s.waiting), Slots: s.cfg.Slots,
		CacheTokens: s.cache.tokens, CacheLimit: s.cfg.CacheTokens, UptimeMS: now.Sub(s.startedAt).Milliseconds(),
	}
	for _, list := range [][]*running{s.running, s.waiting} {
		for _, r := range list {
			l.Units += r.units()
		}
	}
	return l
}

func publishEngine(s *engineState, now time.Time) *engineSnapshot {
	sn := &engineSnapshot{
		cfg: s.cfg, faults: s.faults, faultsAt: s.faultsAt, at: now, running: len(s.running),
		state: s.engine, stats: s.stats, up: s.up(),
	}
	sn.state.Loaded, sn.state.Loading = slices.Clone(s.engine.Loaded), slices.Clone(s.engine.Loading)
	sn.state.Adapters = slices.Clone(s.engine.Adapters)
	if len(s.history) > 0 {
		sn.load = s.history[0].load
	} else {
		sn.load = s.load(now)
	}
	return sn
}

// matches reports whether the fault holds for a request.
func (f VersionFault) matches(v model.Version, route model.Route, since time.Duration, running int) bool {
	return (f.Version == "" || f.Version == v) && (f.Route == "" || f.Route == route) &&
		since >= time.Duration(f.AfterMS)*time.Millisecond && running >= f.MinRunning
}

func slowFactor(faults []VersionFault, v model.Version, route model.Route, since time.Duration, running int) float64 {
	factor := 1.0
	for _, f := range faults {
		if f.SlowFactor > 0 && f.matches(v, route, since, running) {
			factor *= f.SlowFactor
		}
	}
	return factor
}

// tokenTime is the present time between two tokens of an answer.
func (s *engineSnapshot) tokenTime(v model.Version, route model.Route) time.Duration {
	t := float64(s.cfg.TokenTime)
	if s.cfg.Slots > 1 {
		t *= 1 + s.cfg.BatchSlowdown*float64(s.running-1)/float64(s.cfg.Slots-1)
	}
	return time.Duration(t * slowFactor(s.faults.Versions, v, route, s.at.Sub(s.faultsAt), s.running))
}
