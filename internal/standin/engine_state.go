package standin

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// EngineFaults are the faults that can be injected into an engine.
type EngineFaults struct {
	Cold        bool           `json:"cold"`         // the engine turns cold without notice and stays cold
	CrashMarker string         `json:"crash_marker"` // a request whose body contains it crashes the process
	DownMS      int64          `json:"down_ms"`      // time for which a crashed process refuses connections, in milliseconds
	Versions    []VersionFault `json:"versions"`
}

// VersionFault makes requests to a version fail or slow down. An empty version
// or route matches all.
type VersionFault struct {
	Version    model.Version `json:"version"`
	Route      model.Route   `json:"route"`
	FailShare  float64       `json:"fail_share"`  // share of requests that fail, 0 to 1
	SlowFactor float64       `json:"slow_factor"` // factor on the time of each token; 0 means 1
	AfterMS    int64         `json:"after_ms"`    // time after it was set until it applies, in milliseconds
	MinRunning int           `json:"min_running"` // applies only with at least this many requests in the batch
}

// EngineStats are the counters of an engine.
type EngineStats struct {
	Started       int64 `json:"started"`        // requests that got a slot
	Whole         int64 `json:"whole"`          // answers generated completely
	Cancelled     int64 `json:"cancelled"`      // requests ended before their answer was complete
	Crashes       int64 `json:"crashes"`        // crashes of the process
	ColdOverloads int64 `json:"cold_overloads"` // requests that exceeded the cold limit
	MostRunning   int64 `json:"most_running"`   // largest batch so far
	Prefill       int64 `json:"prefill"`        // prompt tokens of started requests
	Cached        int64 `json:"cached"`         // of these, tokens found in the prefix cache
	StaleFences   int64 `json:"old_fences"`     // orders accepted despite a stale fence
}

// engineRequest is a queued or running request. The control loop owns it, except
// for cause, which is set before stop is closed and read after that.
type engineRequest struct {
	req           endpointapi.GenerateRequest
	version       model.Version
	arrivalSeq    int64 // order of arrival
	started       bool  // has a slot
	gotFirstToken bool  // has its first token
	reply         control.Deferred[slotGrant]
	stop          chan struct{} // closed when the engine ends the request
	cause         error         // why the engine ended the request
}

func (r *engineRequest) costUnits() int64 {
	return model.Cost{Prefill: r.req.Prefill, Generate: r.req.MaxTokens}.Units()
}

type engineState struct {
	cfg         EngineConfig
	faults      EngineFaults
	faultsSetAt time.Time
	random      *rand.Rand
	startedAt   time.Time
	downUntil   time.Time // zero while the process is up
	cold        bool
	firstTokens int // number of first tokens since the engine became cold
	arrivals    int64
	running     []*engineRequest // with a slot
	waiting     []*engineRequest // without a slot, in the order in which they get one
	cache       prefixCache
	reported    endpointapi.EngineState
	// highestFence is also updated by an engine that ignores fences, to count the
	// stale orders that it accepts. It is lost when the process ends.
	highestFence int64
	stats        EngineStats
	loadHistory  []loadSample // oldest first; the first one is reported
	processWaits []processWait
	eventReads   []readEvents
}

// loadSample is the load at one time.
type loadSample struct {
	at   time.Time
	load endpointapi.Load
}

// engineSnapshot is the published view of the state. Answers in progress and
// HTTP handlers read it.
type engineSnapshot struct {
	cfg         EngineConfig
	faults      EngineFaults
	faultsSetAt time.Time
	at          time.Time
	running     int
	load        endpointapi.Load
	state       endpointapi.EngineState
	stats       EngineStats
	up          bool
}

// Events of the engine's control pipeline.
type (
	setEngineFaults struct {
		control.Question[bool]
		faults EngineFaults
	}
	generate struct {
		control.Deferred[slotGrant]
		request *engineRequest
	}
	firstToken struct{ request *engineRequest }
	finished   struct {
		request   *engineRequest
		generated int64 // tokens of the answer so far
	}
	cancelRequest struct {
		control.Question[bool]
		id model.RequestID
	}
	crash       struct{ control.Question[bool] }
	processWait struct {
		control.Deferred[bool]
		up bool
	}
	readEvents struct {
		control.Deferred[endpointapi.CacheEvents]
		since int64
		until time.Time
	}
	exportKV struct {
		control.Question[kvResult]
		chat string
	}
	importKV struct {
		control.Question[kvResult]
		kv endpointapi.KV
	}
	kvResult struct {
		kv  endpointapi.KV
		err error
	}
	submitOrder struct {
		control.Question[orderResult]
		order endpointapi.Order
	}
	orderResult struct{ err error }
	fetched     struct {
		fetch weightFetch
		err   error
	}
)

