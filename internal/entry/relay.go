package entry

import (
	"context"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/invariant"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// Bounds on the repair of one answer.
const (
	// maxRecoveries covers the loss of a side, of its successor and a few cuts
	// of connections.
	maxRecoveries = 6
	// recoveryPause lets an endpoint list or a restarted side catch up.
	recoveryPause = 50 * time.Millisecond
)

// resumer asks the side process of an endpoint for the rest of an answer.
type resumer func(ctx context.Context, req *model.Request, endpoint model.EndpointID, from int) (*model.Answer, error)

// relay checks that the frames of an answer are those of its request, without
// gaps and with an end. It drops duplicates and frames of other requests, and
// goes on from the next index after a cut.
type relay struct {
	resume resumer
	repeat func(ctx context.Context, req *model.Request, refusal *model.Refusal) bool // asks the retry budget
	off    bool                                                                       // passes frames through unchecked; only for baselines
}

func (relay) Name() string { return "relay" }

func (f relay) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	if f.off {
		return next(ctx, req)
	}
	ctx, cancel := f.bound(ctx, req)
	r := &relayFrames{relay: f, ctx: ctx, cancel: cancel, req: req, next: next, index: req.ResumeFrom}
	answer, err := next(ctx, req)
	if err != nil {
		cancel()
		return nil, err
	}
	r.source, r.endpoint = answer.Frames, answer.Endpoint
	answer.Frames = r
	return answer, nil
}

func (relay) bound(ctx context.Context, req *model.Request) (context.Context, context.CancelFunc) {
	if req.Deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, req.Deadline)
}

// relayFrames is the checked and repaired answer of one request.
type relayFrames struct {
	relay
	ctx      context.Context // ends with the request's deadline; bounds the connections to sides
	cancel   context.CancelFunc
	req      *model.Request
	next     pipe.Handler
	source   model.FrameReader
	endpoint model.EndpointID
	index    int // of the next frame
	ended    bool
	tries    int
}

// Next implements model.FrameReader.
func (r *relayFrames) Next(ctx context.Context) (model.Frame, error) {
	for {
		if r.ended {
			return model.Frame{}, io.EOF
		}
		f, err := r.source.Next(ctx)
		if err == nil {
			switch {
			case f.Request != r.req.ID:
				countFrame("foreign")
				continue
			case f.Index < r.index:
				countFrame("duplicate")
				continue
			case f.Index == r.index:
				r.accept(f)
				return f, nil
			}
			countFrame("gap")
			err = eris.Errorf("entry: frame %d came when %d was due", f.Index, r.index)
		}
		if err := r.recover(err); err != nil {
			return model.Frame{}, err
		}
	}
}

func (r *relayFrames) accept(f model.Frame) {
	invariant.Check(invariant.WholeAnswer, f.Request == r.req.ID && f.Index == r.index,
		"frame %d of request %s passed when frame %d of %s was due", f.Index, f.Request, r.index, r.req.ID)
	r.index++
	r.ended = f.Kind == model.FrameEnd
}

// recover replaces the source after a cut, or returns the refusal that ends
// the answer.
func (r *relayFrames) recover(cause error) error {
	_ = r.source.Close()
	if eris.Is(cause, io.EOF) {
		cause = eris.New("entry: answer ended before its end frame")
	}
	if r.ctx.Err() != nil || r.tries >= maxRecoveries {
		return cutRefusal(cause)
	}
	r.tries++
	answer, err := r.resume(r.ctx, r.req, r.endpoint, r.index)
	if err == nil {
		countRecovery("resume")
	} else if !r.req.Idempotent {
		r.req.MayHaveRun = true
		return cutRefusal(cause)
	} else if answer, err = r.forwardAgain(cause); err != nil {
		return err
	}
	r.source, r.endpoint = answer.Frames, answer.Endpoint
	return nil
}

// forwardAgain hands an idempotent request over again, from the next index. A
// stream that a draining side gave up is moved: it is offered until its deadline
// as long as no endpoint has worked on it again, since a planned stop must not
// cut it. Any other repeat needs the retry budget.
func (r *relayFrames) forwardAgain(cause error) (*model.Answer, error) {
	last := model.AsRefusal(cause)
	moved := last.Reason == model.ReasonDraining
	for ; moved || r.tries < maxRecoveries; r.tries++ {
		if !moved && !r.repeat(r.ctx, r.req, last) {
			break
		}
		again := *r.req
		again.ResumeFrom, again.Attempt, again.Target = r.index, 0, ""
		answer, err := r.next(r.ctx, &again)
		if err == nil {
			countRecovery("forward")
			return answer, nil
		}
		last = model.AsRefusal(err)
		moved = moved && last.Outcome == model.OutcomeNotRun
		if !control.Pause(r.ctx, max(recoveryPause<<min(r.tries, maxRecoveries), last.RetryAfter)) {
			break
		}
	}
	return nil, cutRefusal(last)
}

// cutRefusal is the refusal of an answer that could not be completed. Some
// endpoint has worked on it, so it is never "not run".
func cutRefusal(cause error) *model.Refusal {
	r := *model.AsRefusal(cause)
	if r.Outcome == model.OutcomeNotRun || r.Reason == model.ReasonInternal {
		r.Outcome, r.Reason = model.OutcomeUnknown, model.ReasonUnreachable
	}
	return &r
}

// Close implements model.FrameReader.
func (r *relayFrames) Close() error {
	defer r.cancel()
	return r.source.Close()
}

func countFrame(kind string) {
	metrics.GetOrCreateCounter(`goldcrest_relay_frames_dropped_total{kind="` + kind + `"}`).Inc()
}

func countRecovery(way string) {
	metrics.GetOrCreateCounter(`goldcrest_relay_recoveries_total{way="` + way + `"}`).Inc()
}
