package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	httptransport "github.com/go-kit/kit/transport/http"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/listener"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/program"
)

const (
	// readHeaderTimeout bounds a caller that sends slowly while the operators' limit is not
	// known, and readBodyTimeout the time of bodies that bodyRate would give less.
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 10 * time.Second
	// writeTimeout bounds each write to a caller that reads slowly.
	writeTimeout = 10 * time.Second
	// maxHeaderBytes is the largest head while the operators' limit is not known.
	maxHeaderBytes      = 64 << 10
	defaultMaxBodyBytes = 8 << 20
)

// Durations of a planned stop.
const (
	// drainDelay is how long after the signal the router keeps serving while its
	// readiness check fails, so that the load balancer stops sending requests. The
	// balancer needs two failed checks, a second apart, and one may be in flight.
	drainDelay = 2500 * time.Millisecond
	// maxDrainShare is the largest part of the grace time that drainDelay may take. The
	// requests that are accepted until then need the rest.
	maxDrainShare = 1.0 / 3
	// exitMargin is the part of the grace time that is reserved for the exit of the
	// process.
	exitMargin = 600 * time.Millisecond
)

// Serve serves callers until ctx ends and then shuts down gracefully: requests
// that complete within the grace time are not interrupted. readiness serves the
// load balancer's check, rpc the calls of peers.
func (r *Router) Serve(ctx context.Context, callers, readiness, rpc net.Listener) error {
	if err := r.node.Register(storeService, &storeServer{r.loop.Snapshot}); err != nil {
		return err
	}
	if err := r.node.Register(rolloutService, &rolloutServer{r}); err != nil {
		return err
	}
	background, stopAll := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAll()
	if r.duties != nil {
		if err := r.node.Register(countsService, &countsServer{background, r.loop}); err != nil {
			return err
		}
	}
	var g errgroup.Group
	r.Start(background, &g)
	g.Go(func() error { return r.node.Serve(background, rpc) })
	active := &atomic.Int64{}
	fromCallers, checks := r.callerListener(), program.NewChecks(r.log, "readiness", r.division.Readiness)
	for _, l := range []*listener.Listener{fromCallers, checks} {
		g.Go(func() error { l.Run(background); return nil })
	}
	srv := fromCallers.Protect(&http.Server{Handler: r.countActive(active, limitBodyTime(r.Handler(), r.bodyTime))})
	readinessSrv := checks.Protect(&http.Server{Handler: r.readinessHandler()})
	failed := make(chan error, 2)
	go func() { failed <- readinessSrv.Serve(checks.Wrap(readiness)) }()
	go func() {
		r.awaitStartState(background)
		failed <- srv.Serve(fromCallers.Wrap(callers))
	}()
	r.log.Info("started", "instance", r.settings.Instance, "data_centre", r.settings.DataCentre,
		"listen", callers.Addr().String(), "version", program.Version)
	var err error
	select {
	case err = <-failed:
		err = eris.Wrap(err, "router: HTTP server failed")
	case <-ctx.Done():
		r.shutDown(background, srv, active)
	}
	_ = readinessSrv.Close()
	stopAll()
	return errors.Join(err, g.Wait())
}

// Bounds of the time for which a starting router waits for its initial state before
// it accepts connections. Until then, connections wait in the backlog of the
// listener.
const (
	// holdersTimeout bounds the wait for the holders of prompt parts. Without them,
	// most of the first prompts after a restart of all routers are prefilled again.
	holdersTimeout = 400 * time.Millisecond
	// configTimeout bounds the wait for the configuration and the instance list,
	// without which requests are refused, and for the properties of requests that crash
	// endpoints. With 2,000 routes and a seventh of a core, loading the
	// configuration takes 0.7 to 1.1 s.
	configTimeout = 1500 * time.Millisecond
)

