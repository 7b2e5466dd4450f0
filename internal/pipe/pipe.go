package pipe

import (
	"context"

	"github.com/go-kit/kit/endpoint"
	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Handler processes one request. Its error is or wraps a *model.Refusal.
type Handler func(ctx context.Context, req *model.Request) (*model.Answer, error)

// Filter does one job on the way of a request. It calls next at most once per
// hand-over and may return without calling it.
type Filter interface {
	// Name identifies the filter in logs and metrics.
	Name() string
	// Handle processes req and passes it on to next.
	Handle(ctx context.Context, req *model.Request, next Handler) (*model.Answer, error)
}

// Chain returns the handler that runs filters in order. A request that the
// last filter passes on is refused, since no filter took it.
func Chain(filters ...Filter) Handler {
	h := Handler(func(context.Context, *model.Request) (*model.Answer, error) {
		return nil, model.Refuse(model.ReasonInternal, "no filter took the request")
	})
	for i := len(filters) - 1; i >= 0; i-- {
		h = link(filters[i], h)
	}
	return h
}

func link(f Filter, next Handler) Handler {
	return func(ctx context.Context, req *model.Request) (*model.Answer, error) {
		return f.Handle(ctx, req, next)
	}
}

// Endpoint adapts h to go-kit, so that any of its transports can serve it.
func Endpoint(h Handler) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		req, ok := request.(*model.Request)
		if !ok {
			return nil, eris.Errorf("pipe: request is a %T, not a *model.Request", request)
		}
		return h(ctx, req)
	}
}
