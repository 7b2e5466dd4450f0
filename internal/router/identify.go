package router

import (
	"context"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// identify finds the workspace that holds the caller's key. Keys count only
// while the configuration is known to be in force; send checks that again.
type identify struct {
	snapshot func() *Snapshot
	fresh    func(*Snapshot) bool
}

func (identify) Name() string { return "identify" }

func (f identify) Handle(ctx context.Context, req *Request, next handler) (*Answer, error) {
	s := f.snapshot()
	if !s.Catalog.KeysRequired || req.Route.Public {
		return next(ctx, req)
	}
	if !f.fresh(s) {
		return nil, staleKeys()
	}
	req.Workspace = s.Catalog.WorkspaceByKey(req.Key)
	if req.Workspace == nil {
		return nil, model.Refuse(model.ReasonUnauthorised, "no workspace holds the key")
	}
	return next(ctx, req)
}

func staleKeys() *model.Refusal {
	return later(model.ReasonNotConfigured, "the keys in force are not known", elsewhere)
}
