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

// deduplicate attaches a repeat of a running or kept request to its answer. A
// new request runs on its own goroutine, so that it goes on when the caller
// leaves and comes back.
type deduplicate struct {
	loop control.Poster
	off  bool // runs every request; only for baselines
}

func (deduplicate) Name() string { return "deduplicate" }

func (f deduplicate) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	if f.off {
		return next(ctx, req)
	}
	key := replayKey(req)
	work, cancel := workContext(ctx, req)
	for replace := false; ; replace = true {
		got, err := f.attach(ctx, req, key, cancel, replace)
		if err != nil {
			cancel(nil)
			return nil, err
		}
		if got.created {
			go f.run(work, cancel, req, key, got.buffer, next)
		}
		answer, err := f.read(ctx, req, key, got.buffer)
		if eris.Is(err, replay.ErrDropped) && req.Idempotent && !replace {
			continue // the frames are gone; run again from the wanted index
		}
		if !got.created {
			cancel(nil)
		}
		if eris.Is(err, replay.ErrDropped) {
			return nil, &model.Refusal{Outcome: model.OutcomeRan, Reason: model.ReasonDuplicate, Detail: "the answer is no longer kept"}
		}
		return answer, err
	}
}

// workContext returns the context of the work itself. It ends with the
// deadline, or when the loop finds that nobody has read for the grace time.
func workContext(ctx context.Context, req *model.Request) (context.Context, context.CancelCauseFunc) {
	work, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	if req.Deadline.IsZero() {
		return work, cancel
	}
	work, stop := context.WithDeadline(work, req.Deadline)
	return work, func(cause error) {
		cancel(cause)
		stop()
	}
}

func (f deduplicate) attach(ctx context.Context, req *model.Request, key replay.Key, cancel func(error), replace bool) (attached, error) {
	ev := attachRequest{
		Question: control.NewQuestion[attached](), key: key, fingerprint: req.Fingerprint,
		handOver: req.AttemptID, cancel: cancel, replace: replace,
	}
	if !req.Idempotent {
		ev.cancel = nil // a run that must not be repeated is not cut either
	}
	got, err := control.Ask(ctx, f.loop, ev)
	if err != nil {
		return attached{}, model.Refuse(model.ReasonCancelled, "the caller left before the request was taken")
	}
	if got.refusal != nil {
		return attached{}, got.refusal
	}
	return got, nil
}

func (f deduplicate) read(ctx context.Context, req *model.Request, key replay.Key, buffer *replay.Buffer) (*model.Answer, error) {
	detach := func() { _ = f.loop.Post(context.WithoutCancel(ctx), detached{key, buffer}) }
	answer, err := buffer.Answer(ctx, req.ID, req.ResumeFrom)
	if err != nil {
		detach()
		return nil, err
	}
	answer.Frames = &closeNotifier{FrameReader: answer.Frames, done: detach}
	return answer, nil
}

// run passes the request on and writes its answer into the buffer.
func (f deduplicate) run(ctx context.Context, cancel func(error), req *model.Request, key replay.Key, buffer *replay.Buffer, next pipe.Handler) {
	defer cancel(nil)
	work := *req
	answer, err := next(ctx, &work)
	if err != nil {
		end := endOf(ctx, err)
		f.finish(ctx, runFinished{key: key, buffer: buffer, refused: refusedHandOver(req, end)})
		buffer.Refuse(end)
		return
	}
	buffer.Start(*answer, req.ResumeFrom)
	end := endOf(ctx, fill(ctx, buffer, answer.Frames))
	_ = answer.Frames.Close()
	f.finish(ctx, runFinished{key: key, buffer: buffer, bytes: buffer.Bytes(), keep: replay.Whole(end)})
	buffer.End(end)
}

// endOf returns the refusal for which the work was cancelled, or err.
func endOf(ctx context.Context, err error) error {
	var cause *model.Refusal
	if !replay.Whole(err) && eris.As(context.Cause(ctx), &cause) {
		return cause
	}
	return err
}

// fill copies frames into the buffer until their end and returns io.EOF if the
// answer is whole.
func fill(ctx context.Context, buffer *replay.Buffer, frames model.FrameReader) error {
	ended := false
	for {
		f, err := frames.Next(ctx)
		if eris.Is(err, io.EOF) && !ended {
			return &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonEndpointFailed, Detail: "the endpoint's answer has no end"}
		}
		if err != nil {
			return err
		}
		if !invariant.Check(invariant.WholeAnswer, f.Index == buffer.Next() && !ended,
			"frame %d of request %s came when %d was due", f.Index, f.Request, buffer.Next()) {
			return &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonInternal, Detail: "frames are out of order"}
		}
		buffer.Append(f)
		ended = f.Kind == model.FrameEnd
	}
}

// finish tells the loop before the caller learns the end, so that the loop knows
// a refused hand-over before any later copy of it.
func (f deduplicate) finish(ctx context.Context, ev runFinished) {
	_ = f.loop.Post(context.WithoutCancel(ctx), ev)
}

// refusedHandOver returns the hand-over if err says that it was not run.
func refusedHandOver(req *model.Request, err error) string {
	if model.AsRefusal(err).Outcome == model.OutcomeNotRun {
		return req.AttemptID
	}
	return ""
}

// replayKey names the answer of a request: the request id for idempotent ones,
// the claim's key for the others. Both are within the workspace.
func replayKey(req *model.Request) replay.Key {
	if req.Idempotent {
		return replay.Key("r\x00" + string(req.Workspace) + "\x00" + string(req.ID))
	}
	k := claim.KeyOf(req)
	return replay.Key("k" + string(k[:]))
}

// Defaults of the kept answers.
const (
	defaultKeepTime   = time.Minute
	defaultGraceTime  = 10 * time.Second
	defaultKeepAnswer = 4 << 20  // bytes; above the longest answer of 32,768 tokens with its overhead it only drops the start
	defaultKeepTotal  = 64 << 20 // bytes; a quarter of the 256 MB that a node may use
)
