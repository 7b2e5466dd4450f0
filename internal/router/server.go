package router

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	httptransport "github.com/go-kit/kit/transport/http"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/program"
)

const (
	// headerTime and bodyTime bound a caller that sends slowly.
	headerTime = 5 * time.Second
	bodyTime   = 10 * time.Second
	// writeTime bounds a caller that does not read.
	writeTime = 10 * time.Second
	// idleTime is above any idle time that operators grant callers.
	idleTime       = 5 * time.Minute
	maxHeaderBytes = 64 << 10
	defaultMaxBody = 8 << 20
)

// Times of a planned stop, counted from the signal.
const (
	// leaveTime lets the balancer take this router out: two checks a second
	// apart without success, and one on its way.
	leaveTime = 2500 * time.Millisecond
	// endMargin is the part of the grace time that is left for the end itself.
	endMargin = 600 * time.Millisecond
)

// Serve serves callers until ctx ends, then stops without cutting a request
// that ends within the grace time.
func (r *Router) Serve(ctx context.Context, callers, check, calls net.Listener) error {
	if err := r.node.Register(storeService, &storeServer{r.loop.Snapshot}); err != nil {
		return err
	}
	background, stopAll := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAll()
	var g errgroup.Group
	r.Start(background, &g)
	g.Go(func() error { return r.node.Serve(background, calls) })
	active := &atomic.Int64{}
	srv := &http.Server{
		Handler: r.countActive(active, r.Handler()), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeaderBytes,
	}
	checks := &http.Server{Handler: r.checkHandler(), ReadHeaderTimeout: headerTime}
	failed := make(chan error, 2)
	go func() { failed <- checks.Serve(check) }()
	go func() {
		r.settle(background)
		failed <- srv.Serve(callers)
	}()
	r.log.Info("started", "instance", r.settings.Instance, "data_centre", r.settings.DataCentre,
		"listen", callers.Addr().String(), "version", program.Version)
	var err error
	select {
	case err = <-failed:
		err = eris.Wrap(err, "router: server failed")
	case <-ctx.Done():
		r.stop(background, srv, active)
	}
	_ = checks.Close()
	stopAll()
	return errors.Join(err, g.Wait())
}

// Bounds of the wait of the first callers for what the router has to learn. Their
// connections wait in the queue of the listener.
const (
	// settleTime is for the holders of prompt parts. Without them the first
	// requests after a restart of all routers have most prompts read again.
	settleTime = 400 * time.Millisecond
	// configureTime is for the configuration, without which callers are refused.
	// With 2,000 routes and a seventh of a core it takes 0.7 to 1.1 s.
	configureTime = 1500 * time.Millisecond
)

// settle waits until the router knows what its first callers need.
func (r *Router) settle(ctx context.Context) {
	begin := time.Now()
	await(ctx, r.settled, begin.Add(settleTime))
	await(ctx, r.configured, begin.Add(configureTime))
}

// await waits until done is closed, but not beyond limit.
func await(ctx context.Context, done <-chan struct{}, limit time.Time) {
	t := time.NewTimer(time.Until(limit))
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	case <-ctx.Done():
	}
}

// stop takes the router out: first it is not ready and closes connections
// behind their answers, then it refuses new requests, then it waits for those
// under way until the grace time ends.
func (r *Router) stop(ctx context.Context, srv *http.Server, active *atomic.Int64) {
	begin := time.Now()
	_ = r.loop.Post(ctx, phaseChanged{Leaving})
	control.Pause(ctx, leaveTime)
	_ = r.loop.Post(ctx, phaseChanged{Refusing})
	limit, cancel := context.WithDeadline(ctx, begin.Add(r.settings.Grace-endMargin))
	defer cancel()
	if err := srv.Shutdown(limit); err != nil {
		r.log.Warn("requests were cut at the end of the grace time", "count", active.Load())
		_ = srv.Close()
	}
}

func (r *Router) countActive(n *atomic.Int64, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		n.Add(1)
		defer n.Add(-1)
		h.ServeHTTP(w, req)
	})
}

// checkHandler answers the balancer's readiness check.
func (r *Router) checkHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+r.settings.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !r.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Handler returns the callers' HTTP interface.
func (r *Router) Handler() http.Handler {
	run := r.trafficPipeline()
	endpoint := func(ctx context.Context, request any) (any, error) {
		req := request.(*Request)
		answer, err := run(ctx, req)
		if err != nil {
			r.logEnd(req, nil, err)
			return nil, err
		}
		return served{req, answer}, nil
	}
	return httptransport.NewServer(endpoint, r.decode, r.encode, httptransport.ServerErrorEncoder(r.encodeRefusal))
}

// served is an answer with its request.
type served struct {
	req    *Request
	answer *Answer
}

// decode reads a request with its body.
func (r *Router) decode(_ context.Context, hr *http.Request) (any, error) {
	arrived := time.Now()
	req, err := r.deps.Protocol.Decode(hr)
	if err != nil {
		return nil, model.Refuse(model.ReasonBadRequest, err.Error())
	}
	req.Arrived = arrived
	limit := int64(defaultMaxBody)
	if c := r.loop.Snapshot().Catalog; c != nil && c.MaxBody > 0 {
		limit = c.MaxBody
	}
	req.Body, err = io.ReadAll(http.MaxBytesReader(nil, hr.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, model.Refuse(model.ReasonLimit, "the body is too large")
	}
	if err != nil {
		return nil, model.Refuse(model.ReasonBadRequest, "the body cannot be read")
	}
	return req, nil
}
