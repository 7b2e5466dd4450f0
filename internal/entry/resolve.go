package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/claim"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/invariant"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// Bounds on the work for a request whose outcome is unknown.
const (
	// maxResends bounds how often a request with an unknown outcome is sent to
	// the owner again. The claim prevents a second run.
	maxResends = 3
	// resendDelay leaves time for a new owner to take over and for a result to
	// reach the log.
	resendDelay = 200 * time.Millisecond
	// voidTimeout bounds the append and the read-back of a void, which may follow
	// the deadline of the request.
	voidTimeout = 5 * time.Second
	// maxBufferedAnswerBytes bounds the answer of a non-idempotent request.
	maxBufferedAnswerBytes = 2 << 20
	// voidBudgetShare is the share of the fleet's append budget that all entries
	// together use for voids.
	voidBudgetShare = 0.2
)

// resolveOutcome replaces an unknown outcome of a non-idempotent request with the
// outcome that is in the log. It buffers complete answers, so that a truncated one is
// detected before the caller gets a part of it.
type resolveOutcome struct {
	logs     logsvc.Log
	budget   *logsvc.Budget
	resume   resumeFunc
	disabled bool // reports "not run" without a void; only to show that the check then fails
}

func (resolveOutcome) Name() string { return "resolve" }

func (f resolveOutcome) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	if req.Idempotent {
		return next(ctx, req)
	}
	deadlineCtx, cancel := relay{}.withDeadline(ctx, req)
	defer cancel()
	answer, err := f.send(deadlineCtx, req, next)
	if err == nil {
		return answer, nil
	}
	r := model.AsRefusal(err)
	if r.Outcome == model.OutcomeRan || r.Outcome == model.OutcomeNotRun && !req.MayHaveRun {
		return nil, r
	}
	if f.disabled {
		return nil, model.Refuse(r.Reason, r.Detail)
	}
	if ctx.Err() != nil {
		return nil, r // the caller has cancelled and gets no outcome
	}
	return f.voidAndReadBack(ctx, req, r)
}

// send sends the request, and resends it while its outcome is unknown.
func (f resolveOutcome) send(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	for resends := 0; ; resends++ {
		answer, err := next(ctx, req)
		if err == nil {
			answer, err = bufferAnswer(ctx, answer)
		}
		if err == nil {
			return answer, nil
		}
		r := model.AsRefusal(err)
		if r.Outcome == model.OutcomeUnknown {
			req.MayHaveRun = true
		}
		if r.Outcome == model.OutcomeRan || !req.MayHaveRun || resends == maxResends {
			return nil, r
		}
		if answer := f.resumeAnswer(ctx, req); answer != nil {
			return answer, nil
		}
		if !control.Pause(ctx, max(resendDelay, r.RetryAfter)) {
			return nil, r
		}
	}
}

// resumeAnswer asks the side that was tried last for the running or kept answer. It
// returns nil if it gets no complete answer.
func (f resolveOutcome) resumeAnswer(ctx context.Context, req *model.Request) *model.Answer {
	answer, err := f.resume(ctx, req, req.Target, 0)
	if err != nil {
		return nil
	}
	answer, _ = bufferAnswer(ctx, answer)
	return answer
}

// bufferAnswer reads an answer to its end and returns it with the body buffered.
func bufferAnswer(ctx context.Context, a *model.Answer) (*model.Answer, error) {
	defer a.Frames.Close()
	var body []byte
	next, ended := 0, false
	for {
		f, err := a.Frames.Next(ctx)
		if errors.Is(err, io.EOF) && ended {
			out := *a
			out.Frames = endpointapi.BodyFrames(a.Request, body)
			return &out, nil
		}
		if err != nil || f.Index > next || len(body)+len(f.Data) > maxBufferedAnswerBytes {
			return nil, &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonUnreachable, Detail: "the answer was cut"}
		}
		if f.Request != a.Request || f.Index < next {
			continue
		}
		body = append(body, f.Data...)
		next++
		ended = f.Kind == model.FrameEnd
	}
}

// voidAndReadBack appends a void for the key of req and reports the outcome that
// is then in the log.
func (f resolveOutcome) voidAndReadBack(ctx context.Context, req *model.Request, unknown *model.Refusal) (*model.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, voidTimeout)
	defer cancel()
	key := claim.KeyOf(req)
	if !f.budget.WaitFor(ctx, voidTimeout/2) {
		countVoid("no_budget")
		return nil, asUnknownOutcome(unknown)
	}
	id := rand.Text()
	job := claim.Job{Partition: key.Partition(), RecordID: id, Items: []claim.Item{{Kind: claim.KindVoid, ID: id, Key: key}}}
	fold := claim.NewFold(claim.Limits{Keys: 1, AnswerBytes: maxBufferedAnswerBytes})
	res := claim.RunJob(ctx, f.logs, job, func(b claim.Batch) { fold.ApplyBatch(b.ForKey(key)) })
	if res.ReadErr != nil || res.Append.State != logsvc.AppendDone {
		countVoid("log_failed")
		return nil, asUnknownOutcome(unknown)
	}
	return f.outcomeAfterVoid(req, fold.Lookup(key), unknown)
}

// outcomeAfterVoid reports the outcome by the state of the key after this entry's
// void was read back.
func (resolveOutcome) outcomeAfterVoid(req *model.Request, s *claim.KeyState, unknown *model.Refusal) (*model.Answer, error) {
	switch {
	case s == nil: // the claim was released before the void was read
		countVoid("released")
		return nil, asUnknownOutcome(unknown)
	case s.Void():
		countVoid("won")
		invariant.Check(invariant.NotRunIsTrue, s.Outcome == "" && s.Answer == nil, "voided key has the outcome %s", s.Outcome)
		return nil, model.Refuse(model.ReasonVoided, "the request was stopped before it ran; send again with a new key")
	case s.Fingerprint != req.Fingerprint:
		return nil, asUnknownOutcome(unknown)
	case s.Answer != nil:
		countVoid("answered")
		return &model.Answer{
			Request: req.ID, Status: s.Answer.Status, ContentType: s.Answer.ContentType,
			Stages: req.Stages, Frames: endpointapi.BodyFrames(req.ID, s.Answer.Body),
		}, nil
	case s.Outcome == model.OutcomeRan:
		countVoid("ran")
		return nil, &model.Refusal{Outcome: model.OutcomeRan, Reason: model.ReasonDuplicate, Detail: "the request ran; its answer is not kept"}
	}
	countVoid("lost")
	return nil, asUnknownOutcome(unknown)
}

func asUnknownOutcome(r *model.Refusal) *model.Refusal {
	out := *r
	out.Outcome = model.OutcomeUnknown
	return &out
}

func countVoid(result string) {
	metrics.GetOrCreateCounter(`goldcrest_voids_total{result="` + result + `"}`).Inc()
}
