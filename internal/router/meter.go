package router

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
	"github.com/goldcrestturn/goldcrestturn/internal/program"
)

// maxNamed bounds the workspaces that have a histogram of their own; the rest
// share one, so that the number of series does not grow with the customers.
const maxNamed = 50

// meter counts what happens to requests. Its goroutine owns the names; traffic
// only hands over what it measured and never waits.
type meter struct{ seen chan measured }

type measured struct {
	workspace model.Workspace
	result    string
	took      time.Duration
	first     time.Duration // until the first event of a stream; 0 if there was none
}

func newMeter() *meter { return &meter{make(chan measured, 256)} }

// note hands over a measurement, or drops it if the meter is behind.
func (m *meter) note(v measured) {
	select {
	case m.seen <- v:
	default:
	}
}

func (m *meter) run(ctx context.Context) {
	named := map[model.Workspace]bool{}
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-m.seen:
			name := v.workspace
			if !named[name] && len(named) >= maxNamed {
				name = "other"
			}
			named[name] = true
			metrics.GetOrCreateCounter(fmt.Sprintf(`goldcrest_router_requests_total{result=%q}`, v.result)).Inc()
			metrics.GetOrCreateHistogram(fmt.Sprintf(`goldcrest_router_request_seconds{workspace=%q}`, name)).Update(v.took.Seconds())
			if v.first > 0 {
				metrics.GetOrCreateHistogram(fmt.Sprintf(`goldcrest_router_first_event_seconds{workspace=%q}`, name)).Update(v.first.Seconds())
			}
		}
	}
}

// resultNames are the results of attempts in logs and metrics.
var resultNames = map[place.Result]string{
	place.Answered: "answered", place.EndpointError: "endpoint_error", place.Failed: "failed", place.Unreachable: "unreachable",
	place.Refused: "refused", place.Misdirected: "misdirected", place.Cancelled: "cancelled",
}

var attemptResults = countersOf("goldcrest_router_attempts_total", "result", resultNames)

var choices = countersOf("goldcrest_router_choices_total", "reason", map[place.Reason]string{
	place.HoldsPrompt: "holds_prompt", place.HoldersLoaded: "holders_loaded", place.FirstUse: "first_use", place.LeastLoad: "least_load",
})

// countersOf returns a counter for each key, labelled with its name.
func countersOf[K comparable](metric, label string, names map[K]string) map[K]*metrics.Counter {
	out := make(map[K]*metrics.Counter, len(names))
	for k, name := range names {
		out[k] = metrics.NewCounter(fmt.Sprintf("%s{%s=%q}", metric, label, name))
	}
	return out
}

var storeCalls = map[string]*metrics.Counter{
	"operators' orders": metrics.NewCounter(`goldcrest_router_store_failures_total{read="orders"}`),
	"instance list":     metrics.NewCounter(`goldcrest_router_store_failures_total{read="list"}`),
	"router list":       metrics.NewCounter(`goldcrest_router_store_failures_total{read="routers"}`),
}

var malformedDatagrams = metrics.NewCounter("goldcrest_router_datagrams_malformed_total")

// serveMetrics serves /metrics on the metrics address until ctx ends.
func (r *Router) serveMetrics(ctx context.Context) {
	if r.settings.Metrics == "" {
		return
	}
	l, err := net.Listen("tcp", r.settings.Metrics)
	if err != nil {
		r.log.Error("metrics address cannot be used", "error", err.Error())
		return
	}
	srv := program.NewServer(program.AdminHandler(r.ready, r.status))
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		r.log.Error("metrics server failed", "error", err.Error())
	}
}

// Status is the answer of the /status path.
type Status struct {
	Instance      string             `json:"instance"`
	ConfigVersion int64              `json:"config_version"`
	Endpoints     map[model.Pool]int `json:"endpoints"` // listed, by pool
	Ready         bool               `json:"ready"`
}

func (r *Router) status() any {
	s := r.loop.Snapshot()
	st := Status{Instance: string(r.settings.Instance), Endpoints: s.List.PoolSizes(), Ready: r.ready()}
	if s.Catalog != nil {
		st.ConfigVersion = s.Catalog.Version
	}
	return st
}
