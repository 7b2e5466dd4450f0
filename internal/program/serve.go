package program

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/inbound"
	"github.com/goldcrestturn/goldcrestturn/internal/listener"
)

// Limits on what a slow or idle client can occupy.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
	maxFields         = 256
	// A transfer that the process waits for ends below minRate bytes a second over
	// rateWindow.
	minRate    = 512
	rateWindow = 10 * time.Second
)

// NewServer returns an HTTP server for h with limits on headers and idle
// connections.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Bounds are the settings of a process from which the bounds on its callers follow; 0 means
// the default.
type Bounds struct {
	MemoryLimit int64 // bytes
	MaxFDs      int64
}

// Defaults of Bounds.
const (
	DefaultMemoryMB = 512
	DefaultMaxFDs   = 17408 // an eighth is enough for all peers at the target size
	MinMaxFDs       = 384   // leaves some to callers beside those in reserve
)

// LimitHeap sets the soft limit of the heap of this process.
func (b Bounds) LimitHeap() {
	debug.SetMemoryLimit(int64(inbound.HeapShare * float64(cmp.Or(b.MemoryLimit, DefaultMemoryMB<<20))))
}

// Division returns how the memory and the descriptors of the process are divided.
func (b Bounds) Division() inbound.Division {
	return inbound.Divide(cmp.Or(b.MemoryLimit, DefaultMemoryMB<<20), cmp.Or(b.MaxFDs, DefaultMaxFDs))
}

// trafficLimits are the limits on connections of callers of an entry or a side. A body has
// its own bound where the program sets one.
func trafficLimits() inbound.Limits {
	return inbound.Limits{HeaderBytes: maxHeaderBytes, Fields: maxFields, HeaderTime: readHeaderTimeout, IdleTime: idleTimeout, MinRate: minRate, RateWindow: rateWindow}
}

// NewTraffic returns the bounds on the callers of an entry or a side, whose bodies count.
func NewTraffic(log *slog.Logger, q inbound.Quota) *listener.Listener {
	return listener.New(listener.Config{Name: "traffic", Quota: q, Limits: trafficLimits, Stall: time.Second, CountBodies: true, Outgoing: true, Log: log})
}

// NewChecks returns the bounds on an address for checks, metrics or operators.
func NewChecks(log *slog.Logger, name string, q inbound.Quota) *listener.Listener {
	return listener.New(listener.Config{Name: name, Quota: q, Limits: inbound.CheckLimits, Stall: inbound.CheckStall, Log: log})
}

// ServeWithin serves srv like Serve, within the bounds of l.
func ServeWithin(ctx context.Context, l *listener.Listener, srv *http.Server, inner net.Listener, drainTimeout time.Duration) error {
	following, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go l.Run(following)
	return Serve(ctx, l.Protect(srv), l.Wrap(inner), drainTimeout)
}

// Serve serves srv on listener until ctx is cancelled and then shuts it down,
// waiting up to drainTimeout for requests in flight.
func Serve(ctx context.Context, srv *http.Server, listener net.Listener, drainTimeout time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(listener) }()
	select {
	case err := <-failed:
		return eris.Wrap(err, "program: server failed")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	if err := srv.Shutdown(shutdownCtx); err != nil {
		_ = srv.Close()
		return eris.Wrap(err, "program: requests were still in flight at the end of the drain timeout")
	}
	return nil
}

// AdminHandler returns the handler of the admin address: /metrics, /healthz,
// /readyz and /status.
func AdminHandler(ready func() bool, status func() any) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status())
	})
	return mux
}
