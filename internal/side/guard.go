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

// guardSuspects refuses requests whose fingerprint is suspect: it was in flight at
// two crashes of endpoints.
type guardSuspects struct{ snapshot func() *Snapshot }

func (guardSuspects) Name() string { return "guard" }

var suspectsRefused = metrics.GetOrCreateCounter(`goldcrest_suspects_refused_total{at="side"}`)

func (f guardSuspects) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	if remaining := f.snapshot().Suspects.RemainingTime(req.Fingerprint, time.Now()); remaining > 0 {
		suspectsRefused.Inc()
		r := model.Refuse(model.ReasonSuspect, fmt.Sprintf("endpoints crashed while request %s ran", suspect.Name(req.Fingerprint)))
		r.RetryAfter = remaining
		return nil, r
	}
	return next(ctx, req)
}
