package router

import (
	"context"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// defaultRetryAfter is how soon a refused caller may retry, at another router if
// this one is stopping or has no configuration.
const defaultRetryAfter = 50 * time.Millisecond

// admit refuses requests while this router has no configuration or instance list
// yet, and in the last phase of a planned stop.
type admit struct{ snapshot func() *Snapshot }

func (admit) Name() string { return "admit" }

func (f admit) Handle(ctx context.Context, req *Request, next handler) (*Answer, error) {
	s := f.snapshot()
	switch {
	case s.Phase == Refusing:
		return nil, refuseWithRetryAfter(model.ReasonDraining, "this router stops", defaultRetryAfter)
	case s.Catalog == nil || !s.Listed:
		return nil, refuseWithRetryAfter(model.ReasonNotConfigured, "this router has no configuration yet", defaultRetryAfter)
	}
	return next(ctx, req)
}

// refuseWithRetryAfter refuses a request as not run and sets the time after which
// the caller may retry it.
func refuseWithRetryAfter(reason model.Reason, detail string, retryAfter time.Duration) *model.Refusal {
	r := model.Refuse(reason, detail)
	r.RetryAfter = retryAfter
	return r
}
