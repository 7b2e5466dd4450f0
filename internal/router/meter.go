package router

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/listener"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
	"github.com/goldcrestturn/goldcrestturn/internal/program"
)

// maxWorkspaceLabels is the number of workspaces that have histograms of their
// own. The others share one, so that the number of series does not grow with that
// of workspaces.
const maxWorkspaceLabels = 50

// meter counts requests and their durations. Its goroutine owns the set of
// workspace labels. Traffic goroutines only queue measurements and never block.
type meter struct{ measurements chan measurement }

// measurement is the result and the duration of one request.
type measurement struct {
	workspace  model.Workspace
	result     string
	took       time.Duration
	firstEvent time.Duration // from arrival to the first event of a stream; 0 if there was none
	pool       model.Pool
	remote     remoteTraffic
}

func newMeter() *meter { return &meter{make(chan measurement, 256)} }

// record queues a measurement, or drops it if the queue is full.
func (m *meter) record(v measurement) {
	select {
	case m.measurements <- v:
	default:
	}
}

// run updates the metrics until ctx ends.
func (m *meter) run(ctx context.Context) {
	labelled := map[model.Workspace]bool{}
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-m.measurements:
			name := v.workspace
			if !labelled[name] && len(labelled) >= maxWorkspaceLabels {
				name = "other"
			}
			labelled[name] = true
			metrics.GetOrCreateCounter(fmt.Sprintf(`goldcrest_router_requests_total{result=%q}`, v.result)).Inc()
			metrics.GetOrCreateCounter(fmt.Sprintf(`goldcrest_router_workspace_requests_total{workspace=%q,result=%q}`, name, v.result)).Inc()
			metrics.GetOrCreateHistogram(fmt.Sprintf(`goldcrest_router_request_seconds{workspace=%q}`, name)).Update(v.took.Seconds())
			if v.remote.sends > 0 {
				labels := fmt.Sprintf(`{pool=%q,reason=%q}`, v.pool, v.remote.reason)
				metrics.GetOrCreateCounter("goldcrest_router_remote_requests_total" + labels).Add(v.remote.sends)
				metrics.GetOrCreateCounter("goldcrest_router_remote_bytes_total" + labels).Add(v.remote.bytes)
			}
			if v.firstEvent > 0 {
				metrics.GetOrCreateHistogram(fmt.Sprintf(`goldcrest_router_first_event_seconds{workspace=%q}`, name)).Update(v.firstEvent.Seconds())
			}
		}
	}
}

// resultNames are the names of attempt results in logs and metrics.
var resultNames = map[place.Result]string{
	place.Answered: "answered", place.EndpointError: "endpoint_error", place.Failed: "failed", place.Unreachable: "unreachable",
	place.Refused: "refused", place.Misdirected: "misdirected", place.Cancelled: "cancelled",
}

var attemptCounters = newCounters("goldcrest_router_attempts_total", "result", resultNames)

var choiceCounters = newCounters("goldcrest_router_choices_total", "reason", map[place.Reason]string{
	place.HoldsPrompt: "holds_prompt", place.HoldersLoaded: "holders_loaded", place.HoldersSlow: "holders_slow", place.FirstUse: "first_use", place.LeastLoad: "least_load",
	place.GrantedSlot: "granted_slot",
})

// newCounters returns a counter for each key of names, labelled with the name.
func newCounters[K comparable](metric, label string, names map[K]string) map[K]*metrics.Counter {
	out := make(map[K]*metrics.Counter, len(names))
	for k, name := range names {
		out[k] = metrics.NewCounter(fmt.Sprintf("%s{%s=%q}", metric, label, name))
	}
	return out
}

var (
	storeEra      = metrics.NewGauge("goldcrest_router_store_era", nil)
	storeRestores = metrics.NewCounter("goldcrest_router_store_restores_total")
)

var storeFailures = map[string]*metrics.Counter{
	"operators' orders": metrics.NewCounter(`goldcrest_router_store_failures_total{read="orders"}`),
	"instance list":     metrics.NewCounter(`goldcrest_router_store_failures_total{read="list"}`),
	"router list":       metrics.NewCounter(`goldcrest_router_store_failures_total{read="routers"}`),
	"crash reports":     metrics.NewCounter(`goldcrest_router_store_failures_total{read="crash_reports"}`),
	"duties":            metrics.NewCounter(`goldcrest_router_store_failures_total{read="duties"}`),
	"roll-out statuses": metrics.NewCounter(`goldcrest_router_store_failures_total{read="rollout_statuses"}`),
	"suspects":          metrics.NewCounter(`goldcrest_router_store_failures_total{read="suspects"}`),
}

// crashSource is how a router learned of a crash.
type crashSource int

const (
	crashOwn    crashSource = iota // its own request ended with the endpoint
	crashOfPeer                    // a datagram of a peer
	crashStored                    // a record in the store
)

// crashCounters count the crashes that a router learned of, once for each property of the
// requests that were met at one.
var crashCounters = newCounters("goldcrest_router_crashes_total", "source", map[crashSource]string{
	crashOwn: "own", crashOfPeer: "peer", crashStored: "store",
})

