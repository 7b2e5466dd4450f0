package side

import (
	"context"
	"sync/atomic"

	"github.com/goldcrestturn/goldcrestturn/internal/claim"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// maxStoredAnswerBytes bounds the body of an answer that is appended to the log for
// duplicates. A duplicate of a request with a larger answer only learns that the
// request ran.
const maxStoredAnswerBytes = 32 << 10

// claimTokens is the source of the tokens that identify the calls of this process.
var claimTokens atomic.Uint64

// requireClaim lets a non-idempotent request pass only after the claim record of
// this side was read back as the first record of its key.
type requireClaim struct {
	loop     control.Poster
	disabled bool // every request passes; only for baselines
}

func (requireClaim) Name() string { return "claim" }

func (f requireClaim) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	if req.Idempotent || f.disabled {
		return next(ctx, req)
	}
	call := claim.Call{Token: claimTokens.Add(1), Key: claim.KeyOf(req), Fingerprint: req.Fingerprint, Takeover: req.Takeover}
	decision, err := control.Ask(ctx, f.loop, claimRequest{Deferred: control.NewDeferred[claim.Decision](), call: call})
	if err != nil {
		f.post(ctx, claimCancelled{call})
		return nil, &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonDeadline, Detail: "the claim was not decided in time"}
	}
	if decision.Refusal != nil {
		return nil, decision.Refusal
	}
	if !decision.Run {
		return storedAnswer(req, decision.Answer), nil
	}
	if ctx.Err() != nil {
		f.post(ctx, claimCancelled{call})
		return nil, model.Refuse(model.ReasonDeadline, "the deadline passed before the run")
	}
	answer, err := next(ctx, req)
	if err != nil {
		f.post(ctx, claimFinished{call: call, outcome: model.AsRefusal(err).Outcome})
		return nil, err
	}
	finish := func(outcome model.Outcome, stored *claim.Answer) {
		f.post(ctx, claimFinished{call: call, outcome: outcome, answer: stored})
	}
	answer.Frames = &resultRecorder{FrameReader: answer.Frames, answer: answer, finish: finish}
	return answer, nil
}

// post sends an event to the control loop even if the request's context has ended.
func (f requireClaim) post(ctx context.Context, ev control.Event) {
	_ = f.loop.Post(context.WithoutCancel(ctx), ev)
}

func storedAnswer(req *model.Request, stored *claim.Answer) *model.Answer {
	return &model.Answer{
		Request: req.ID, Status: stored.Status, ContentType: stored.ContentType,
		Stages: req.Stages, Frames: endpointapi.BodyFrames(req.ID, stored.Body),
	}
}

// resultRecorder reports the outcome of a run, once, when its answer ends or is
// closed.
type resultRecorder struct {
	model.FrameReader
	answer   *model.Answer
	finish   func(model.Outcome, *claim.Answer)
	body     []byte
	tooLarge bool
	recorded bool
}

func (r *resultRecorder) Next(ctx context.Context) (model.Frame, error) {
	frame, err := r.FrameReader.Next(ctx)
	switch {
	case err != nil:
		r.record(model.OutcomeUnknown, nil)
	case frame.Kind == model.FrameEnd && r.tooLarge:
		r.record(model.OutcomeRan, nil)
	case frame.Kind == model.FrameEnd:
		r.record(model.OutcomeRan, &claim.Answer{Status: r.answer.Status, ContentType: r.answer.ContentType, Body: r.body})
	case len(r.body)+len(frame.Data) > maxStoredAnswerBytes:
		r.tooLarge, r.body = true, nil
	case !r.tooLarge:
		r.body = append(r.body, frame.Data...)
	}
	return frame, err
}

func (r *resultRecorder) Close() error {
	r.record(model.OutcomeUnknown, nil)
	return r.FrameReader.Close()
}

func (r *resultRecorder) record(outcome model.Outcome, stored *claim.Answer) {
	if !r.recorded {
		r.recorded = true
		r.finish(outcome, stored)
	}
}
