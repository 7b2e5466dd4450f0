package router

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/admission"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// shedRequest refuses requests that an overloaded pool cannot serve in time, before they
// reach an endpoint, and reports how the others end.
type shedRequest struct {
	enabled    bool
	decide     func(context.Context, *Request) (admission.Decision, error)
	retryAfter func(context.Context, *Request) time.Duration
	firstEvent func(ticket uint64)
	end        func(ticket uint64, outcome admission.Outcome)
}

func (shedRequest) Name() string { return "shed" }

func (f shedRequest) Handle(ctx context.Context, req *Request, next handler) (*Answer, error) {
	if !f.enabled {
		return next(ctx, req)
	}
	d, err := f.decide(ctx, req)
	if err != nil {
		return next(ctx, req)
	}
	admissionCounters[d.Reason].Inc()
	if !d.Admit {
		return nil, refuseWithRetryAfter(model.ReasonOverloaded, "the pool is overloaded: "+string(d.Reason), d.RetryAfter)
	}
	answer, err := next(ctx, req)
	switch {
	case err != nil:
		return nil, f.endRefused(ctx, req, d.Ticket, err)
	case answer.Events == nil:
		f.end(d.Ticket, admission.Answered)
	default:
		answer.Events = &admittedStream{EventReader: answer.Events, filter: f, ticket: d.Ticket}
	}
	return answer, nil
}

// endRefused reports an admitted request that got no answer. If nothing ran, its caller is
// told when to return as one that was not admitted.
func (f shedRequest) endRefused(ctx context.Context, req *Request, ticket uint64, err error) error {
	r := model.AsRefusal(err)
	if r.Outcome != model.OutcomeNotRun {
		f.end(ticket, admission.Abandoned)
		return err
	}
	f.end(ticket, admission.NotRun)
	if r.Reason != model.ReasonOverloaded && r.Reason != model.ReasonNoEndpoint {
		return err
	}
	if wait := f.retryAfter(ctx, req); wait > r.RetryAfter {
		told := *r
		told.RetryAfter = wait
		return &told
	}
	return err
}

// admittedStream reports the first event and the end of the answer to an admitted request.
type admittedStream struct {
	EventReader
	filter       shedRequest
	ticket       uint64
	begun, ended bool
}

func (s *admittedStream) Next() ([]byte, error) {
	event, err := s.EventReader.Next()
	switch {
	case err == nil && !s.begun && !isComment(event):
		s.begun = true
		s.filter.firstEvent(s.ticket)
	case errors.Is(err, io.EOF):
		s.finish(admission.Answered)
	}
	return event, err
}

func (s *admittedStream) Close() {
	s.EventReader.Close()
	if s.begun {
		s.finish(admission.Answered)
	} else {
		s.finish(admission.Abandoned)
	}
}

func (s *admittedStream) finish(outcome admission.Outcome) {
	if !s.ended {
		s.ended = true
		s.filter.end(s.ticket, outcome)
	}
}

// decideAdmission asks the control goroutine whether to admit a request.
func (r *Router) decideAdmission(ctx context.Context, req *Request) (admission.Decision, error) {
	// An admitted request is counted until it ends, so the decision must always arrive.
	return control.Ask(context.WithoutCancel(ctx), r.loop, admissionAsked{Question: control.NewQuestion[admission.Decision](), request: r.admissionRequest(req)})
}

// admissionRetryAfter asks the control goroutine when the caller of a request that
// endpoints refused is to return; 0 if the pool is not overloaded.
func (r *Router) admissionRetryAfter(ctx context.Context, req *Request) time.Duration {
	wait, err := control.Ask(ctx, r.loop, returnAsked{Question: control.NewQuestion[time.Duration](), request: r.admissionRequest(req)})
	if err != nil {
		return 0
	}
	return wait
}

func (r *Router) admissionRequest(req *Request) admission.Request {
	out := admission.Request{Pool: req.Pool, Route: req.Route.Name, Priority: req.priority(), Left: timeLeft(req, time.Now()), Wait: req.Wait, Target: req.Route.LatencyTarget, Random: r.random()}
	if req.Workspace != nil {
		out.Workspace = req.Workspace.Name
	}
	return out
}

// recordFirstEvent reports that the answer to an admitted request has begun.
func (r *Router) recordFirstEvent(ticket uint64) {
	_ = r.loop.Post(context.Background(), admittedBegan{ticket})
}

// recordAdmittedEnd reports how an admitted request ended.
func (r *Router) recordAdmittedEnd(ticket uint64, outcome admission.Outcome) {
	_ = r.loop.Post(context.Background(), admittedEnded{ticket, outcome})
}

// admissionCounters count the decisions on requests.
var admissionCounters = newCounters("goldcrest_router_admission_total", "decision", map[admission.Reason]string{
	admission.NoOverload: "no_overload", admission.Admitted: "admitted", admission.CapacityFree: "capacity_free", admission.LoadUnknown: "load_unknown",
	admission.LessUrgent: "less_urgent", admission.FairShare: "fair_share", admission.BoundReached: "bound_reached", admission.TooLate: "too_late",
})

// retriesShed counts the retries that were denied since the pool was overloaded.
var retriesShed = metrics.NewCounter("goldcrest_router_admission_retries_denied_total")
