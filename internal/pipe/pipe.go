package pipe

import (
	"context"

	"github.com/go-kit/kit/endpoint"
	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// HandlerOf processes a request and returns the answer to it.
type HandlerOf[Req, Ans any] func(ctx context.Context, req Req) (Ans, error)

// FilterOf is one step in the processing of a request. It may return without
// calling next, and calls it at most once per attempt.
type FilterOf[Req, Ans any] interface {
	// Name identifies the filter in logs and metrics.
	Name() string
	// Handle processes req and passes it to next.
	Handle(ctx context.Context, req Req, next HandlerOf[Req, Ans]) (Ans, error)
}

// Handler processes a *model.Request. Its error is or wraps a *model.Refusal.
type Handler = HandlerOf[*model.Request, *model.Answer]

// Filter is one step in the processing of a *model.Request.
type Filter = FilterOf[*model.Request, *model.Answer]

// Chain returns the handler that runs filters in order.
func Chain(filters ...Filter) Handler { return ChainOf(filters...) }

// ChainOf returns the handler that runs filters in order. If the last filter calls
// next, the request is refused, since no filter is left to answer it.
func ChainOf[Req, Ans any](filters ...FilterOf[Req, Ans]) HandlerOf[Req, Ans] {
	h := HandlerOf[Req, Ans](func(context.Context, Req) (Ans, error) {
		var none Ans
		return none, model.Refuse(model.ReasonInternal, "no filter took the request")
	})
	for i := len(filters) - 1; i >= 0; i-- {
		h = bind(filters[i], h)
	}
	return h
}

// bind returns the handler that runs f with next as its successor.
func bind[Req, Ans any](f FilterOf[Req, Ans], next HandlerOf[Req, Ans]) HandlerOf[Req, Ans] {
	return func(ctx context.Context, req Req) (Ans, error) {
		return f.Handle(ctx, req, next)
	}
}

// Endpoint adapts h to go-kit, so that any go-kit transport can serve it.
func Endpoint(h Handler) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		req, ok := request.(*model.Request)
		if !ok {
			return nil, eris.Errorf("pipe: request is a %T, not a *model.Request", request)
		}
		return h(ctx, req)
	}
}
