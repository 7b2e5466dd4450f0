package router

import (
	"context"
	"log/slog"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// maxSends bounds the endpoints that are offered a request, those included
	// that say that they did not run it.
	maxSends = 3
	// noEndpointPause lets a cold endpoint's next share or a pause pass.
	noEndpointPause = 60 * time.Millisecond
	// noEndpointTries bounds the pauses; a refusal in time is worth more to the
	// caller than a long wait.
	noEndpointTries = 3
)

// repeat sends a request to a further endpoint: after a refusal that says that
// it did not run, or, if it is idempotent, after a failure. The retry budget
// bounds both.
type repeat struct {
	may func(context.Context, *Request) bool
	log *slog.Logger
}

func (repeat) Name() string { return "repeat" }

func (f repeat) Handle(ctx context.Context, req *Request, next handler) (*Answer, error) {
	var kept *Answer // the endpoint's own failure, which a repeat may replace
	for tries := 0; ; {
		answer, err := next(ctx, req)
		again := false
		switch {
		case err == nil && !(answer.EndpointError && req.Route.Retryable()):
			return answer, nil
		case err == nil:
			kept = answer
			again = f.againAfterFailure(ctx, req)
		default:
			again = f.again(ctx, req, err, &tries)
		}
		if again {
			continue
		}
		if kept != nil {
			return kept, nil
		}
		return nil, err
	}
}

// againAfterFailure decides whether a repeat may replace an endpoint's failure.
func (f repeat) againAfterFailure(ctx context.Context, req *Request) bool {
	return f.allow(ctx, req, "endpoint failed", req.Runs < req.Route.Attempts && req.Sends < maxSends)
}

// again decides whether a refused request goes to a further endpoint.
func (f repeat) again(ctx context.Context, req *Request, err error, tries *int) bool {
	r := model.AsRefusal(err)
	if ctx.Err() != nil {
		return false
	}
	switch {
	case r.Reason == model.ReasonNoEndpoint:
		*tries++
		return *tries <= noEndpointTries && control.Pause(ctx, noEndpointPause)
	case r.Reason == model.ReasonUnreachable && r.Outcome == model.OutcomeNotRun:
		*tries++
		again := *tries <= noEndpointTries
		f.note(req, r.Detail, again, deniedIf(!again, deniedAttempts))
		return again
	case r.Outcome == model.OutcomeNotRun && !retryable(r.Reason):
		f.note(req, r.Detail, false, deniedReason)
		return false
	case r.Outcome == model.OutcomeNotRun:
		return f.allow(ctx, req, r.Detail, req.Sends < maxSends)
	case r.Reason == model.ReasonDeadline:
		return false
	case !req.Route.Retryable():
		f.note(req, r.Detail, false, deniedOnce)
		return false
	default:
		return f.allow(ctx, req, r.Detail, req.Runs < req.Route.Attempts)
	}
}

// Why a request is not sent to a further endpoint, as logs say it.
const (
	deniedReason   = "no endpoint would take it"
	deniedOnce     = "may run once"
	deniedAttempts = "attempts used up"
	deniedBudget   = "retry budget used up"
)

// allow asks the retry budget for a repeat, unless the attempts are used up.
func (f repeat) allow(ctx context.Context, req *Request, cause string, left bool) bool {
	if !left {
		f.note(req, cause, false, deniedAttempts)
		return false
	}
	again := f.may(ctx, req)
	f.note(req, cause, again, deniedIf(!again, deniedBudget))
	return again
}

func deniedIf(denied bool, why string) string {
	if denied {
		return why
	}
	return ""
}

// retryable reports whether another endpoint may take what one refused.
func retryable(reason model.Reason) bool {
	return reason == model.ReasonOverloaded || reason == model.ReasonUnreachable
}

func (f repeat) note(req *Request, cause string, again bool, denied string) {
	f.log.Info("attempt failed", "request", req.ID, "endpoint", req.Endpoint.ID, "cause", cause,
		"sends", req.Sends, "runs", req.Runs, "again", again, "denied", denied)
}
