package pipe

import (
	"context"

	"github.com/go-kit/kit/endpoint"
	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// HandlerOf processes one request of a pipeline.
type HandlerOf[Req, Ans any] func(ctx context.Context, req Req) (Ans, error)

// FilterOf does one job on the way of a request. It calls next at most once per
// hand-over and may return without calling it.
type FilterOf[Req, Ans any] interface {
	// Name identifies the filter in logs and metrics.
	Name() string
	// Handle processes req and passes it on to next.
	Handle(ctx context.Context, req Req, next HandlerOf[Req, Ans]) (Ans, error)
}

// Handler processes one request of the project's own interface. Its error is or
// wraps a *model.Refusal.
type Handler = HandlerOf[*model.Request, *model.Answer]

// Filter is a filter of the project's own interface.
type Filter = FilterOf[*model.Request, *model.Answer]

// Chain returns the handler that runs filters in order.
func Chain(filters ...Filter) Handler { return ChainOf(filters...) }

// ChainOf returns the handler that runs filters in order. A request that the
// last filter passes on is refused, since no filter took it.
func ChainOf[Req, Ans any](filters ...FilterOf[Req, Ans]) HandlerOf[Req, Ans] {
	h := HandlerOf[Req, Ans](func(context.Context, Req) (Ans, error) {
		var none Ans
		return none, model.Refuse(model.ReasonInternal, "no filter took the request")
	})
	for i := len(filters) - 1; i >= 0; i-- {
		h = link(filters[i], h)
	}
	return h
}

func link[Req, Ans any](f FilterOf[Req, Ans], next HandlerOf[Req, Ans]) HandlerOf[Req, Ans] {
	return func(ctx context.Context, req Req) (Ans, error) {
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
