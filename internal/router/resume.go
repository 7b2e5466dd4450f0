package router

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
)

// resume lets a stream whose endpoint failed go on at another one, behind the
// last event that the caller got. The answer keeps the head of its first
// endpoint.
type resume struct {
	repeat func(context.Context, *Request) bool
	log    *slog.Logger
}

func (resume) Name() string { return "resume" }

func (f resume) Handle(ctx context.Context, req *Request, next handler) (*Answer, error) {
	answer, err := next(ctx, req)
	if err != nil || answer.Events == nil || !req.Route.Resumable {
		return answer, err
	}
	answer.Events = &resuming{f: f, ctx: ctx, req: req, next: next, now: answer.Events}
	return answer, nil
}

type resuming struct {
	f    resume
	ctx  context.Context
	req  *Request
	next handler
	now  EventReader
}

func (r *resuming) Next() ([]byte, error) {
	for {
		event, err := r.now.Next()
		if err == nil {
			if id := eventID(event); id != "" {
				r.req.LastEvent = id
			}
			return event, nil
		}
		if errors.Is(err, io.EOF) {
			return nil, err
		}
		if !r.goOn(err) {
			return nil, err
		}
	}
}

// goOn has another endpoint continue the stream and reports whether one does.
func (r *resuming) goOn(cause error) bool {
	r.now.Close()
	if r.ctx.Err() != nil || r.req.Runs >= r.req.Route.Attempts || !r.f.repeat(r.ctx, r.req) {
		return false
	}
	from := r.req.Endpoint.ID
	answer, err := r.next(r.ctx, r.req)
	r.f.log.Info("stream resumed", "request", r.req.ID, "from", from, "to", r.req.Endpoint.ID,
		"behind_event", r.req.LastEvent, "cause", cause.Error(), "resumed", err == nil)
	if err != nil {
		return false
	}
	if answer.Status != http.StatusOK || answer.Events == nil {
		return false
	}
	r.now = answer.Events
	return true
}

func (r *resuming) Close() { r.now.Close() }
