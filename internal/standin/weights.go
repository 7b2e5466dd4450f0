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

// WeightStore is a fake of the platform's weight store, which limits how many
// loads start in a time. It implements Weights.
type WeightStore struct {
	loop *control.Loop[weightState, weightSnapshot]
}

// WeightConfig describes a weight store. Zero values switch a property off.
type WeightConfig struct {
	LoadsPerMinute float64       // loads that may start, for all engines together
	LoadTime       time.Duration // time of one load
}

// WeightFaults are the faults that can be switched on.
type WeightFaults struct {
	Down   bool  `json:"down"`    // every load fails
	SlowMS int64 `json:"slow_ms"` // added to the time of a load, in milliseconds
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

// WeightStats counts the loads.
type WeightStats struct {
	Started int64 `json:"started"`
	Refused int64 `json:"refused"` // beyond the limit
}

type (
	weightLoad struct {
		control.Question[weightAnswer]
	}
	weightAnswer    struct{ err error }
	weightFaultsSet struct {
		control.Question[bool]
		faults WeightFaults
	}
)

func (weightLoad) EventName() string      { return "weight_load" }
func (weightFaultsSet) EventName() string { return "weight_faults_set" }

// NewWeightStore returns a store. Run must run for it to answer.
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
	return w, storeClient{w, cfg.LoadTime}
}

// Run serves loads until ctx ends.
func (w *WeightStore) Run(ctx context.Context) { w.loop.Run(ctx) }

// Faults returns the faults that are switched on.
func (w *WeightStore) Faults() WeightFaults { return w.loop.Snapshot().faults }

// SetFaults replaces the faults.
func (w *WeightStore) SetFaults(ctx context.Context, f WeightFaults) error {
	_, err := control.Ask(ctx, w.loop, weightFaultsSet{Question: control.NewQuestion[bool](), faults: f})
	return err
}

// Stats returns the store's counts.
func (w *WeightStore) Stats() WeightStats { return w.loop.Snapshot().stats }

// storeClient loads from a store in the same process.
type storeClient struct {
	store *WeightStore
	time  time.Duration
}

// Fetch implements Weights. Its error is ErrRate or ErrDown if the load did
// not start.
func (c storeClient) Fetch(ctx context.Context, _ string) error {
	a, err := control.Ask(ctx, c.store.loop, weightLoad{control.NewQuestion[weightAnswer]()})
	if err == nil {
		err = a.err
	}
	if err != nil {
		return err
	}
	return pause(ctx, c.time+time.Duration(c.store.Faults().SlowMS)*time.Millisecond)
}

// weightLoads starts loads within the limit.
type weightLoads struct{}

func (weightLoads) Name() string { return "weight_loads" }

func (weightLoads) Apply(s *weightState, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case weightFaultsSet:
		s.faults = ev.faults
	case weightLoad:
		switch {
		case s.faults.Down:
			ev.Reply(weightAnswer{ErrDown})
		case !s.limiter.AllowN(now, 1):
			s.refused++
			ev.Reply(weightAnswer{ErrRate})
		default:
			s.started++
		}
	}
	return true
}

// Handler serves the store's HTTP interface; loads takes the calls.
func (w *WeightStore) Handler(loads Weights) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{item}", func(rw http.ResponseWriter, r *http.Request) {
		respond(rw, struct{}{}, loads.Fetch(r.Context(), r.PathValue("item")))
	})
	mux.HandleFunc("GET /stats", func(rw http.ResponseWriter, _ *http.Request) { respond(rw, w.Stats(), nil) })
	serveFaults(mux, w.Faults, w.SetFaults)
	return mux
}

// weightClient loads from a store in another process.
type weightClient struct{ base string }

// Fetch implements Weights.
func (c weightClient) Fetch(ctx context.Context, item string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/weights/"+url.PathEscape(item), nil)
	if err != nil {
		return eris.Wrap(err, "standin: load cannot be made")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "standin: load failed")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests:
		return ErrRate
	}
	return ErrDown
}
