package standin

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
)

// Service is a stand-in for a plain service with ticket assignment, reservation and
// transfer. It does not deduplicate: it counts every run by idempotency key, so
// that duplicates can be detected.
type Service struct {
	loop *control.Loop[serviceState, serviceSnapshot]
}

// ServiceFaults are the faults that can be injected into a service.
type ServiceFaults struct {
	Down        bool    `json:"down"`         // calls fail before they run
	SlowMS      int64   `json:"slow_ms"`      // time from the run of a call to its answer, in milliseconds
	LoseAnswers int     `json:"lose_answers"` // number of next calls that run and lose their answer
	FailShare   float64 `json:"fail_share"`   // share of calls that run and answer with status 500, evenly spaced
}

// ServiceStats are counters of the calls that ran.
type ServiceStats struct {
	Runs       int64            `json:"runs"`
	Routes     map[string]int64 `json:"routes"`     // runs by route
	Keys       map[string]int64 `json:"keys"`       // runs by idempotency key
	Duplicates int64            `json:"duplicates"` // runs of a key beyond its first
}

// RunResult is the answer to a call. Run is different for every run.
type RunResult struct {
	Route  string          `json:"route"`
	Run    int64           `json:"run"`
	Key    string          `json:"key,omitempty"`
	Result json.RawMessage `json:"result,omitempty"`
}

type serviceState struct {
	faults     ServiceFaults
	stats      ServiceStats
	failureSum float64 // sum of FailShare over calls; at 1 a call fails and 1 is subtracted
}

type serviceSnapshot struct {
	faults     ServiceFaults
	runs       int64
	duplicates int64
}

type (
	runCall struct {
		control.Question[runCallResult]
		route, key string
		body       []byte
	}
	runCallResult struct {
		result RunResult
		err    error
	}
	readServiceStats struct{ control.Question[ServiceStats] }
	setServiceFaults struct {
		control.Question[bool]
		faults ServiceFaults
	}
)

func (runCall) EventName() string          { return "run_call" }
func (readServiceStats) EventName() string { return "read_stats" }
func (setServiceFaults) EventName() string { return "service_faults_set" }

// NewService returns a service. It answers only while Run is running.
func NewService() *Service {
	return &Service{loop: control.New(control.Config[serviceState, serviceSnapshot]{
		State:  &serviceState{stats: ServiceStats{Routes: map[string]int64{}, Keys: map[string]int64{}}},
		Stages: []control.Stage[serviceState]{serviceRuns{}},
		Publish: func(s *serviceState, _ time.Time) *serviceSnapshot {
			return &serviceSnapshot{s.faults, s.stats.Runs, s.stats.Duplicates}
		},
	})}
}

// Run serves calls until ctx ends.
func (s *Service) Run(ctx context.Context) { s.loop.Run(ctx) }

// Runs returns the number of calls that ran.
func (s *Service) Runs() int64 { return s.loop.Snapshot().runs }

// Duplicates returns the number of runs of a key beyond its first.
func (s *Service) Duplicates() int64 { return s.loop.Snapshot().duplicates }

// Stats returns the counters, with those of all routes and keys.
func (s *Service) Stats(ctx context.Context) (ServiceStats, error) {
	return control.Ask(ctx, s.loop, readServiceStats{control.NewQuestion[ServiceStats]()})
}

// Faults returns the active faults.
func (s *Service) Faults() ServiceFaults { return s.loop.Snapshot().faults }

// SetFaults replaces the active faults.
func (s *Service) SetFaults(ctx context.Context, f ServiceFaults) error {
	_, err := control.Ask(ctx, s.loop, setServiceFaults{Question: control.NewQuestion[bool](), faults: f})
	return err
}

// Call runs a route. If it returns ErrAnswerLost or ErrFailed, the call has run.
func (s *Service) Call(ctx context.Context, route, key string, body []byte) (RunResult, error) {
	a, err := control.Ask(ctx, s.loop, runCall{Question: control.NewQuestion[runCallResult](), route: route, key: key, body: body})
	if err != nil {
		return RunResult{}, err
	}
	if err := sleepMS(ctx, s.Faults().SlowMS); err != nil {
		return RunResult{}, err
	}
	return a.result, a.err
}

// serviceRuns is the stage that runs and counts calls.
type serviceRuns struct{}

func (serviceRuns) Name() string { return "service_runs" }

func (st serviceRuns) Apply(s *serviceState, _ time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case setServiceFaults:
		s.faults = ev.faults
	case runCall:
		ev.Reply(st.run(s, ev))
	case readServiceStats:
		out := s.stats
		out.Routes, out.Keys = maps.Clone(out.Routes), maps.Clone(out.Keys)
		ev.Reply(out)
		return false
	}
	return true
}

func (serviceRuns) run(s *serviceState, ev runCall) runCallResult {
	if s.faults.Down {
		return runCallResult{err: ErrDown}
	}
	s.stats.Runs++
	s.stats.Routes[ev.route]++
	if ev.key != "" {
		s.stats.Keys[ev.key]++
		if s.stats.Keys[ev.key] > 1 {
			s.stats.Duplicates++
		}
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return runCallResult{err: ErrAnswerLost}
	}
	if s.failureSum += s.faults.FailShare; s.failureSum >= 1 {
		s.failureSum--
		return runCallResult{err: ErrFailed}
	}
	out := RunResult{Route: ev.route, Run: s.stats.Runs, Key: ev.key}
	if json.Valid(ev.body) {
		out.Result = ev.body
	}
	return runCallResult{result: out}
}

// maxServiceBodyBytes limits the body of one call.
const maxServiceBodyBytes = 1 << 20

// Handler returns a handler of the service's HTTP interface. It accepts any route.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{route}", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxServiceBodyBytes))
		if err != nil {
			http.Error(w, "body cannot be read", http.StatusBadRequest)
			return
		}
		result, err := s.Call(r.Context(), r.PathValue("route"), r.Header.Get(endpointapi.HeaderKey), body)
		switch {
		case eris.Is(err, ErrAnswerLost):
			panic(http.ErrAbortHandler)
		case eris.Is(err, ErrFailed):
			http.Error(w, "the call failed", http.StatusInternalServerError)
		default:
			writeResponse(w, result, err)
		}
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, r *http.Request) {
		stats, err := s.Stats(r.Context())
		writeResponse(w, stats, err)
	})
	serveFaults(mux, s.Faults, s.SetFaults)
	return mux
}