// peersHeard and peersAnnounced are the number of other routers that were heard recently,
// and of those with a recent announcement in the store.
var (
	peersHeard     = metrics.NewGauge("goldcrest_router_peers_heard", nil)
	peersAnnounced = metrics.NewGauge("goldcrest_router_peers_announced", nil)
)

// responseKind is how a response counts as evidence about a version.
type responseKind int

const (
	responseGood responseKind = iota
	responseFailed
	responseSlow
)

// versionOutcome is the result of an attempt at the version that is rolled out, or at
// another one.
type versionOutcome struct {
	newer bool
	kind  responseKind
}

// versionCounters count the attempts at pools with a roll-out.
var versionCounters = map[versionOutcome]*metrics.Counter{
	{true, responseGood}:    metrics.NewCounter(`goldcrest_router_rollout_responses_total{version="new",result="good"}`),
	{true, responseFailed}:  metrics.NewCounter(`goldcrest_router_rollout_responses_total{version="new",result="failed"}`),
	{true, responseSlow}:    metrics.NewCounter(`goldcrest_router_rollout_responses_total{version="new",result="slow"}`),
	{false, responseGood}:   metrics.NewCounter(`goldcrest_router_rollout_responses_total{version="old",result="good"}`),
	{false, responseFailed}: metrics.NewCounter(`goldcrest_router_rollout_responses_total{version="old",result="failed"}`),
	{false, responseSlow}:   metrics.NewCounter(`goldcrest_router_rollout_responses_total{version="old",result="slow"}`),
}

// rolloutsActive is the number of roll-outs that are ordered, and rolloutReportsFailed
// counts the reports to which the judge of one did not reply.
var (
	rolloutsActive       = metrics.NewGauge("goldcrest_router_rollouts_active", nil)
	rolloutReportsFailed = metrics.NewCounter("goldcrest_router_rollout_reports_failed_total")
)

// memoryUse is what needed bytes that the memory of all requests had not.
type memoryUse int

const (
	heldByBody   memoryUse = iota // body of a request
	heldByAnswer                  // head, body or event of an answer
)

var memoryRefusals = newCounters("goldcrest_router_memory_refused_total", "held_by", map[memoryUse]string{
	heldByBody: "request", heldByAnswer: "answer",
})

// memoryHeld is the number of bytes that requests held when that was recorded last.
var memoryHeld = metrics.NewGauge("goldcrest_router_memory_held_bytes", nil)

// causesRefused counts the requests that were refused for a property that crashes
// endpoints.
var causesRefused = metrics.NewCounter("goldcrest_router_suspects_refused_total")

// suspectRecordsDropped counts the records of refused properties that were not written to
// the store, since too many waited.
var suspectRecordsDropped = metrics.NewCounter("goldcrest_router_suspect_records_dropped_total")

// waitsExtended counts the times that a request went on waiting for a silent endpoint since
// no other one could take it over.
var waitsExtended = metrics.NewCounter("goldcrest_router_waits_extended_total")

// slotResult is what became of an attempt that needed a slot.
type slotResult int

const (
	slotStarted slotResult = iota
	slotWaited             // in the queue; counted as started or refused later
	slotRefused
)

var slotResults = newCounters("goldcrest_router_slot_requests_total", "result", map[slotResult]string{
	slotStarted: "started", slotWaited: "waited", slotRefused: "refused",
})

// slotMessage is a kind of message about slots.
type slotMessage int

const (
	slotDemand slotMessage = iota
	slotGrant
)

var slotMessages = newCounters("goldcrest_router_slot_messages_total", "kind", map[slotMessage]string{
	slotDemand: "demand", slotGrant: "grant",
})

// slotsWaiting is the number of requests that wait for a slot, and slotWaits the time for
// which attempts waited.
var (
	slotsWaiting = metrics.NewGauge("goldcrest_router_slots_waiting", nil)
	slotWaits    = metrics.NewHistogram("goldcrest_router_slot_wait_seconds")
)

// answersSkipped counts the answers to other requests that arrived before the answer to a
// request.
var answersSkipped = metrics.NewCounter("goldcrest_router_answers_skipped_total")

var malformedDatagrams = metrics.NewCounter("goldcrest_router_datagrams_malformed_total")

// serveMetrics serves the admin paths, /metrics among them, on the metrics
// address until ctx ends.
func (r *Router) serveMetrics(ctx context.Context) {
	if r.settings.Metrics == "" {
		return
	}
	l, err := listener.Listen(r.settings.Metrics)
	if err != nil {
		r.log.Error("metrics address cannot be used", "error", err.Error())
		return
	}
	bounds := program.NewChecks(r.log, "metrics", r.division.Metrics)
	go bounds.Run(ctx)
	srv := bounds.Protect(program.NewServer(program.AdminHandler(r.ready, r.status)))
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(bounds.Wrap(l)); err != nil && !errors.Is(err, http.ErrServerClosed) {
		r.log.Error("metrics server failed", "error", err.Error())
	}
}

// Status is the answer to GET /status.
type Status struct {
	Instance      string             `json:"instance"`
	ConfigVersion int64              `json:"config_version"`
	Endpoints     map[model.Pool]int `json:"endpoints"` // number of listed endpoints by pool
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
