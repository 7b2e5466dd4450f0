package router

import (
	"context"
	"log/slog"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/origin"
)

const (
	// maxSentAttempts is the maximum number of endpoints to which a request is
	// sent, including those that answer that they did not run it.
	maxSentAttempts = 3
	// noEndpointBackoff is the wait before the next attempt while no endpoint is
	// eligible. It gives a cold endpoint or one in backoff time to become eligible.
	noEndpointBackoff = 60 * time.Millisecond
	// maxUnsentAttempts bounds the attempts that end before the request is sent. An
	// early refusal is worth more to the caller than a long wait.
	maxUnsentAttempts = 3
)

// retryRequest retries a request at another endpoint after a refusal that proves
// that it did not run, or, if the route is idempotent, after a failure. The retry
// budget bounds both, except after attempts that ended before the request was
// sent, which maxUnsentAttempts bounds.
type retryRequest struct {
	allowRetry func(context.Context, *Request) bool
	log        *slog.Logger
}

func (retryRequest) Name() string { return "repeat" }

func (f retryRequest) Handle(ctx context.Context, req *Request, next handler) (*Answer, error) {
	var failed *Answer // the endpoint's error answer, returned unless a retry succeeds
	for unsent := 0; ; {
		req.trace = origin.Trace{}
		answer, err := next(ctx, req)
		retry := false
		switch {
		case err == nil && !(answer.EndpointError && req.Route.Retryable()):
			return answer, nil
		case err == nil:
			failed = answer
			retry = f.shouldRetryEndpointError(ctx, req)
		default:
			retry = f.shouldRetry(ctx, req, err, &unsent)
		}
		if retry {
			continue
		}
		if failed != nil {
			return failed, nil
		}
		return nil, err
	}
}

// shouldRetryEndpointError decides whether to retry a request that an endpoint
// answered with an error.
func (f retryRequest) shouldRetryEndpointError(ctx context.Context, req *Request) bool {
	return f.withinBudget(ctx, req, "endpoint failed", req.Runs < req.Route.Attempts && req.Sends < maxSentAttempts)
}

// shouldRetry decides whether to retry a request whose attempt ended in err. unsent
// counts the attempts that ended before the request was sent.
func (f retryRequest) shouldRetry(ctx context.Context, req *Request, err error, unsent *int) bool {
	r := model.AsRefusal(err)
	if ctx.Err() != nil {
		return false
	}
	switch {
	case r.Reason == model.ReasonNoEndpoint:
		if r.RetryAfter > maxUnsentAttempts*noEndpointBackoff {
			return false // no endpoint becomes eligible while the request waits
		}
		*unsent++
		return *unsent <= maxUnsentAttempts && control.Pause(ctx, noEndpointBackoff)
	case r.Reason == model.ReasonUnreachable && r.Outcome == model.OutcomeNotRun:
		*unsent++
		retry := *unsent <= maxUnsentAttempts
		f.logAttempt(req, r.Detail, retry, deniedIf(!retry, deniedAttempts))
		return retry
	case r.Reason == model.ReasonDeadline && r.Outcome != model.OutcomeNotRun:
		return false
	case !retryableReason(r.Reason):
		f.logAttempt(req, r.Detail, false, deniedNotRetryable)
		return false
	case r.Outcome == model.OutcomeNotRun:
		return f.withinBudget(ctx, req, r.Detail, req.Sends < maxSentAttempts)
	case !req.Route.Retryable():
		f.logAttempt(req, r.Detail, false, deniedNotIdempotent)
		return false
	default:
		return f.withinBudget(ctx, req, r.Detail, req.Runs < req.Route.Attempts)
	}
}

// Reasons for not retrying a request, as they are logged.
const (
	deniedNotRetryable  = "the refusal is not retryable"
	deniedNotIdempotent = "may run once"
	deniedAttempts      = "attempts exhausted"
	deniedBudget        = "retry budget exhausted"
)

// withinBudget takes a retry from the retry budget if attempts are left, and
// reports whether it got one.
func (f retryRequest) withinBudget(ctx context.Context, req *Request, cause string, attemptsLeft bool) bool {
	if !attemptsLeft {
		f.logAttempt(req, cause, false, deniedAttempts)
		return false
	}
	retry := f.allowRetry(ctx, req)
	f.logAttempt(req, cause, retry, deniedIf(!retry, deniedBudget))
	return retry
}

// deniedIf returns reason if denied is true, and "" otherwise.
func deniedIf(denied bool, reason string) string {
	if denied {
		return reason
	}
	return ""
}

// retryableReason reports whether another endpoint may accept a request that was
// refused for the given reason. The other reasons are the router's own, whatever an
// earlier attempt may have run.
func retryableReason(reason model.Reason) bool {
	return reason == model.ReasonOverloaded || reason == model.ReasonUnreachable || reason == model.ReasonEndpointFailed
}

// logAttempt logs a failed attempt, whether a retry follows, and if not, why.
func (f retryRequest) logAttempt(req *Request, cause string, retry bool, denied string) {
	f.log.Info("attempt failed", "request", req.ID, "endpoint", req.Endpoint.ID, "address", req.Endpoint.Address, "cause", cause,
		"status", req.trace.Status, "connection", req.trace.Connection, "reused", req.trace.Reused, "skipped", req.trace.Skipped,
		"sends", req.Sends, "runs", req.Runs, "again", retry, "denied", denied)
}