func (setEngineFaults) EventName() string { return "engine_faults_set" }
func (generate) EventName() string        { return "generate" }
func (firstToken) EventName() string      { return "first_token" }
func (finished) EventName() string        { return "finished" }
func (cancelRequest) EventName() string   { return "cancel" }
func (crash) EventName() string           { return "crash" }
func (processWait) EventName() string     { return "wait_process" }
func (readEvents) EventName() string      { return "read_events" }
func (exportKV) EventName() string        { return "export_kv" }
func (importKV) EventName() string        { return "import_kv" }
func (submitOrder) EventName() string     { return "take_order" }
func (fetched) EventName() string         { return "fetched" }

func newEngineState(cfg EngineConfig, now time.Time) *engineState {
	s := &engineState{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 0))}
	s.restart(now, cfg.StartCold)
	return s
}

// restart resets the state to that of a process that has just started.
func (s *engineState) restart(now time.Time, cold bool) {
	s.startedAt, s.downUntil, s.loadHistory = now, time.Time{}, nil
	s.cold, s.firstTokens, s.highestFence = cold, 0, 0
	s.cache.clear(s.cfg.CacheTokens)
	s.reported = endpointapi.EngineState{Loaded: []model.Version{s.cfg.Version}}
}

// up reports whether the engine process is up.
func (s *engineState) up() bool { return s.downUntil.IsZero() }

// load returns the current load.
func (s *engineState) load(now time.Time) endpointapi.Load {
	l := endpointapi.Load{
		Running: len(s.running), Waiting: len(s.waiting), Slots: s.cfg.Slots,
		CacheTokens: s.cache.tokens, CacheLimit: s.cfg.CacheTokens, UptimeMS: now.Sub(s.startedAt).Milliseconds(),
	}
	for _, requests := range [][]*engineRequest{s.running, s.waiting} {
		for _, r := range requests {
			l.Units += r.costUnits()
		}
	}
	return l
}

func publishEngine(s *engineState, now time.Time) *engineSnapshot {
	sn := &engineSnapshot{
		cfg: s.cfg, faults: s.faults, faultsSetAt: s.faultsSetAt, at: now, running: len(s.running),
		state: s.reported, stats: s.stats, up: s.up(),
	}
	sn.state.Loaded, sn.state.Loading = slices.Clone(s.reported.Loaded), slices.Clone(s.reported.Loading)
	sn.state.Adapters = slices.Clone(s.reported.Adapters)
	if len(s.loadHistory) > 0 {
		sn.load = s.loadHistory[0].load
	} else {
		sn.load = s.load(now)
	}
	return sn
}

// matches reports whether the fault applies to a request. sinceSet is the time
// since the faults were set, running the size of the batch.
func (f VersionFault) matches(v model.Version, route model.Route, sinceSet time.Duration, running int) bool {
	return (f.Version == "" || f.Version == v) && (f.Route == "" || f.Route == route) &&
		sinceSet >= time.Duration(f.AfterMS)*time.Millisecond && running >= f.MinRunning
}

// slowFactor returns the product of the slow factors that apply to a request.
func slowFactor(faults []VersionFault, v model.Version, route model.Route, sinceSet time.Duration, running int) float64 {
	factor := 1.0
	for _, f := range faults {
		if f.SlowFactor > 0 && f.matches(v, route, sinceSet, running) {
			factor *= f.SlowFactor
		}
	}
	return factor
}

// tokenTime returns the current time between two tokens of an answer.
func (s *engineSnapshot) tokenTime(v model.Version, route model.Route) time.Duration {
	t := float64(s.cfg.TokenTime)
	if s.cfg.Slots > 1 {
		t *= 1 + s.cfg.BatchSlowdown*float64(s.running-1)/float64(s.cfg.Slots-1)
	}
	return time.Duration(t * slowFactor(s.faults.Versions, v, route, s.at.Sub(s.faultsSetAt), s.running))
}
