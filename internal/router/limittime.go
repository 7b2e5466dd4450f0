package router

import (
	"context"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// setDeadline sets the deadline of a request from the caller's timeout or that of
// the route, whichever ends sooner.
type setDeadline struct{}

func (setDeadline) Name() string { return "time" }

func (setDeadline) Handle(ctx context.Context, req *Request, next handler) (*Answer, error) {
	left := req.Wait
	if t := req.Route.Timeout; t > 0 && (left == 0 || t < left) {
		left = t
	}
	if left == 0 {
		return next(ctx, req)
	}
	req.Deadline = req.Arrived.Add(left)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	answer, err := next(ctx, req)
	if err != nil || answer.Events == nil {
		cancel()
		return answer, err
	}
	answer.Events = &cancelOnClose{answer.Events, cancel}
	return answer, nil
}

// cancelOnClose releases the context of a stream when the stream is closed.
type cancelOnClose struct {
	EventReader
	cancel context.CancelFunc
}

func (c *cancelOnClose) Close() {
	c.EventReader.Close()
	c.cancel()
}

// timeLeft returns the time from now until the deadline of req, or a day if it
// has none.
func timeLeft(req *Request, now time.Time) time.Duration {
	if req.Deadline.IsZero() {
		return 24 * time.Hour
	}
	return req.Deadline.Sub(now)
}

// refuseTimedOut refuses a request whose deadline has passed.
func refuseTimedOut(req *Request) *model.Refusal {
	return unknownIfRun(req, model.Refuse(model.ReasonDeadline, "the time of the request ended"))
}

// unknownIfRun sets the outcome of r to unknown if an earlier attempt of req may
// have run, and returns r. A refusal with the outcome "not run" is a promise to the
// caller.
func unknownIfRun(req *Request, r *model.Refusal) *model.Refusal {
	if req.Runs > 0 {
		r.Outcome = model.OutcomeUnknown
	}
	return r
}
