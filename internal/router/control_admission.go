package router

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/admission"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
)

// Events of the admission stage.
type (
	// admissionAsked asks whether to admit a request.
	admissionAsked struct {
		control.Question[admission.Decision]
		request admission.Request
	}
	// returnAsked asks when the caller of a request that endpoints refused is to return.
	returnAsked struct {
		control.Question[time.Duration]
		request admission.Request
	}
	// admittedBegan says that the answer to an admitted request has begun.
	admittedBegan struct{ ticket uint64 }
	// admittedEnded says how an admitted request ended.
	admittedEnded struct {
		ticket  uint64
		outcome admission.Outcome
	}
	// demandQuery asks for the demand that this router reports to its peers.
	demandQuery struct {
		control.Question[[]admission.Report]
		interval time.Duration // until the next report
	}
)

func (admissionAsked) EventName() string { return "admission_asked" }
func (returnAsked) EventName() string    { return "return_asked" }
func (admittedBegan) EventName() string  { return "admitted_began" }
func (admittedEnded) EventName() string  { return "admitted_ended" }
func (demandQuery) EventName() string    { return "demand_asked" }

// admissionState is the control state of the admission stage.
type admissionState struct {
	*admission.Controller
	interval time.Duration // between two reports of demand
	shownAt  time.Time     // when the metrics were last set
	logged   map[model.Pool]admission.Status
	loggedAt map[model.Pool]time.Time
	centres  map[model.Pool]map[model.DataCentre]bool // that have a metric
}

// newAdmission returns the admission state that belongs to s.
func newAdmission(s *State) *admissionState {
	a := &admissionState{interval: place.LoadReportInterval(0), logged: map[model.Pool]admission.Status{}, loggedAt: map[model.Pool]time.Time{}, centres: map[model.Pool]map[model.DataCentre]bool{}}
	a.Controller = admission.New(func(now time.Time, pool model.Pool) admission.Load {
		l := s.table.PoolLoad(now, pool)
		live := s.table.LivePeerCount(now)
		peers := live
		if live == 0 {
			peers = s.table.Routers(now) - 1
		}
		return admission.Load{Slots: l.Slots, Taken: l.Taken, Waiting: l.Waiting, Stated: l.Stated, Routers: 1 + peers, Live: live, Interval: place.LoadReportInterval(peers), ReportInterval: a.interval}
	}, hashName)
	return a
}

