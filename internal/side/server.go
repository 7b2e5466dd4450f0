package side

import (
	"context"
	"crypto/subtle"
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
	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/listener"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
	"github.com/goldcrestturn/goldcrestturn/internal/program"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
	"github.com/goldcrestturn/goldcrestturn/internal/wire"
)

// controlTick is the interval at which time-dependent control state is updated.
const controlTick = 100 * time.Millisecond

// Side is one sidecar process.
type Side struct {
	settings Settings
	deps     Deps
	log      *slog.Logger
	budget   *logsvc.Budget
	loop     *control.Loop[State, Snapshot]
	node     *exchange.Node
	crashes  chan suspect.Crash // waiting to be appended to the log
	configs  *configsync.Source

	ordersWake chan struct{} // wakes sendOrders
	kv         *kvTransfers
}

// New returns a side. Start starts it.
func New(s Settings, deps Deps) *Side {
	p := &Side{
		settings: s, deps: deps, log: deps.Log, crashes: make(chan suspect.Crash, crashQueueSize),
		ordersWake: make(chan struct{}, 1), kv: newKVTransfers(deps.KV, deps.KVFetchTimeout),
		budget: logsvc.NewBudget(float64(s.AppendBudget) * claimBudgetShare),
	}
	p.loop = control.New(control.Config[State, Snapshot]{
		State:   newState(s),
		Stages:  p.controlPipeline(),
		Publish: publish,
		Tick:    controlTick,
	})
	p.node = p.newNode()
	p.configs = p.configSource()
	return p
}

// Run runs a side with the given settings until ctx ends.
func Run(ctx context.Context, log *slog.Logger, s Settings) error {
	s.Bounds.LimitHeap()
	traffic, err := listener.Listen(s.Listen)
	if err != nil {
		return eris.Wrap(err, "side: cannot listen on the address for entries")
	}
	admin, err := listener.Listen(s.Admin)
	if err != nil {
		return eris.Wrap(err, "side: cannot listen on the admin address")
	}
	peers, err := listener.Listen(s.Control)
	if err != nil {
		return eris.Wrap(err, "side: cannot listen on the control address")
	}
	deps := Deps{
		Log:      log,
		Logs:     logsvc.NewClient(s.LogService),
		List:     instances.NewClient(s.InstanceList),
		Endpoint: endpointapi.NewService(s.Endpoint, s.EndpointID()),
	}
	if s.Kind == model.Engine {
		engine := endpointapi.NewEngine(s.Endpoint, s.EndpointID())
		deps.Endpoint, deps.Engine, deps.KV, deps.Reports = engine, engine, engine, engine
	}
	p := New(s, deps)
	return p.Serve(ctx, traffic, admin, peers)
}

// Serve serves entries, operators and peers until ctx ends, and then drains.
func (p *Side) Serve(ctx context.Context, traffic, admin, peers net.Listener) error {
	backgroundCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	division := p.settings.Bounds.Division()
	var g errgroup.Group
	p.Start(backgroundCtx, &g)
	g.Go(func() error {
		return program.ServeWithin(backgroundCtx, program.NewChecks(p.log, "admin", division.Readiness), program.NewServer(program.AdminHandler(p.ready, p.status)), admin, time.Second)
	})
	g.Go(func() error { return p.ServeControl(backgroundCtx, peers) })
	p.log.Info("started", "instance", p.settings.Instance, "listen", traffic.Addr().String())
	servingCtx, stopServing := context.WithCancel(backgroundCtx)
	go func() {
		<-ctx.Done()
		p.Drain(backgroundCtx, p.settings.DrainTimeout)
		stopServing()
	}()
	entries := program.NewTraffic(p.log, division.WithBodies())
	err := program.ServeWithin(servingCtx, entries, program.NewServer(p.Handler()), traffic, closeTimeout)
	stop()
	if err == nil {
		err = g.Wait()
	}
	return eris.Wrap(err, "side")
}

// Start starts the control loop and its sources. They end with ctx.
func (p *Side) Start(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { p.loop.Run(ctx); return nil })
	g.Go(func() error { p.configs.Run(ctx); return nil })
	g.Go(func() error { p.followInstances(ctx); return nil })
	if p.deps.Engine != nil {
		g.Go(func() error { p.sendOrders(ctx); return nil })
	}
	p.startExchange(ctx, g)
	g.Go(func() error { p.reportEvidence(ctx); return nil })
	g.Go(func() error { p.reportTimes(ctx); return nil })
	g.Go(func() error { p.transferChats(ctx); return nil })
	g.Go(func() error { p.pollEndpoint(ctx); return nil })
	for range claimWorkers {
		g.Go(func() error { p.runClaimJobs(ctx); return nil })
	}
}

// Handler returns the handler of the HTTP API for entries and other sides.
func (p *Side) Handler() http.Handler {
	run := pipe.Endpoint(p.trafficPipeline())
	options := []httptransport.ServerOption{
		httptransport.ServerBefore(withRequestIDs), httptransport.ServerErrorEncoder(encodeError),
	}
	server := httptransport.NewServer(run, decodeRun, encodeRun, options...)
	mux := http.NewServeMux()
	mux.Handle("POST "+wire.PathRun, p.authenticate(server))
	mux.Handle("GET "+wire.PathKV+"{chat}", p.authenticate(http.HandlerFunc(p.exportKV)))
	mux.Handle("PUT "+wire.PathKV+"{chat}", p.authenticate(http.HandlerFunc(p.importKV)))
	resume := httptransport.NewServer(p.resume, decodeResume, encodeRun, options...)
	mux.Handle("GET "+wire.PathResume, p.authenticate(resume))
	return mux
}

// authenticate refuses HTTP requests that do not carry the shared key.
func (p *Side) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := []byte(r.Header.Get(wire.HeaderKey))
		if subtle.ConstantTimeCompare(key, []byte(p.settings.Key)) != 1 {
			http.Error(w, "the shared key is wrong", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (p *Side) ready() bool {
	s := p.loop.Snapshot()
	return s.Config.Offset != config.NoBase && s.Draining == ""
}

// Status is the response of the /status path.
type Status struct {
	Instance     string `json:"instance"`
	Role         string `json:"role"`
	ConfigOffset int64  `json:"config_offset"`
	Load         int64  `json:"load"`
	Running      int    `json:"running"`
}

func (p *Side) status() any {
	s := p.loop.Snapshot()
	return Status{Instance: string(p.settings.Instance), Role: "side", ConfigOffset: s.Config.Offset, Load: s.Load, Running: s.Running}
}
