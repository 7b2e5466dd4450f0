package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/retry"
)

// mayTryNextEndpoint is mayRetry for the next endpoint of the same order. A request
// that was in flight at a crash goes back to guardSuspects, which delays it first.
func (e *Entry) mayTryNextEndpoint(ctx context.Context, req *model.Request, refusal *model.Refusal) bool {
	_, quarantined := e.loop.Snapshot().Quarantined.WaitTime(req.Fingerprint, time.Now())
	if refusal.Reason == model.ReasonCrashed || quarantined && !req.Quarantined {
		return false
	}
	return e.mayRetry(ctx, req, refusal)
}

// mayRetry reports whether a refused request may be sent again. It backs off before
// a request that may have run is executed again.
func (e *Entry) mayRetry(ctx context.Context, req *model.Request, refusal *model.Refusal) bool {
	query := retryQuery{Question: control.NewQuestion[bool](), request: req, refusal: refusal}
	ok, err := control.Ask(ctx, e.loop, query)
	if err != nil {
		return false
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`goldcrest_repeats_total{outcome=%q,allowed="%t"}`, refusal.Outcome, ok)).Inc()
	if !ok || refusal.Outcome == model.OutcomeNotRun {
		return ok
	}
	t := time.NewTimer(retry.Backoff(req.Attempt+1, e.jitter()))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Entry) jitter() float64 {
	if e.deps.Jitter != nil {
		return e.deps.Jitter()
	}
	return rand.Float64()
}
