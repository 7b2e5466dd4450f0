package side

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/claim"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/invariant"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
	"github.com/goldcrestturn/goldcrestturn/internal/replay"
)

// deduplicate attaches a duplicate of a request whose answer is running or kept to
// that answer. A new request runs on its own goroutine, so that it continues when
// the caller disconnects and reconnects.
type deduplicate struct {
	loop     control.Poster
	disabled bool // runs every request; only for baselines
}

func (deduplicate) Name() string { return "deduplicate" }

func (f deduplicate) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	if f.disabled {
		return next(ctx, req)
	}
	key := replayKey(req)
	runCtx, cancel := workContext(ctx, req)
	for replaceKept := false; ; replaceKept = true {
		reply, err := f.attach(ctx, req, key, cancel, replaceKept)
		if err != nil {
			cancel(nil)
			return nil, err
		}
		if reply.created {
			go f.run(runCtx, cancel, req, key, reply.buffer, next)
		}
		answer, err := f.openAnswer(ctx, req, key, reply.buffer)
		if eris.Is(err, replay.ErrDropped) && req.Idempotent && !replaceKept {
			continue // the frames are dropped; run again from the requested index
		}
		if !reply.created {
			cancel(nil)
		}
		if eris.Is(err, replay.ErrDropped) {
			return nil, &model.Refusal{Outcome: model.OutcomeRan, Reason: model.ReasonDuplicate, Detail: "the answer is no longer kept"}
		}
		return answer, err
	}
}

// workContext returns the context in which the request runs, independent of its
// readers. It ends at the deadline, or when the control loop cancels the run because
// the answer had no reader for the grace period.
func workContext(ctx context.Context, req *model.Request) (context.Context, context.CancelCauseFunc) {
	runCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	if req.Deadline.IsZero() {
		return runCtx, cancel
	}
	runCtx, stop := context.WithDeadline(runCtx, req.Deadline)
	return runCtx, func(cause error) {
		cancel(cause)
		stop()
	}
}

// attach asks the control loop for the buffer of the answer to req.
func (f deduplicate) attach(ctx context.Context, req *model.Request, key replay.Key, cancel func(error), replaceKept bool) (attachReply, error) {
	ev := attachRequest{
		Question: control.NewQuestion[attachReply](), key: key, fingerprint: req.Fingerprint,
		attemptID: req.AttemptID, cancel: cancel, replaceKept: replaceKept,
	}
	if !req.Idempotent {
		ev.cancel = nil // a run that must not be repeated is not cancelled either
	}
	reply, err := control.Ask(ctx, f.loop, ev)
	if err != nil {
		return attachReply{}, model.Refuse(model.ReasonCancelled, "the caller left before the request was taken")
	}
	if reply.refusal != nil {
		return attachReply{}, reply.refusal
	}
	return reply, nil
}

// openAnswer returns the answer in the buffer from the requested index on. Closing it
// detaches the reader.
func (f deduplicate) openAnswer(ctx context.Context, req *model.Request, key replay.Key, buffer *replay.Buffer) (*model.Answer, error) {
	detach := func() { _ = f.loop.Post(context.WithoutCancel(ctx), readerDetached{key, buffer}) }
	answer, err := buffer.Answer(ctx, req.ID, req.ResumeFrom)
	if err != nil {
		detach()
		return nil, err
	}
	answer.Frames = &closeNotifier{FrameReader: answer.Frames, done: detach}
	return answer, nil
}

// run calls next and writes the answer into the buffer.
func (f deduplicate) run(ctx context.Context, cancel func(error), req *model.Request, key replay.Key, buffer *replay.Buffer, next pipe.Handler) {
	defer cancel(nil)
	runReq := *req
	answer, err := next(ctx, &runReq)
	if err != nil {
		end := endError(ctx, err)
		f.finish(ctx, runFinished{key: key, buffer: buffer, refusedAttempt: refusedAttemptID(req, end)})
		buffer.Refuse(end)
		return
	}
	buffer.Start(*answer, req.ResumeFrom)
	end := endError(ctx, copyFrames(ctx, buffer, answer.Frames))
	_ = answer.Frames.Close()
	f.finish(ctx, runFinished{key: key, buffer: buffer, bytes: buffer.Bytes(), keep: replay.IsComplete(end)})
	buffer.End(end)
}

// endError returns the refusal with which the run was cancelled, or err if it was
// not cancelled or the answer is complete.
func endError(ctx context.Context, err error) error {
	var cause *model.Refusal
	if !replay.IsComplete(err) && eris.As(context.Cause(ctx), &cause) {
		return cause
	}
	return err
}

// copyFrames copies frames into the buffer. It returns io.EOF if the answer is
// complete and the error that ended it otherwise.
func copyFrames(ctx context.Context, buffer *replay.Buffer, frames model.FrameReader) error {
	ended := false
	for {
		frame, err := frames.Next(ctx)
		if eris.Is(err, io.EOF) && !ended {
			return &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonEndpointFailed, Detail: "the endpoint's answer has no end"}
		}
		if err != nil {
			return err
		}
		if !invariant.Check(invariant.WholeAnswer, frame.Index == buffer.Next() && !ended,
			"received frame %d of request %s, expected frame %d", frame.Index, frame.Request, buffer.Next()) {
			return &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonInternal, Detail: "frames are out of order"}
		}
		buffer.Append(frame)
		ended = frame.Kind == model.FrameEnd
	}
}

// finish reports the end of the run to the control loop. It is called before the
// caller receives the end, so that the loop knows a refused attempt before any later
// copy of it arrives.
func (f deduplicate) finish(ctx context.Context, ev runFinished) {
	_ = f.loop.Post(context.WithoutCancel(ctx), ev)
}

// refusedAttemptID returns the id of the attempt if err says that the request was
// not run.
func refusedAttemptID(req *model.Request, err error) string {
	if model.AsRefusal(err).Outcome == model.OutcomeNotRun {
		return req.AttemptID
	}
	return ""
}

// replayKey returns the key of the answer of a request: the request id for
// idempotent requests, the key of the claim for the others. Both are scoped to the
// workspace.
func replayKey(req *model.Request) replay.Key {
	if req.Idempotent {
		return replay.Key("r\x00" + string(req.Workspace) + "\x00" + string(req.ID))
	}
	k := claim.KeyOf(req)
	return replay.Key("k" + string(k[:]))
}

// Limits on the kept answers.
const (
	defaultAnswerRetention = time.Minute
	defaultReaderGrace     = 10 * time.Second
	defaultMaxAnswerBytes  = 4 << 20  // more than the longest answer of 32,768 tokens with its overhead; a longer one only loses its start
	defaultMaxTotalBytes   = 64 << 20 // a quarter of the 256 MB that a node may use
)
