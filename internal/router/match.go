package router

import (
	"context"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// matchRoute finds the route of a request and picks the pool that serves it. If
// the configuration is stale, a missing route may have been added since, so the
// request gets a refusal that the caller can retry.
type matchRoute struct {
	snapshot func() *Snapshot
	random   func() float64
	fresh    func(*Snapshot) bool
}

func (matchRoute) Name() string { return "route" }

func (f matchRoute) Handle(ctx context.Context, req *Request, next handler) (*Answer, error) {
	s := f.snapshot()
	req.Route = s.Catalog.Match(req.Host, req.Path)
	if req.Route == nil {
		if !f.fresh(s) {
			return nil, refuseWithRetryAfter(model.ReasonNotConfigured, "the configuration is too old to deny a route", defaultRetryAfter)
		}
		return nil, model.Refuse(model.ReasonNoRoute, "no route has this host and path")
	}
	req.Pool = req.Route.PickPool(f.random())
	return next(ctx, req)
}
