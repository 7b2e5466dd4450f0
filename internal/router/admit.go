package router

import (
	"context"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// elsewhere is how soon a caller may come back to another router after a
// refusal by one that stops or knows nothing.
const elsewhere = 50 * time.Millisecond

// admit refuses requests of a process that stops or has no configuration.
type admit struct{ snapshot func() *Snapshot }

func (admit) Name() string { return "admit" }

func (f admit) Handle(ctx context.Context, req *Request, next handler) (*Answer, error) {
	s := f.snapshot()
	switch {
	case s.Phase == Refusing:
		return nil, later(model.ReasonDraining, "this router stops", elsewhere)
	case s.Catalog == nil || !s.Listed:
		return nil, later(model.ReasonNotConfigured, "this router has no configuration yet", elsewhere)
	}
	return next(ctx, req)
}

// later refuses a request as not run and says when to come back.
func later(reason model.Reason, detail string, after time.Duration) *model.Refusal {
	r := model.Refuse(reason, detail)
	r.RetryAfter = after
	return r
}
