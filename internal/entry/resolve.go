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
	// the owner again. The claim keeps it from running twice.
	maxResends = 3
	// resendPause lets a new owner take over and a result reach the log.
	resendPause = 200 * time.Millisecond
	// voidTime bounds the void and its reading back after the deadline.
	voidTime = 5 * time.Second
	// maxWholeAnswer bounds the answer of a non-idempotent request, in bytes.
	maxWholeAnswer = 2 << 20
	// entryShare is the part of the fleet's append budget for voids.
	entryShare = 0.2
)

// resolve turns an unknown outcome of a non-idempotent request into what the
// log says. It reads answers whole, so that a cut is found before the caller
// gets a part of it.
type resolve struct {
	logs   logsvc.Log
	budget *logsvc.Budget
	resume resumer
	off    bool // reports "not run" without a void; only to show that the check fails
}

func (resolve) Name() string { return "resolve" }

func (f resolve) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	if req.Idempotent {
		return next(ctx, req)
	}
	limited, cancel := relay{}.bound(ctx, req)
	defer cancel()
	answer, err := f.send(limited, req, next)
	if err == nil {
		return answer, nil
	}
	r := model.AsRefusal(err)
	if r.Outcome == model.OutcomeRan || r.Outcome == model.OutcomeNotRun && !req.MayHaveRun {
		return nil, r
	}
	if f.off {
		return nil, model.Refuse(r.Reason, r.Detail)
	}
	if ctx.Err() != nil {
		return nil, r // the caller has left and gets no outcome
	}
	return f.settle(ctx, req, r)
}

// send hands the request over, and again while its outcome is unknown.
func (f resolve) send(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	for try := 0; ; try++ {
		answer, err := next(ctx, req)
		if err == nil {
			answer, err = whole(ctx, answer)
		}
		if err == nil {
			return answer, nil
		}
		r := model.AsRefusal(err)
		if r.Outcome == model.OutcomeUnknown {
			req.MayHaveRun = true
		}
		if r.Outcome == model.OutcomeRan || !req.MayHaveRun || try == maxResends {
			return nil, r
		}
		if answer := f.resumed(ctx, req); answer != nil {
			return answer, nil
		}
		if !control.Pause(ctx, max(resendPause, r.RetryAfter)) {
			return nil, r
		}
	}
}

// resumed asks the side that was tried last for the running or kept answer.
func (f resolve) resumed(ctx context.Context, req *model.Request) *model.Answer {
	answer, err := f.resume(ctx, req, req.Target, 0)
	if err != nil {
		return nil
	}
	answer, _ = whole(ctx, answer)
	return answer
}

// whole reads an answer to its end.
func whole(ctx context.Context, a *model.Answer) (*model.Answer, error) {
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
		if err != nil || f.Index > next || len(body)+len(f.Data) > maxWholeAnswer {
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

// settle appends a void and reports what the log then says about the key.
func (f resolve) settle(ctx context.Context, req *model.Request, unknown *model.Refusal) (*model.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, voidTime)
	defer cancel()
	key := claim.KeyOf(req)
	if !f.budget.WaitFor(ctx, voidTime/2) {
		countVoid("no_budget")
		return nil, unknownOutcome(unknown)
	}
	id := rand.Text()
	job := claim.Job{Partition: key.Partition(), RecordID: id, Items: []claim.Item{{Kind: claim.KindVoid, ID: id, Key: key}}}
	fold := claim.NewFold(claim.Limits{Keys: 1, AnswerBytes: maxWholeAnswer})
	res := claim.RunJob(ctx, f.logs, job, func(b claim.Batch) { fold.ApplyBatch(b.ForKey(key)) })
	if res.ReadErr != nil || res.Append.State != logsvc.AppendDone {
		countVoid("log_failed")
		return nil, unknownOutcome(unknown)
	}
	return f.outcome(req, fold.Lookup(key), unknown)
}

// outcome reports the state of the key after the own void was read back.
func (resolve) outcome(req *model.Request, s *claim.KeyState, unknown *model.Refusal) (*model.Answer, error) {
	switch {
	case s == nil: // the claim was given back before the void was read
		countVoid("released")
		return nil, unknownOutcome(unknown)
	case s.Void():
		countVoid("won")
		invariant.Check(invariant.NotRunIsTrue, s.Outcome == "" && s.Answer == nil, "voided key has the outcome %s", s.Outcome)
		return nil, model.Refuse(model.ReasonVoided, "the request was stopped before it ran; send again with a new key")
	case s.Fingerprint != req.Fingerprint:
		return nil, unknownOutcome(unknown)
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
	return nil, unknownOutcome(unknown)
}

func unknownOutcome(r *model.Refusal) *model.Refusal {
	out := *r
	out.Outcome = model.OutcomeUnknown
	return &out
}

func countVoid(result string) {
	metrics.GetOrCreateCounter(`goldcrest_voids_total{result="` + result + `"}`).Inc()
}
