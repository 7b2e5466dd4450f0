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

// watchCrash sees the endpoint crash under a request. It holds the failed
// answer back until the entries know of the crash, so that a caller that sends
// the request again cannot be faster than the notice.
type watchCrash struct{ side *Side }

func (watchCrash) Name() string { return "watch_crash" }

var crashesSeen = metrics.GetOrCreateCounter(`goldcrest_endpoint_crashes_total`)

func (f watchCrash) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	loop := f.side.loop
	if err := loop.Post(ctx, runStarted{id: req.ID, fingerprint: req.Fingerprint}); err != nil {
		return nil, model.Refuse(model.ReasonCancelled, "the caller left before the run")
	}
	ended := func() { _ = loop.Post(context.WithoutCancel(ctx), runEnded{id: req.ID}) }
	answer, err := next(ctx, req)
	if err != nil {
		err = f.side.noteFailure(ctx, req, err)
		ended()
		return nil, err
	}
	answer.Frames = &closeNotifier{done: ended, FrameReader: &crashNotifier{FrameReader: answer.Frames, side: f.side, req: req}}
	return answer, nil
}

// crashNotifier sees a crash in the middle of an answer.
type crashNotifier struct {
	model.FrameReader
	side *Side
	req  *model.Request
}

func (c *crashNotifier) Next(ctx context.Context) (model.Frame, error) {
	f, err := c.FrameReader.Next(ctx)
	if err != nil && !errors.Is(err, io.EOF) {
		err = c.side.noteFailure(ctx, c.req, err)
	}
	return f, err
}

// noteFailure records a crash if err shows one, and names it in the refusal.
func (p *Side) noteFailure(ctx context.Context, req *model.Request, err error) error {
	refusal := model.AsRefusal(err)
	ran := refusal.Reason == model.ReasonCrashed
	dead := refusal.Reason == model.ReasonEndpointFailed && refusal.Outcome == model.OutcomeNotRun
	if ctx.Err() != nil || !ran && !dead {
		return err
	}
	v, askErr := control.Ask(ctx, p.loop, crashSeen{Question: control.NewQuestion[crashVerdict](), id: req.ID, ran: ran})
	if askErr != nil || v.crash.ID == "" {
		return err
	}
	if v.mine {
		crashesSeen.Inc()
		p.log.Warn("endpoint crashed", "crash", v.crash.ID, "requests", len(v.crash.Fingerprints))
		p.spreadCrash(ctx, v)
	} else if v.done != nil {
		<-v.done
	}
	if !ran {
		return err
	}
	named := *refusal
	named.Crash = v.crash.ID
	return &named
}

// spreadWait bounds the time for which an answer is held back while the entries
// hear of a crash. Three hops within a region take a few milliseconds.
const spreadWait = 800 * time.Millisecond

// spreadCrash tells the entries and the other sides of the pool over the trees,
// and the log.
func (p *Side) spreadCrash(ctx context.Context, v crashVerdict) {
	ctx = context.WithoutCancel(ctx)
	select {
	case p.crashes <- v.crash:
	default: // the log is down and the queue full; the exchange carries the crash
	}
	spread := make(chan struct{}, len(v.first))
	for tree, first := range v.first {
		go func() {
			args := exchange.CrashArgs{Crash: exchange.FromCrash(v.crash, time.Now()), Pool: string(p.settings.Pool), Tree: tree, WaitMS: (spreadWait - spreadWait/4).Milliseconds()}
			p.node.Broadcast(ctx, []member.Hop{first}, exchange.MethodCrash, args, spreadWait)
			spread <- struct{}{}
		}()
	}
	for range v.first {
		<-spread
	}
	_ = p.loop.Post(ctx, crashSpread{id: v.crash.ID})
}

// Pause and queue of the appends of crashes.
const (
	appendPause  = time.Second
	crashesQueue = 64
)

// appendCrashes appends crashes to the log, each until it succeeds or no longer
// counts.
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
		case <-time.After(appendPause):
		}
	}
}
