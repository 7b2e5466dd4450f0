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
		limit: boottime.Now() + usefulTime(req, begin), excluded: req.Excluded})
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

// usefulTime returns how long the request may wait for its answer: until its latency
// target, or until its deadline once that has passed. A pool without a free slot serves
// other requests in time instead of one that would be late.
func usefulTime(req *Request, now time.Time) time.Duration {
	left := timeLeft(req, now)
	if t := req.Route.LatencyTarget - now.Sub(req.Arrived); t > 0 {
		left = min(left, t)
	}
	return left
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
