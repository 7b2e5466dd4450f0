package router

import (
	"context"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/boottime"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// reserveSlot holds a slot of a pool with few of them for each attempt, until its response
// has ended.
type reserveSlot struct {
	enabled func() bool
	ask     func(context.Context, slotAsked) (slotReply, error)
	release func(ticket *slotTicket, answered bool)
}

func (reserveSlot) Name() string { return "reserve" }

func (f reserveSlot) Handle(ctx context.Context, req *Request, next handler) (*Answer, error) {
	req.Granted = ""
	if req.Route.Generation || !f.enabled() {
		return next(ctx, req)
	}
	ticket := &slotTicket{pool: req.Pool}
	answered, held := false, true
	defer func() {
		if held {
			f.release(ticket, answered)
		}
	}()
	begin := time.Now()
	reply, err := f.ask(ctx, slotAsked{Deferred: control.NewDeferred[slotReply](), ticket: ticket, priority: req.priority(),
		target: targetTime(req, begin), limit: boottime.Now() + time.Duration(waitingShare*float64(timeLeft(req, begin))), excluded: req.Excluded})
	if err != nil {
		return nil, refuseTimedOut(req)
	}
	slotWaits.UpdateDuration(begin)
	if reply.refused {
		return nil, unknownIfRun(req, refuseWithRetryAfter(model.ReasonDeadline, "no slot of the pool becomes free in time", reply.retryAfter))
	}
	req.Granted = reply.endpoint
	answer, err := next(ctx, req)
	if err == nil && answer.Events != nil {
		held = false
		answer.Events = &releaseOnClose{answer.Events, func() { f.release(ticket, true) }}
		return answer, nil
	}
	answered = err == nil
	return answer, err
}

// waitingShare is the part of its time for which a request waits for a slot at most. A
// caller that is refused then has as much left to return.
const waitingShare = 1.0 / 2

// targetTime returns the boot time of the latency target of the request, or 0 if it has none
// or that has passed.
func targetTime(req *Request, now time.Time) time.Duration {
	if t := req.Route.LatencyTarget - now.Sub(req.Arrived); req.Route.LatencyTarget > 0 && t > 0 {
		return boottime.Now() + t
	}
	return 0
}

// releaseOnClose releases the slot of a stream when the stream is closed.
type releaseOnClose struct {
	EventReader
	release func() // has an effect once only
}

func (r *releaseOnClose) Close() {
	r.EventReader.Close()
	r.release()
}
