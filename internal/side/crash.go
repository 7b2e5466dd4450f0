package side

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/member"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

// watchCrash detects a crash of the endpoint while a request runs. It delays the
// refusal until the entries have the crash notice, so that a retry by the caller
// cannot overtake the notice.
type watchCrash struct{ side *Side }

func (watchCrash) Name() string { return "watch_crash" }

var endpointCrashes = metrics.GetOrCreateCounter(`goldcrest_endpoint_crashes_total`)

func (f watchCrash) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	loop := f.side.loop
	if err := loop.Post(ctx, runStarted{id: req.ID, fingerprint: req.Fingerprint}); err != nil {
		return nil, model.Refuse(model.ReasonCancelled, "the caller left before the run")
	}
	end := func() { _ = loop.Post(context.WithoutCancel(ctx), runEnded{id: req.ID}) }
	answer, err := next(ctx, req)
	if err != nil {
		err = f.side.recordCrash(ctx, req, err)
		end()
		return nil, err
	}
	answer.Frames = &closeNotifier{done: end, FrameReader: &crashReader{FrameReader: answer.Frames, side: f.side, req: req}}
	return answer, nil
}

// crashReader detects a crash in the middle of an answer.
type crashReader struct {
	model.FrameReader
	side *Side
	req  *model.Request
}

func (c *crashReader) Next(ctx context.Context) (model.Frame, error) {
	frame, err := c.FrameReader.Next(ctx)
	if err != nil && !errors.Is(err, io.EOF) {
		err = c.side.recordCrash(ctx, c.req, err)
	}
	return frame, err
}

// recordCrash records a crash if err shows one, and broadcasts it unless another
// request does. It returns err, with the crash named in it if the request may have
// run.
func (p *Side) recordCrash(ctx context.Context, req *model.Request, err error) error {
	refusal := model.AsRefusal(err)
	ran := refusal.Reason == model.ReasonCrashed
	unreachable := refusal.Reason == model.ReasonEndpointFailed && refusal.Outcome == model.OutcomeNotRun
	if ctx.Err() != nil || !ran && !unreachable {
		return err
	}
	reply, askErr := control.Ask(ctx, p.loop, crashObserved{Question: control.NewQuestion[crashReply](), id: req.ID, ran: ran})
	if askErr != nil || reply.crash.ID == "" {
		return err
	}
	if reply.broadcast {
		endpointCrashes.Inc()
		p.log.Warn("endpoint crashed", "crash", reply.crash.ID, "requests", len(reply.crash.Fingerprints))
		p.broadcastCrash(ctx, reply)
	} else if reply.done != nil {
		<-reply.done
	}
	if !ran {
		return err
	}
	named := *refusal
	named.Crash = reply.crash.ID
	return &named
}

// crashBroadcastTimeout bounds the time for which a refusal is delayed by the
// broadcast of a crash notice. Three hops within a region take a few milliseconds.
const crashBroadcastTimeout = 800 * time.Millisecond

// broadcastCrash sends the crash notice to the entries and the other sides of the
// pool over the broadcast trees, and queues the crash for the log.
func (p *Side) broadcastCrash(ctx context.Context, reply crashReply) {
	ctx = context.WithoutCancel(ctx)
	select {
	case p.crashes <- reply.crash:
	default: // the log is down and the queue full; the control exchange still carries the crash
	}
	sent := make(chan struct{}, len(reply.firstHops))
	for tree, hop := range reply.firstHops {
		go func() {
			args := exchange.CrashArgs{Crash: exchange.FromCrash(reply.crash, time.Now()), Pool: string(p.settings.Pool), Tree: tree, WaitMS: (crashBroadcastTimeout - crashBroadcastTimeout/4).Milliseconds()}
			p.node.Broadcast(ctx, []member.Hop{hop}, exchange.MethodCrash, args, crashBroadcastTimeout)
			sent <- struct{}{}
		}()
	}
	for range reply.firstHops {
		<-sent
	}
	_ = p.loop.Post(ctx, crashBroadcastDone{id: reply.crash.ID})
}

// Bounds on appending crashes to the log.
const (
	crashAppendBackoff = time.Second
	crashQueueSize     = 64
)

// appendCrashes appends the queued crashes to the log until ctx ends.
func (p *Side) appendCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-p.crashes:
			p.appendCrash(ctx, c)
		}
	}
}

// appendCrash retries the append until it succeeds or the crash has expired.
func (p *Side) appendCrash(ctx context.Context, c suspect.Crash) {
	data, err := suspect.Encode(c)
	if err != nil {
		p.log.Warn("crash cannot be encoded", "crash", c.ID, "error", err)
		return
	}
	for time.Since(c.At) < suspect.Lifetime && ctx.Err() == nil {
		if _, err = p.deps.Logs.Append(ctx, suspect.Stream, data); err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(crashAppendBackoff):
		}
	}
}
