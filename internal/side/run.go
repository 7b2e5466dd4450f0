package side

import (
	"context"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// Endpoint runs requests on the endpoint beside this process.
type Endpoint interface {
	Run(ctx context.Context, req *model.Request) (*model.Answer, error)
}

// run sends an admitted request to the endpoint. It is the last filter.
type run struct{ endpoint Endpoint }

func (run) Name() string { return "run" }

func (f run) Handle(ctx context.Context, req *model.Request, _ pipe.Handler) (*model.Answer, error) {
	return f.endpoint.Run(ctx, req)
}
