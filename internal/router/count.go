package router

import (
	"context"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// countRequest counts each request of a caller once towards the retry budget of
// its pool, whether or not it reaches an endpoint.
type countRequest struct{ record func(model.Pool) }

func (countRequest) Name() string { return "count" }

func (f countRequest) Handle(ctx context.Context, req *Request, next handler) (*Answer, error) {
	f.record(req.Pool)
	return next(ctx, req)
}
