package router

import (
	"context"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// handler is the form of the traffic pipeline.
type handler = pipe.HandlerOf[*Request, *Answer]

// trafficPipeline lists the filters between decode and encode.
func (r *Router) trafficPipeline() handler {
	return pipe.ChainOf[*Request, *Answer](
		admit{r.loop.Snapshot},
		matchRoute{snapshot: r.loop.Snapshot, draw: r.draw, fresh: r.fresh},
		identify{snapshot: r.loop.Snapshot, fresh: r.fresh},
		limitTime{},
		countRequest{r.requestCame},
		resume{repeat: r.mayRepeat, log: r.log},
		repeat{may: r.mayRepeat, log: r.log},
		placeRequest{ask: r.pick, tell: r.tellHolder},
		send{client: r.client, protocol: r.deps.Protocol, ended: r.ended, permitted: r.permitted, log: r.log},
	)
}

// controlPipeline lists the stages between the sources and the snapshot.
func (r *Router) controlPipeline() []control.Stage[State] {
	return []control.Stage[State]{
		foldOrders{r.log},
		foldList{r.log},
		foldPeers{r.log},
		placeRequests{r.log},
		budgetRepeats{},
		reload{r.log},
		stop{r.log},
	}
}

// requestCame counts a request for the retry budget of its pool.
func (r *Router) requestCame(pool model.Pool) {
	_ = r.loop.Post(context.Background(), requestCame{pool})
}

// mayRepeat asks the retry budget.
func (r *Router) mayRepeat(ctx context.Context, req *Request) bool {
	ok, err := control.Ask(ctx, r.loop, mayRepeat{Question: control.NewQuestion[bool](), pool: req.Pool})
	return ok && err == nil
}
