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

// Bounds on the recovery of one answer.
const (
	// maxRecoveries covers the loss of a side, of its successor and a few lost
	// connections.
	maxRecoveries = 6
	// recoveryDelay gives the instance list or a restarted side time to catch up.
	recoveryDelay = 50 * time.Millisecond
)

// resumeFunc asks the side of an endpoint for the rest of an answer.
type resumeFunc func(ctx context.Context, req *model.Request, endpoint model.EndpointID, from int) (*model.Answer, error)

// relay checks that the frames of an answer belong to its request, have no gaps
// and end with an end frame. It drops duplicates and frames of other requests, and
// resumes an interrupted answer at the next index.
type relay struct {
	resume   resumeFunc
	mayRetry func(ctx context.Context, req *model.Request, refusal *model.Refusal) bool // asks the retry budget
	disabled bool                                                                       // passes frames through unchecked; only for baselines
}

func (relay) Name() string { return "relay" }

func (f relay) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	if f.disabled {
		return next(ctx, req)
	}
	ctx, cancel := f.withDeadline(ctx, req)
	r := &relayReader{relay: f, ctx: ctx, cancel: cancel, req: req, next: next, index: req.ResumeFrom}
	answer, err := next(ctx, req)
	if err != nil {
		cancel()
		return nil, err
	}
	r.source, r.endpoint = answer.Frames, answer.Endpoint
	answer.Frames = r
	return answer, nil
}

func (relay) withDeadline(ctx context.Context, req *model.Request) (context.Context, context.CancelFunc) {
	if req.Deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, req.Deadline)
}

// relayReader reads the answer of one request. It checks the frames and recovers
// from interruptions.
type relayReader struct {
	relay
	ctx        context.Context // ends with the request's deadline; bounds the connections to sides
	cancel     context.CancelFunc
	req        *model.Request
	next       pipe.Handler
	source     model.FrameReader
	endpoint   model.EndpointID
	index      int // index of the next frame
	ended      bool
	recoveries int
}

// Next implements model.FrameReader.
func (r *relayReader) Next(ctx context.Context) (model.Frame, error) {
	for {
		if r.ended {
			return model.Frame{}, io.EOF
		}
		f, err := r.source.Next(ctx)
		if err == nil {
			switch {
			case f.Request != r.req.ID:
				countDroppedFrame("foreign")
				continue
			case f.Index < r.index:
				countDroppedFrame("duplicate")
				continue
			case f.Index == r.index:
				r.accept(f)
				return f, nil
			}
			countDroppedFrame("gap")
			err = eris.Errorf("entry: frame %d came when %d was due", f.Index, r.index)
		}
		if err := r.recover(err); err != nil {
			return model.Frame{}, err
		}
	}
}

func (r *relayReader) accept(f model.Frame) {
	invariant.Check(invariant.WholeAnswer, f.Request == r.req.ID && f.Index == r.index,
		"relayed frame %d of request %s, expected frame %d of request %s", f.Index, f.Request, r.index, r.req.ID)
	r.index++
	r.ended = f.Kind == model.FrameEnd
}

// recover replaces the source of an interrupted answer, or returns the refusal
// that ends the answer.
func (r *relayReader) recover(cause error) error {
	_ = r.source.Close()
	if eris.Is(cause, io.EOF) {
		cause = eris.New("entry: answer ended before its end frame")
	}
	if r.ctx.Err() != nil || r.recoveries >= maxRecoveries {
		return truncatedRefusal(cause)
	}
	r.recoveries++
	answer, err := r.resume(r.ctx, r.req, r.endpoint, r.index)
	if err == nil {
		countRecovery("resume")
	} else if !r.req.Idempotent {
		r.req.MayHaveRun = true
		return truncatedRefusal(cause)
	} else if answer, err = r.retry(cause); err != nil {
		return err
	}
	r.source, r.endpoint = answer.Frames, answer.Endpoint
	return nil
}

// retry sends an idempotent request again, to resume at the next index. A stream
// that a draining side ended is migrated: it is retried until its deadline as long
// as no other endpoint has worked on it, since a planned stop must not interrupt
// it. Any other retry needs the retry budget.
func (r *relayReader) retry(cause error) (*model.Answer, error) {
	lastRefusal := model.AsRefusal(cause)
	migrating := lastRefusal.Reason == model.ReasonDraining
	for ; migrating || r.recoveries < maxRecoveries; r.recoveries++ {
		if !migrating && !r.mayRetry(r.ctx, r.req, lastRefusal) {
			break
		}
		retried := *r.req
		retried.ResumeFrom, retried.Attempt, retried.Target = r.index, 0, ""
		answer, err := r.next(r.ctx, &retried)
		if err == nil {
			countRecovery("forward")
			return answer, nil
		}
		lastRefusal = model.AsRefusal(err)
		migrating = migrating && lastRefusal.Outcome == model.OutcomeNotRun
		if !control.Pause(r.ctx, max(recoveryDelay<<min(r.recoveries, maxRecoveries), lastRefusal.RetryAfter)) {
			break
		}
	}
	return nil, truncatedRefusal(lastRefusal)
}

// truncatedRefusal returns the refusal for an answer that could not be completed.
// An endpoint has worked on the request, so the outcome is never "not run".
func truncatedRefusal(cause error) *model.Refusal {
	r := *model.AsRefusal(cause)
	if r.Outcome == model.OutcomeNotRun || r.Reason == model.ReasonInternal {
		r.Outcome, r.Reason = model.OutcomeUnknown, model.ReasonUnreachable
	}
	return &r
}

// Close implements model.FrameReader.
func (r *relayReader) Close() error {
	defer r.cancel()
	return r.source.Close()
}

func countDroppedFrame(kind string) {
	metrics.GetOrCreateCounter(`goldcrest_relay_frames_dropped_total{kind="` + kind + `"}`).Inc()
}

func countRecovery(way string) {
	metrics.GetOrCreateCounter(`goldcrest_relay_recoveries_total{way="` + way + `"}`).Inc()
}
