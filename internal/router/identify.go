package router

import (
	"context"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// identify finds the workspace of the caller's API key. Keys are accepted only
// while the configuration is fresh. The send filter repeats both checks.
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
		return nil, refuseStaleKeys()
	}
	req.Workspace = s.Catalog.WorkspaceByKey(req.Key)
	if req.Workspace == nil {
		return nil, model.Refuse(model.ReasonUnauthorised, "no workspace holds the key")
	}
	return next(ctx, req)
}

// refuseStaleKeys refuses a request because the configuration is too old to
// decide whether its key is still valid.
func refuseStaleKeys() *model.Refusal {
	return refuseWithRetryAfter(model.ReasonNotConfigured, "the keys in force are not known", defaultRetryAfter)
}
