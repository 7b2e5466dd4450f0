package router

import (
	"context"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// matchRoute finds the route of a request and the pool that serves it. A
// process that may have missed a configuration does not deny a route.
type matchRoute struct {
	snapshot func() *Snapshot
	draw     func() float64
	fresh    func(*Snapshot) bool
}

func (matchRoute) Name() string { return "route" }

func (f matchRoute) Handle(ctx context.Context, req *Request, next handler) (*Answer, error) {
	s := f.snapshot()
	req.Route = s.Catalog.Match(req.Host, req.Path)
	if req.Route == nil {
		if !f.fresh(s) {
			return nil, later(model.ReasonNotConfigured, "the configuration is too old to deny a route", elsewhere)
		}
		return nil, model.Refuse(model.ReasonNoRoute, "no route has this host and path")
	}
	req.Pool = req.Route.PickPool(f.draw())
	return next(ctx, req)
}
