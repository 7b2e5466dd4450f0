package side

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/admit"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// admission asks the control loop for admission, reports the progress of the
// work and its end.
type admission struct {
	loop    control.Poster
	tickets *atomic.Uint64
}

func newAdmission(loop control.Poster) admission {
	return admission{loop: loop, tickets: new(atomic.Uint64)}
}

func (admission) Name() string { return "admit" }

func (f admission) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	start := time.Now()
	ticket := admit.Ticket(f.tickets.Add(1))
	done := func() { _ = f.loop.Post(context.WithoutCancel(ctx), workDone{ticket}) }
	reply, err := control.Ask(ctx, f.loop, admitRequest{Deferred: control.NewDeferred[admitReply](), work: workOf(ticket, req)})
	if err != nil {
		done() // withdraws it if it waits or was admitted in the same moment
		return nil, model.Refuse(model.ReasonCancelled, "the caller left before admission")
	}
	if reply.refusal != nil {
		return nil, reply.refusal
	}
	req.Stages.Add(model.StageQueue, reply.waited)
	req.Stages.Add(model.StageAdmit, time.Since(start)-reply.waited)
	answer, err := next(ctx, req)
	if err != nil {
		f.noteFailure(ctx, err)
		done()
		return nil, err
	}
	answer.LoadRatio = reply.ratio
	answer.Frames = &progressReader{FrameReader: answer.Frames, loop: f.loop, ticket: ticket, chat: chatOf(req), done: done, failed: f.noteFailure}
	return answer, nil
}

func workOf(ticket admit.Ticket, req *model.Request) admit.Work {
	return admit.Work{
		Ticket: ticket, Workspace: req.Workspace, Priority: req.Priority, Retried: req.Attempt > 0,
		Cost: req.Cost, Deadline: req.Deadline,
	}
}

// chatOf returns the name under which the engine caches the chat of req.
func chatOf(req *model.Request) string {
	if req.Chat == "" {
		return ""
	}
	return req.HashKey()
}

// noteFailure reports a refused connection or a crash, which mean that the
// endpoint restarts and will be cold.
func (f admission) noteFailure(ctx context.Context, err error) {
	r := model.AsRefusal(err)
	switch {
	case r.Outcome == model.OutcomeNotRun && r.Reason == model.ReasonEndpointFailed:
		_ = f.loop.Post(context.WithoutCancel(ctx), endpointCold{evidence: coldRefused})
	case r.Reason == model.ReasonCrashed:
		_ = f.loop.Post(context.WithoutCancel(ctx), endpointCold{evidence: coldCrash})
	}
}

// progressStep is the number of frames between two progress events. At 1.6
// million tokens/s on 850 endpoints it makes 60 events a second for each.
const progressStep = 32

// progressReader tells the control loop about the first frame, the progress
// and, once, the end of the work.
type progressReader struct {
	model.FrameReader
	loop   control.Poster
	ticket admit.Ticket
	chat   string // empty if the request belongs to none
	frames int64
	done   func()
	failed func(ctx context.Context, err error)
}

// Next implements model.FrameReader.
func (r *progressReader) Next(ctx context.Context) (model.Frame, error) {
	f, err := r.FrameReader.Next(ctx)
	if err != nil {
		if !errors.Is(err, io.EOF) {
			r.failed(ctx, err)
			r.finish()
		}
		return f, err
	}
	r.frames++
	switch {
	case r.frames == 1:
		_ = r.loop.Post(context.WithoutCancel(ctx), workStarted{r.ticket, r.chat})
	case r.frames%progressStep == 0:
		r.loop.TryPost(workProgress{r.ticket, r.frames}) // the next one makes up for a lost one
	}
	if f.Kind == model.FrameEnd {
		r.finish()
	}
	return f, nil
}

// Close implements model.FrameReader.
func (r *progressReader) Close() error {
	r.finish()
	return r.FrameReader.Close()
}

func (r *progressReader) finish() {
	if r.done != nil {
		r.done()
		r.done = nil
	}
}

// closeNotifier calls done once, when the reader is closed.
type closeNotifier struct {
	model.FrameReader
	done func()
}

// Close implements model.FrameReader.
func (c *closeNotifier) Close() error {
	if c.done != nil {
		c.done()
		c.done = nil
	}
	return c.FrameReader.Close()
}
