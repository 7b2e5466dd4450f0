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

// maxKeptAnswer bounds the body of an answer that is appended to the log for
// repeats. A repeat of a request with a larger answer is told that it ran.
const maxKeptAnswer = 32 << 10

// claimTokens numbers the calls of this process.
var claimTokens atomic.Uint64

// claimRun lets a non-idempotent request pass only after the own claim record
// was read back as the first record of its key.
type claimRun struct {
	loop control.Poster
	off  bool // lets every request pass; only for baselines
}

func (claimRun) Name() string { return "claim" }

func (f claimRun) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	if req.Idempotent || f.off {
		return next(ctx, req)
	}
	call := claim.Call{Token: claimTokens.Add(1), Key: claim.KeyOf(req), Fingerprint: req.Fingerprint, Takeover: req.Takeover}
	d, err := control.Ask(ctx, f.loop, claimRequest{Deferred: control.NewDeferred[claim.Decision](), call: call})
	if err != nil {
		f.post(ctx, claimCancelled{call})
		return nil, &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonDeadline, Detail: "the claim was not decided in time"}
	}
	if d.Refusal != nil {
		return nil, d.Refusal
	}
	if !d.Run {
		return keptAnswer(req, d.Answer), nil
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
	finish := func(outcome model.Outcome, kept *claim.Answer) {
		f.post(ctx, claimFinished{call: call, outcome: outcome, answer: kept})
	}
	answer.Frames = &resultRecorder{FrameReader: answer.Frames, answer: answer, finish: finish}
	return answer, nil
}

// post hands an event to the loop even if the request's context has ended.
func (f claimRun) post(ctx context.Context, ev control.Event) {
	_ = f.loop.Post(context.WithoutCancel(ctx), ev)
}

func keptAnswer(req *model.Request, a *claim.Answer) *model.Answer {
	return &model.Answer{
		Request: req.ID, Status: a.Status, ContentType: a.ContentType,
		Stages: req.Stages, Frames: endpointapi.BodyFrames(req.ID, a.Body),
	}
}

// resultRecorder reports the result of a run when its answer ends.
type resultRecorder struct {
	model.FrameReader
	answer   *model.Answer
	finish   func(model.Outcome, *claim.Answer)
	body     []byte
	large    bool
	finished bool
}

func (r *resultRecorder) Next(ctx context.Context) (model.Frame, error) {
	f, err := r.FrameReader.Next(ctx)
	switch {
	case err != nil:
		r.end(model.OutcomeUnknown, nil)
	case f.Kind == model.FrameEnd && r.large:
		r.end(model.OutcomeRan, nil)
	case f.Kind == model.FrameEnd:
		r.end(model.OutcomeRan, &claim.Answer{Status: r.answer.Status, ContentType: r.answer.ContentType, Body: r.body})
	case len(r.body)+len(f.Data) > maxKeptAnswer:
		r.large, r.body = true, nil
	case !r.large:
		r.body = append(r.body, f.Data...)
	}
	return f, err
}

func (r *resultRecorder) Close() error {
	r.end(model.OutcomeUnknown, nil)
	return r.FrameReader.Close()
}

func (r *resultRecorder) end(outcome model.Outcome, kept *claim.Answer) {
	if !r.finished {
		r.finished = true
		r.finish(outcome, kept)
	}
}