// hashName returns the hash that stands for a pool or a workspace in reports of demand.
func hashName(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// admitRequests decides on requests while a pool is overloaded.
type admitRequests struct{ log *slog.Logger }

func (admitRequests) Name() string { return "admission" }

func (f admitRequests) Apply(s *State, now time.Time, ev control.Event) bool {
	a := s.admission
	if a == nil {
		return false
	}
	switch e := ev.(type) {
	case admissionAsked:
		e.request.Plain = !s.catalog.Pools[e.request.Pool].Engine
		e.Reply(a.Decide(now, e.request))
		f.show(s, now)
	case returnAsked:
		e.Reply(a.RetryAfter(now, e.request))
	case admittedBegan:
		a.FirstEvent(now, e.ticket)
	case admittedEnded:
		a.End(now, e.ticket, e.outcome)
	case requestEnded:
		if e.result == place.Refused {
			if ep, ok := s.table.Lookup(e.endpoint); ok {
				a.Rejected(now, ep.Pool)
			}
		}
	case peerMessage:
		if e.leaving {
			a.Drop(e.name)
		} else if len(e.demand) > 0 {
			a.Hear(now, e.name, e.demand)
		}
	case demandQuery:
		a.interval = e.interval
		e.Reply(a.Reports(now))
	case settingsRead:
		a.SetEnabled(e.settings.Admission)
	}
	return false
}

const (
	// showInterval is the interval at which the metrics of pools are set.
	showInterval = time.Second
	// overloadLogInterval is the interval at which the state of an overloaded pool is
	// logged.
	overloadLogInterval = 5 * time.Second
)

// show sets the metrics of the pools and logs when a pool becomes overloaded, and how it
// stands while it is.
func (f admitRequests) show(s *State, now time.Time) {
	a := s.admission
	if now.Sub(a.shownAt) < showInterval {
		return
	}
	a.shownAt = now
	for _, st := range a.Status() {
		for name, value := range map[string]float64{
			"threshold": st.Threshold, "taken_ratio": st.Taken, "waiting_ratio": st.Waiting, "target_ratio": st.Occupancy,
			"late_ratio": st.Late, "rejected_ratio": st.Rejected, "router_share": st.Share,
		} {
			metrics.GetOrCreateGauge(fmt.Sprintf("%s{pool=%q}", admissionGauges[name], st.Pool), nil).Set(value)
		}
		f.showSlots(s, now, st.Pool)
		was := a.logged[st.Pool]
		switch {
		case st.Active && (!was.Active || now.Sub(a.loggedAt[st.Pool]) >= overloadLogInterval):
			f.log.Warn("pool overloaded", "pool", st.Pool, "threshold", st.Threshold, "taken", st.Taken, "waiting", st.Waiting, "target", st.Occupancy,
				"late", st.Late, "rejected", st.Rejected, "in_flight", st.InFlight, "share", st.Share, "peers", st.Peers)
		case !st.Active && was.Active:
			f.log.Info("pool no longer overloaded", "pool", st.Pool)
		default:
			continue
		}
		a.logged[st.Pool], a.loggedAt[st.Pool] = st, now
	}
}

// showSlots sets the number of slots of a pool in each data centre. One that is lost keeps
// its metric, at 0.
func (f admitRequests) showSlots(s *State, now time.Time, pool model.Pool) {
	slots := s.table.SlotsByDataCentre(now, pool)
	known := s.admission.centres[pool]
	if known == nil {
		known = map[model.DataCentre]bool{}
		s.admission.centres[pool] = known
	}
	for dc := range slots {
		known[dc] = true
	}
	for dc := range known {
		metrics.GetOrCreateGauge(fmt.Sprintf("goldcrest_router_admission_slots{pool=%q,data_centre=%q}", pool, dc), nil).Set(slots[dc])
	}
}

// admissionGauges are the names of the metrics of a pool.
var admissionGauges = map[string]string{
	"threshold":      "goldcrest_router_admission_threshold",
	"taken_ratio":    "goldcrest_router_admission_taken_ratio",
	"waiting_ratio":  "goldcrest_router_admission_waiting_ratio",
	"target_ratio":   "goldcrest_router_admission_target_ratio",
	"late_ratio":     "goldcrest_router_admission_late_ratio",
	"rejected_ratio": "goldcrest_router_admission_rejected_ratio",
	"router_share":   "goldcrest_router_admission_router_share",
}

const (
	// wholeDemandPeers is the number of peers up to which demand goes with each load
	// report. With more, it is sent as rarely as demandBytesPerSecond requires.
	wholeDemandPeers     = 64
	demandBytesPerSecond = 1500
	// demandBytes is about the size of the demand in a report while two pools are
	// overloaded.
	demandBytes = 60
)

// demandInterval returns the interval between two reports of demand to a number of peers.
func demandInterval(peers int) time.Duration {
	interval := place.LoadReportInterval(peers)
	if peers > wholeDemandPeers {
		interval = max(interval, time.Duration(peers*demandBytes)*time.Second/demandBytesPerSecond)
	}
	return interval
}

// demand returns the demand that is due in a load report now.
func (p *peerLink) demand(ctx context.Context, now time.Time) []admission.Report {
	interval := demandInterval(p.peers.Len())
	if !p.r.deps.Features.Admission || now.Sub(p.demandAt) < interval-reportSlack {
		return nil
	}
	out, err := control.Ask(ctx, p.r.loop, demandQuery{Question: control.NewQuestion[[]admission.Report](), interval: interval})
	if err != nil {
		return nil
	}
	p.demandAt = now
	return out
}
