package side

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

// guard refuses requests that coincided with crashes of endpoints.
type guard struct{ snapshot func() *Snapshot }

func (guard) Name() string { return "guard" }

var suspectsRefused = metrics.GetOrCreateCounter(`goldcrest_suspects_refused_total{at="side"}`)

func (f guard) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	if left := f.snapshot().Suspects.RemainingTime(req.Fingerprint, time.Now()); left > 0 {
		suspectsRefused.Inc()
		r := model.Refuse(model.ReasonSuspect, fmt.Sprintf("endpoints crashed while request %s ran", suspect.Name(req.Fingerprint)))
		r.RetryAfter = left
		return nil, r
	}
	return next(ctx, req)
}
