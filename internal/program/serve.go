package program

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
)

// Times that bound what a slow or silent client may hold.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
)

// NewServer returns an HTTP server with bounded headers and idle times.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Serve serves srv on listener until ctx ends and then shuts it down, waiting
// up to drain for requests in progress.
func Serve(ctx context.Context, srv *http.Server, listener net.Listener, drain time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(listener) }()
	select {
	case err := <-failed:
		return eris.Wrap(err, "program: server failed")
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), drain)
	defer cancel()
	if err := srv.Shutdown(limit); err != nil {
		_ = srv.Close()
		return eris.Wrap(err, "program: requests were still running at the end of the drain time")
	}
	return nil
}

// AdminHandler returns the handler of the operators' address: /metrics, /healthz,
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
