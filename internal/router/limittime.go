package router

import (
	"context"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// limitTime sets the time of the final answer: the end of the caller's wait or
// of the route's timeout, whichever is sooner.
type limitTime struct{}

func (limitTime) Name() string { return "time" }

func (limitTime) Handle(ctx context.Context, req *Request, next handler) (*Answer, error) {
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
	answer.Events = &cancelling{answer.Events, cancel}
	return answer, nil
}

// cancelling releases the deadline of a stream when it is closed.
type cancelling struct {
	EventReader
	cancel context.CancelFunc
}

func (c *cancelling) Close() {
	c.EventReader.Close()
	c.cancel()
}

// untilDeadline returns the time left at now, or a day if there is no deadline.
func untilDeadline(req *Request, now time.Time) time.Duration {
	if req.Deadline.IsZero() {
		return 24 * time.Hour
	}
	return req.Deadline.Sub(now)
}

// timedOut refuses a request whose time ended.
func timedOut(req *Request) *model.Refusal {
	return truly(req, model.Refuse(model.ReasonDeadline, "the time of the request ended"))
}

// truly returns r with what is known about the execution of req: a refusal as
// not run is a promise, which an earlier attempt that may have run breaks.
func truly(req *Request, r *model.Refusal) *model.Refusal {
	if req.Runs > 0 {
		r.Outcome = model.OutcomeUnknown
	}
	return r
}
