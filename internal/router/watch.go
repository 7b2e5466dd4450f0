package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// timedPart is a part of a response whose time is compared between versions.
type timedPart int

// The parts.
const (
	untilFirst timedPart = iota // from sending to the first event of a stream
	untilEnd                    // from sending to the end of the response
	timedParts                  // the number of parts
)

// watchVersions reports the result of each attempt as evidence about the version of its
// endpoint.
type watchVersions struct {
	enabled bool
	report  func(versionObserved)
}

func (watchVersions) Name() string { return "watch" }

func (f watchVersions) Handle(ctx context.Context, req *Request, next handler) (*Answer, error) {
	if !f.enabled {
		return next(ctx, req)
	}
	begin := time.Now()
	// A prompt that the endpoint does not hold yet takes longer at any version, as all
	// requests do at an endpoint that has just started.
	timed := req.PendingPart == 0 && req.FetchFrom == "" && !req.coldEndpoint
	seen := versionObserved{pool: req.Pool, route: req.Route.Name, version: req.Endpoint.Version}
	answer, err := next(ctx, req)
	switch {
	case err != nil:
		if seen.failed = endpointFailed(ctx, err); seen.failed {
			f.report(seen)
		}
	case answer.Events != nil:
		answer.Events = &watchedStream{EventReader: answer.Events, ctx: ctx, begin: begin, timed: timed, seen: seen, report: f.report}
	default:
		seen.failed = answer.Status >= http.StatusInternalServerError
		if timed {
			seen.times[untilEnd] = time.Since(begin)
		}
		f.report(seen)
	}
	return answer, err
}

// endpointFailed reports whether an attempt ended in a failure of its endpoint. A refusal
// that says that the request did not run is no failure, unless the endpoint is gone.
func endpointFailed(ctx context.Context, err error) bool {
	r := model.AsRefusal(err)
	switch r.Reason {
	case model.ReasonEndpointFailed, model.ReasonUnreachable:
		return !errors.Is(ctx.Err(), context.Canceled)
	case model.ReasonDeadline:
		return r.Outcome != model.OutcomeNotRun
	}
	return false
}

// watchedStream reports the result of a stream once it has ended.
type watchedStream struct {
	EventReader
	ctx      context.Context
	begin    time.Time
	timed    bool
	begun    bool
	reported bool
	seen     versionObserved
	report   func(versionObserved)
}

func (w *watchedStream) Next() ([]byte, error) {
	event, err := w.EventReader.Next()
	switch {
	case err == nil:
		if !w.begun && !isComment(event) {
			w.begun = true
			if w.timed {
				w.seen.times[untilFirst] = time.Since(w.begin)
			}
		}
		return event, nil
	case w.reported || errors.Is(w.ctx.Err(), context.Canceled):
	case errors.Is(err, io.EOF):
		if w.timed {
			w.seen.times[untilEnd] = time.Since(w.begin)
		}
		w.finish()
	default:
		w.seen.failed = true
		w.finish()
	}
	return nil, err
}

func (w *watchedStream) finish() {
	w.reported = true
	w.report(w.seen)
}

// Close ends the stream. A caller that left before the first event may have waited too
// long, so the time until then counts.
func (w *watchedStream) Close() {
	if !w.reported {
		if w.timed && !w.begun {
			w.seen.times[untilFirst] = time.Since(w.begin)
		}
		w.finish()
	}
	w.EventReader.Close()
}

// recordVersion reports the result of an attempt to the control goroutine.
func (r *Router) recordVersion(v versionObserved) { _ = r.loop.Post(context.Background(), v) }
