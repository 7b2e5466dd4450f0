package router

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
)

// resumeStream continues a stream whose endpoint failed at another endpoint, after
// the last event that the caller received. The caller sees the status and header
// of the first endpoint only.
type resumeStream struct {
	allowRetry func(context.Context, *Request) bool
	log        *slog.Logger
}

func (resumeStream) Name() string { return "resume" }

func (f resumeStream) Handle(ctx context.Context, req *Request, next handler) (*Answer, error) {
	answer, err := next(ctx, req)
	if err != nil || answer.Events == nil || !req.Route.Resumable {
		return answer, err
	}
	answer.Events = &resumableStream{filter: f, ctx: ctx, req: req, next: next, current: answer.Events}
	return answer, nil
}

// resumableStream reads the events of an endpoint and, after a failure, those of the
// endpoint at which the stream was resumed.
type resumableStream struct {
	filter  resumeStream
	ctx     context.Context
	req     *Request
	next    handler
	current EventReader
}

func (r *resumableStream) Next() ([]byte, error) {
	for {
		event, err := r.current.Next()
		if err == nil {
			if id := eventID(event); id != "" {
				r.req.LastEvent = id
			}
			return event, nil
		}
		if errors.Is(err, io.EOF) {
			return nil, err
		}
		if !r.resume(err) {
			return nil, err
		}
	}
}

// resume retries the request at another endpoint and reports whether that endpoint
// continues the stream.
func (r *resumableStream) resume(cause error) bool {
	r.current.Close()
	if r.ctx.Err() != nil || r.req.Runs >= r.req.Route.Attempts || !r.filter.allowRetry(r.ctx, r.req) {
		return false
	}
	from := r.req.Endpoint.ID
	answer, err := r.next(r.ctx, r.req)
	r.filter.log.Info("stream resumed", "request", r.req.ID, "from", from, "to", r.req.Endpoint.ID,
		"behind_event", r.req.LastEvent, "cause", cause.Error(), "resumed", err == nil)
	if err != nil {
		return false
	}
	if answer.Status != http.StatusOK || answer.Events == nil {
		return false
	}
	r.current = answer.Events
	return true
}

func (r *resumableStream) Close() { r.current.Close() }