// awaitStartState waits until the router has the state that its first requests
// need, or until the timeouts end.
func (r *Router) awaitStartState(ctx context.Context) {
	begin := time.Now()
	await(ctx, r.holdersReady, begin.Add(holdersTimeout))
	await(ctx, r.configReady.closed, begin.Add(configTimeout))
	await(ctx, r.listReady.closed, begin.Add(configTimeout))
	await(ctx, r.suspectsReady.closed, begin.Add(configTimeout))
	await(ctx, r.crashesReady.closed, begin.Add(configTimeout))
	if r.rollouts {
		await(ctx, r.statusesReady.closed, begin.Add(configTimeout))
	}
}

// await waits until done is closed, limit has passed or ctx ends.
func await(ctx context.Context, done <-chan struct{}, limit time.Time) {
	t := time.NewTimer(time.Until(limit))
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	case <-ctx.Done():
	}
}

// shutDown performs a planned stop. First the router is not ready and closes
// connections after their answers; after drainDelay it refuses new requests; then
// it waits for requests in flight until the grace time ends.
func (r *Router) shutDown(ctx context.Context, srv *http.Server, active *atomic.Int64) {
	begin := time.Now()
	_ = r.loop.Post(ctx, phaseChanged{Leaving})
	control.Pause(ctx, min(drainDelay, time.Duration(maxDrainShare*float64(r.grace()))))
	_ = r.loop.Post(ctx, phaseChanged{Refusing})
	limit, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		r.awaitGraceEnd(limit, begin)
		cancel()
	}()
	if err := srv.Shutdown(limit); err != nil {
		r.log.Warn("requests were cut at the end of the grace time", "count", active.Load())
		_ = srv.Close()
	}
	r.flushCounts(ctx)
}

// grace returns the grace time in force.
func (r *Router) grace() time.Duration { return r.loop.Snapshot().Settings.Grace }

// graceCheckInterval is how often the grace time is read during a planned stop.
const graceCheckInterval = 200 * time.Millisecond

// awaitGraceEnd waits for the end of the grace time of a stop that began at a time, but for
// exitMargin, or until ctx ends. A reload during the stop may change the grace time.
func (r *Router) awaitGraceEnd(ctx context.Context, begin time.Time) {
	for ctx.Err() == nil {
		left := time.Until(begin.Add(r.grace() - exitMargin))
		if left <= 0 {
			return
		}
		control.Pause(ctx, min(left, graceCheckInterval))
	}
}

// countActive counts the requests in flight in n.
func (r *Router) countActive(n *atomic.Int64, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		n.Add(1)
		defer n.Add(-1)
		h.ServeHTTP(w, req)
	})
}

// readinessHandler answers the load balancer's readiness check.
func (r *Router) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+r.settings.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !r.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Handler returns the HTTP handler for callers.
func (r *Router) Handler() http.Handler {
	run := r.trafficPipeline()
	endpoint := func(ctx context.Context, request any) (any, error) {
		req := request.(*Request)
		answer, err := run(ctx, req)
		if err != nil {
			r.logOutcome(req, nil, err)
			return nil, err
		}
		return answeredRequest{req, answer}, nil
	}
	return r.accountMemory(httptransport.NewServer(endpoint, r.decode, r.encode, httptransport.ServerErrorEncoder(r.encodeRefusal)))
}

// answeredRequest is a request together with its answer.
type answeredRequest struct {
	req    *Request
	answer *Answer
}

// decode reads a request but for its body, which the filter receiveBody reads.
func (r *Router) decode(ctx context.Context, hr *http.Request) (any, error) {
	arrived := time.Now()
	req, err := r.deps.Protocol.Decode(hr)
	if err != nil {
		return nil, model.Refuse(model.ReasonBadRequest, err.Error())
	}
	req.Arrived, req.memory, req.noChunks = arrived, memoryOf(ctx), !hr.ProtoAtLeast(1, 1)
	req.incoming = incomingBody{hr.Body, hr.ContentLength}
	return req, nil
}
