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

// admissionState is what the admission keeps.
type admissionState struct {
	Admission   *admit.Controller
	listedOut   bool // the instance list says that this instance leaves
	admissionOf *config.Accepted
	asked       map[admit.Ticket]admitRequest // waiting for a decision
	report      endpointReported              // last report of the endpoint
	moveState
}

func newAdmissionState() admissionState {
	return admissionState{Admission: admit.New(rand.Float64), asked: map[admit.Ticket]admitRequest{}}
}

// decideAdmission counts the running work exactly and admits or refuses.
type decideAdmission struct{ settings Settings }

func (decideAdmission) Name() string { return "decide_admission" }

func (st decideAdmission) Apply(s *State, now time.Time, ev control.Event) bool {
	c := s.Admission
	st.applyState(s, now)
	var due []admit.Decision
	switch ev := ev.(type) {
	case admitRequest:
		s.asked[ev.work.Ticket] = ev
		due = c.Offer(now, ev.work)
	case workStarted:
		due = c.FirstToken(now, ev.ticket)
	case workProgress:
		due = c.Progress(now, ev.ticket, ev.tokens)
	case workDone:
		delete(s.asked, ev.ticket)
		due = c.Done(now, ev.ticket)
	case endpointCold:
		noteCold(s, ev.evidence)
	case endpointReported:
		noteReport(s, ev)
	case listChanged:
		for _, in := range ev.changes.Instances {
			if in.ID == st.settings.Instance {
				s.listedOut = in.Status == instances.Leaving
			}
		}
	}
	st.applyState(s, now) // the event may have closed the gate
	due = append(due, c.Step(now)...)
	answer(s, due)
	before := s.Load
	s.Load = c.Demand()
	return len(due) > 0 || s.Load != before
}

// applyState hands the configuration, the mean and the gate to the controller.
func (st decideAdmission) applyState(s *State, now time.Time) {
	if s.admissionOf != s.Config {
		p := s.Config.Lists.Pools[st.settings.Pool]
		s.Admission.SetLimits(admit.Limits{LoadMultiple: p.LoadMultiple, Slots: p.Slots, ColdLimit: p.ColdLimit, WarmTime: p.WarmTime})
		s.admissionOf = s.Config
	}
	s.Admission.SetMean(admit.Mean(s.Mean), now)
	s.Admission.SetGate(admit.Gate{
		DataCentreOut: s.Config.Lists.DataCentres[st.settings.DataCentre].State == lists.DataCentreOut,
		Leaving:       s.listedOut,
		Draining:      s.isLeaving,
	})
}

// answer replies to the requests that were decided on.
func answer(s *State, due []admit.Decision) {
	for _, d := range due {
		ask, ok := s.asked[d.Ticket]
		if !ok {
			continue
		}
		delete(s.asked, d.Ticket)
		ask.Reply(admitReply{refusal: d.Refusal, waited: d.QueueTime, ratio: s.Admission.LoadRatio()})
		result := "admitted"
		if d.Refusal != nil {
			result = string(d.Refusal.Reason)
		}
		metrics.GetOrCreateCounter(fmt.Sprintf(`goldcrest_side_admissions_total{result=%q}`, result)).Inc()
		metrics.GetOrCreateHistogram(`goldcrest_side_queue_seconds`).Update(d.QueueTime.Seconds())
	}
}

// coldEvidence says what showed that the endpoint is cold.
type coldEvidence string

// The kinds of evidence besides a late first token.
const (
	coldRefused coldEvidence = "refused_connection"
	coldCrash   coldEvidence = "crash"
	coldRestart coldEvidence = "shorter_uptime"
	coldCache   coldEvidence = "dropped_cache"
)

func noteCold(s *State, e coldEvidence) {
	s.Admission.MarkCold()
	metrics.GetOrCreateCounter(fmt.Sprintf(`goldcrest_side_cold_evidence_total{evidence=%q}`, e)).Inc()
}

// droppedCachePart is the part of its cache that an engine must have lost
// between two reports to count as cold. Ordinary eviction replaces chats and
// keeps the cache full.
const droppedCachePart = 0.5

// noteReport compares two reports of the endpoint.
func noteReport(s *State, r endpointReported) {
	last := s.report
	s.report = r
	switch {
	case last.uptime == 0:
	case r.uptime < last.uptime:
		noteCold(s, coldRestart)
	case float64(r.cacheTokens) < float64(last.cacheTokens)*(1-droppedCachePart):
		noteCold(s, coldCache)
	}
}

// Events of the admission.
type (
	// admitRequest asks for admission. The reply comes after a wait in the
	// queue, if need be.
	admitRequest struct {
		control.Deferred[admitReply]
		work admit.Work
	}
	// admitReply carries a nil refusal if the work may run.
	admitReply struct {
		refusal *model.Refusal
		waited  time.Duration
		ratio   float64
	}
	// workStarted tells that the first frame arrived.
	workStarted struct {
		ticket admit.Ticket
		chat   string
	}
	// workProgress tells how many tokens have been generated so far.
	workProgress struct {
		ticket admit.Ticket
		tokens int64
	}
	// workDone ends the work of a ticket, waiting work included.
	workDone struct{ ticket admit.Ticket }
	// endpointCold tells that the endpoint must be cold.
	endpointCold struct{ evidence coldEvidence }
	// endpointReported carries the endpoint's own report.
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
