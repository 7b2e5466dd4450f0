package standin

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
)

// WeightStore is a stand-in for the platform's weight store, which limits the rate at
// which loads start.
type WeightStore struct {
	loop *control.Loop[weightState, weightSnapshot]
}

// WeightConfig describes a weight store. A zero value disables a property.
type WeightConfig struct {
	LoadsPerMinute float64       // maximum rate of loads, for all engines together
	LoadTime       time.Duration // duration of one load
}

// WeightFaults are the faults that can be injected into a weight store.
type WeightFaults struct {
	Down   bool  `json:"down"`    // every load fails
	SlowMS int64 `json:"slow_ms"` // added to the duration of a load, in milliseconds
}

type weightState struct {
	faults  WeightFaults
	limiter *rate.Limiter
	started int64
	refused int64
}

type weightSnapshot struct {
	faults WeightFaults
	stats  WeightStats
}

// WeightStats are counters of loads.
type WeightStats struct {
	Started int64 `json:"started"`
	Refused int64 `json:"refused"` // beyond the rate limit
}

type (
	weightLoad struct {
		control.Question[weightLoadResult]
	}
	weightLoadResult struct{ err error }
	setWeightFaults  struct {
		control.Question[bool]
		faults WeightFaults
	}
)

func (weightLoad) EventName() string      { return "weight_load" }
func (setWeightFaults) EventName() string { return "weight_faults_set" }

// NewWeightStore returns a store and the source of weights for engines in the same
// process. They answer only while Run is running.
func NewWeightStore(cfg WeightConfig) (*WeightStore, Weights) {
	limit := rate.Inf
	if cfg.LoadsPerMinute > 0 {
		limit = rate.Limit(cfg.LoadsPerMinute / time.Minute.Seconds())
	}
	w := &WeightStore{loop: control.New(control.Config[weightState, weightSnapshot]{
		State:  &weightState{limiter: rate.NewLimiter(limit, 1)},
		Stages: []control.Stage[weightState]{weightLoads{}},
		Publish: func(s *weightState, _ time.Time) *weightSnapshot {
			return &weightSnapshot{s.faults, WeightStats{s.started, s.refused}}
		},
	})}
	return w, localWeights{w, cfg.LoadTime}
}

// Run serves loads until ctx ends.
func (w *WeightStore) Run(ctx context.Context) { w.loop.Run(ctx) }

// Faults returns the active faults.
func (w *WeightStore) Faults() WeightFaults { return w.loop.Snapshot().faults }

// SetFaults replaces the active faults.
func (w *WeightStore) SetFaults(ctx context.Context, f WeightFaults) error {
	_, err := control.Ask(ctx, w.loop, setWeightFaults{Question: control.NewQuestion[bool](), faults: f})
	return err
}

// Stats returns the store's counters.
func (w *WeightStore) Stats() WeightStats { return w.loop.Snapshot().stats }

// localWeights loads weights from a store in the same process.
type localWeights struct {
	store    *WeightStore
	loadTime time.Duration
}

// Fetch implements Weights. It returns ErrRateLimited or ErrDown if the load did
// not start.
func (c localWeights) Fetch(ctx context.Context, _ string) error {
	a, err := control.Ask(ctx, c.store.loop, weightLoad{control.NewQuestion[weightLoadResult]()})
	if err == nil {
		err = a.err
	}
	if err != nil {
		return err
	}
	return sleep(ctx, c.loadTime+time.Duration(c.store.Faults().SlowMS)*time.Millisecond)
}

// weightLoads is the stage that starts loads within the rate limit.
type weightLoads struct{}

func (weightLoads) Name() string { return "weight_loads" }

func (weightLoads) Apply(s *weightState, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case setWeightFaults:
		s.faults = ev.faults
	case weightLoad:
		switch {
		case s.faults.Down:
			ev.Reply(weightLoadResult{ErrDown})
		case !s.limiter.AllowN(now, 1):
			s.refused++
			ev.Reply(weightLoadResult{ErrRateLimited})
		default:
			s.started++
		}
	}
	return true
}

// Handler returns a handler of the store's HTTP interface. It performs loads with
// weights.
func (w *WeightStore) Handler(weights Weights) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{item}", func(rw http.ResponseWriter, r *http.Request) {
		writeResponse(rw, struct{}{}, weights.Fetch(r.Context(), r.PathValue("item")))
	})
	mux.HandleFunc("GET /stats", func(rw http.ResponseWriter, _ *http.Request) { writeResponse(rw, w.Stats(), nil) })
	serveFaults(mux, w.Faults, w.SetFaults)
	return mux
}

// remoteWeights loads weights from a store in another process.
type remoteWeights struct{ baseURL string }

// Fetch implements Weights.
func (c remoteWeights) Fetch(ctx context.Context, item string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/weights/"+url.PathEscape(item), nil)
	if err != nil {
		return eris.Wrap(err, "standin: weight load request is invalid")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "standin: weight load failed")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests:
		return ErrRateLimited
	}
	return ErrDown
}
