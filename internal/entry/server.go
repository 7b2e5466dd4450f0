package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	httptransport "github.com/go-kit/kit/transport/http"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/configsync"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/listener"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
	"github.com/goldcrestturn/goldcrestturn/internal/program"
)

// controlTick is the interval at which time-dependent control state is updated.
const controlTick = 250 * time.Millisecond

// Entry is one entry process.
type Entry struct {
	settings Settings
	deps     Deps
	log      *slog.Logger
	client   *http.Client
	budget   *logsvc.Budget
	loop     *control.Loop[State, Snapshot]
	configs  *configsync.Source
	node     *exchange.Node
}

// New returns an entry. Start starts it.
func New(s Settings, deps Deps) *Entry {
	e := &Entry{settings: s, deps: deps, log: deps.Log, client: &http.Client{Transport: deps.Transport}}
	e.budget = logsvc.NewBudget(float64(s.AppendBudget) * voidBudgetShare)
	e.node = e.newNode()
	e.loop = control.New(control.Config[State, Snapshot]{
		State:   newState(),
		Stages:  e.controlPipeline(),
		Publish: publish,
		Tick:    controlTick,
	})
	e.configs = e.configSource()
	return e
}

// Run runs an entry with the given settings until ctx ends.
func Run(ctx context.Context, log *slog.Logger, s Settings) error {
	s.Bounds.LimitHeap()
	traffic, err := listener.Listen(s.Listen)
	if err != nil {
		return eris.Wrap(err, "entry: cannot listen on the address for callers")
	}
	admin, err := listener.Listen(s.Admin)
	if err != nil {
		return eris.Wrap(err, "entry: cannot listen on the admin address")
	}
	peers, err := listener.Listen(s.Control)
	if err != nil {
		return eris.Wrap(err, "entry: cannot listen on the control address")
	}
	e := New(s, Deps{
		Log:       log,
		Logs:      logsvc.NewClient(s.LogService),
		List:      instances.NewClient(s.InstanceList),
		Transport: NewTransport(),
	})
	return e.Serve(ctx, traffic, admin, peers)
}

// Serve serves callers, operators and peers until ctx ends, and then drains.
func (e *Entry) Serve(ctx context.Context, traffic, admin, peers net.Listener) error {
	backgroundCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	division := e.settings.Bounds.Division()
	var g errgroup.Group
	e.Start(backgroundCtx, &g)
	g.Go(func() error {
		return program.ServeWithin(backgroundCtx, program.NewChecks(e.log, "admin", division.Readiness), program.NewServer(e.adminHandler()), admin, time.Second)
	})
	g.Go(func() error { return e.ServeControl(backgroundCtx, peers) })
	e.log.Info("started", "instance", e.settings.Instance, "listen", traffic.Addr().String())
	servingCtx, stopServing := context.WithCancel(backgroundCtx)
	go func() {
		<-ctx.Done()
		e.Drain(backgroundCtx, e.settings.DrainTimeout)
		stopServing()
	}()
	callers := program.NewTraffic(e.log, division.WithBodies())
	err := program.ServeWithin(servingCtx, callers, program.NewServer(e.Handler()), traffic, closeTimeout)
	stop()
	return eris.Wrap(firstError(err, g.Wait()), "entry")
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Start starts the control loop and its sources. They end with ctx.
func (e *Entry) Start(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { e.loop.Run(ctx); return nil })
	g.Go(func() error { e.configs.Run(ctx); return nil })
	g.Go(func() error { e.snapshotter().Run(ctx); return nil })
	g.Go(func() error { e.followInstances(ctx); return nil })
	e.startExchange(ctx, g)
	e.startRolloutTasks(ctx, g)
}

func (e *Entry) followInstances(ctx context.Context) {
	onChanges := func(ch instances.Changes) { _ = e.loop.Post(ctx, listChanged{ch}) }
	onError := func(err error) { e.log.Warn("instance list cannot be read", "error", err) }
	instances.Follow(ctx, e.deps.List, onChanges, onError)
}

// Handler returns the handler of the client API.
func (e *Entry) Handler() http.Handler {
	run := pipe.Endpoint(e.trafficPipeline())
	options := []httptransport.ServerOption{
		httptransport.ServerErrorEncoder(encodeError),
		httptransport.ServerBefore(func(ctx context.Context, _ *http.Request) context.Context {
			return context.WithValue(ctx, streamKey{}, new(bool))
		}),
	}
	noRoute := func(*http.Request) model.Route { return "" } // that of a chat is in its body
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", e.checkHead(e.identify(), noRoute, httptransport.NewServer(run, e.decodeChat, encodeChat, options...)))
	mux.Handle("POST /v1/services/{service}/{route}", e.checkHead(e.identify(), serviceRoute, httptransport.NewServer(run, e.decodeService, encodeService, options...)))
	return protect(mux, e.settings.BodyTimeout, e.settings.WriteTimeout)
}

func (e *Entry) ready() bool {
	s := e.loop.Snapshot()
	return s.Config.Offset != config.NoBase && !s.Draining
}

// Status is the response of the /status path.
type Status struct {
	Instance     string         `json:"instance"`
	Role         string         `json:"role"`
	ConfigOffset int64          `json:"config_offset"`
	Endpoints    map[string]int `json:"endpoints"` // usable endpoints by pool
}

func (e *Entry) status() any {
	s := e.loop.Snapshot()
	st := Status{Instance: string(e.settings.Instance), Role: "entry", ConfigOffset: s.Config.Offset, Endpoints: map[string]int{}}
	for pool, list := range s.Pools {
		st.Endpoints[string(pool)] = len(list)
	}
	return st
}
