package side

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/admit"
	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// admissionState is the part of the control state for admission.
type admissionState struct {
	Admission     *admit.Controller
	listedLeaving bool // the instance list marks this instance as leaving
	limitsConfig  *config.Accepted
	pending       map[admit.Ticket]admitRequest // requests that wait for a decision
	lastReport    endpointReported              // last report of the endpoint
	transferState
}

func newAdmissionState() admissionState {
	return admissionState{Admission: admit.New(rand.Float64), pending: map[admit.Ticket]admitRequest{}}
}

// decideAdmission keeps the exact load and admits or refuses requests.
type decideAdmission struct{ settings Settings }

func (decideAdmission) Name() string { return "decide_admission" }

func (st decideAdmission) Apply(s *State, now time.Time, ev control.Event) bool {
	c := s.Admission
	st.updateController(s, now)
	var decisions []admit.Decision
	switch ev := ev.(type) {
	case admitRequest:
		s.pending[ev.work.Ticket] = ev
		decisions = c.Submit(now, ev.work)
	case workStarted:
		decisions = c.FirstToken(now, ev.ticket)
	case workProgress:
		decisions = c.Progress(now, ev.ticket, ev.tokens)
	case workDone:
		delete(s.pending, ev.ticket)
		decisions = c.Done(now, ev.ticket)
	case endpointCold:
		markCold(s, ev.evidence)
	case endpointReported:
		compareReports(s, ev)
	case listChanged:
		for _, in := range ev.changes.Instances {
			if in.ID == st.settings.Instance {
				s.listedLeaving = in.Status == instances.Leaving
			}
		}
	}
	st.updateController(s, now) // the event may have closed admission
	decisions = append(decisions, c.Step(now)...)
	replyDecisions(s, decisions)
	previousLoad := s.Load
	s.Load = c.Demand()
	return len(decisions) > 0 || s.Load != previousLoad
}

// updateController passes the limits of the configuration, the mean and the gate to
// the controller.
func (st decideAdmission) updateController(s *State, now time.Time) {
	if s.limitsConfig != s.Config {
		pool := s.Config.Lists.Pools[st.settings.Pool]
		s.Admission.SetLimits(admit.Limits{LoadMultiple: pool.LoadMultiple, Slots: pool.Slots, ColdLimit: pool.ColdLimit, WarmTime: pool.WarmTime})
		s.limitsConfig = s.Config
	}
	s.Admission.SetMean(admit.Mean(s.Mean), now)
	s.Admission.SetGate(admit.Gate{
		DataCentreOut: s.Config.Lists.DataCentres[st.settings.DataCentre].State == lists.DataCentreOut,
		Leaving:       s.listedLeaving,
		Draining:      s.isLeaving,
	})
}

// replyDecisions replies to the requests that were admitted or refused.
func replyDecisions(s *State, decisions []admit.Decision) {
	for _, d := range decisions {
		request, ok := s.pending[d.Ticket]
		if !ok {
			continue
		}
		delete(s.pending, d.Ticket)
		request.Reply(admitReply{refusal: d.Refusal, queueTime: d.QueueTime, loadRatio: s.Admission.LoadRatio()})
		result := "admitted"
		if d.Refusal != nil {
			result = string(d.Refusal.Reason)
		}
		metrics.GetOrCreateCounter(fmt.Sprintf(`goldcrest_side_admissions_total{result=%q}`, result)).Inc()
		metrics.GetOrCreateHistogram(`goldcrest_side_queue_seconds`).Update(d.QueueTime.Seconds())
	}
}

// coldEvidence names an event which shows that the endpoint is cold.
type coldEvidence string

// The evidence of a cold endpoint, besides slow first tokens.
const (
	coldRefused coldEvidence = "refused_connection"
	coldCrash   coldEvidence = "crash"
	coldRestart coldEvidence = "shorter_uptime"
	coldCache   coldEvidence = "dropped_cache"
)

func markCold(s *State, evidence coldEvidence) {
	s.Admission.MarkCold()
	metrics.GetOrCreateCounter(fmt.Sprintf(`goldcrest_side_cold_evidence_total{evidence=%q}`, evidence)).Inc()
}

// droppedCacheFraction is the fraction of its cache that an engine must have lost
// between two load reports to count as cold. Ordinary eviction replaces chats and
// keeps the cache full.
const droppedCacheFraction = 0.5

// compareReports marks the endpoint as cold if its load report shows a restart or a
// lost cache since the last one.
func compareReports(s *State, r endpointReported) {
	last := s.lastReport
	s.lastReport = r
	switch {
	case last.uptime == 0:
	case r.uptime < last.uptime:
		markCold(s, coldRestart)
	case float64(r.cacheTokens) < float64(last.cacheTokens)*(1-droppedCacheFraction):
		markCold(s, coldCache)
	}
}

// Events of admission.
type (
	// admitRequest asks for admission. The reply comes after the wait in the
	// queue, if any.
	admitRequest struct {
		control.Deferred[admitReply]
		work admit.Work
	}
	// admitReply has a nil refusal if the request is admitted.
	admitReply struct {
		refusal   *model.Refusal
		queueTime time.Duration
		loadRatio float64
	}
	// workStarted reports the first frame of the answer. cacheKey is empty if the
	// request belongs to no chat.
	workStarted struct {
		ticket   admit.Ticket
		cacheKey string
	}
	// workProgress carries the number of tokens generated so far.
	workProgress struct {
		ticket admit.Ticket
		tokens int64
	}
	// workDone ends the request of a ticket, whether it runs or is queued.
	workDone struct{ ticket admit.Ticket }
	// endpointCold reports evidence that the endpoint is cold.
	endpointCold struct{ evidence coldEvidence }
	// endpointReported carries the load report of the endpoint.
	endpointReported struct {
		uptime      time.Duration
		cacheTokens int64
	}
)

func (admitRequest) EventName() string     { return "admit_request" }
func (workStarted) EventName() string      { return "work_started" }
func (workProgress) EventName() string     { return "work_progress" }
func (workDone) EventName() string         { return "work_done" }
func (endpointCold) EventName() string     { return "endpoint_cold" }
func (endpointReported) EventName() string { return "endpoint_reported" }
