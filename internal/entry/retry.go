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

// mayHandOver is mayRepeat for the next endpoint of the same order. A request
// that shares a crash goes back to guard, which holds it back first.
func (e *Entry) mayHandOver(ctx context.Context, req *model.Request, refusal *model.Refusal) bool {
	_, touched := e.loop.Snapshot().Quarantined.WaitTime(req.Fingerprint, time.Now())
	if refusal.Reason == model.ReasonCrashed || touched && !req.Quarantined {
		return false
	}
	return e.mayRepeat(ctx, req, refusal)
}

// mayRepeat reports whether a refused request may go to a further endpoint. It
// pauses before a request is executed again.
func (e *Entry) mayRepeat(ctx context.Context, req *model.Request, refusal *model.Refusal) bool {
	ask := repeatRequest{Question: control.NewQuestion[bool](), request: req, refusal: refusal}
	ok, err := control.Ask(ctx, e.loop, ask)
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
