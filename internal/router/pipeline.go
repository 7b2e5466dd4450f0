package router

import (
	"context"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// handler is the handler type of the traffic pipeline.
type handler = pipe.HandlerOf[*Request, *Answer]

// trafficPipeline returns the filters that a request passes between decode and
// encode.
func (r *Router) trafficPipeline() handler {
	return pipe.ChainOf[*Request, *Answer](
		admit{r.loop.Snapshot},
		matchRoute{snapshot: r.loop.Snapshot, random: r.random, fresh: r.fresh},
		identify{snapshot: r.loop.Snapshot, fresh: r.fresh},
		setDeadline{},
		countRequest{r.recordRequest},
		resumeStream{allowRetry: r.allowRetry, log: r.log},
		retryRequest{allowRetry: r.allowRetry, log: r.log},
		guardEndpoints{snapshot: r.loop.Snapshot, allowTrial: r.allowTrial},
		placeRequest{pick: r.pick, broadcastHolder: r.broadcastHolder, random: r.random},
		watchVersions{enabled: r.rollouts, report: r.recordVersion},
		send{client: r.client, hasAlternative: r.hasAlternative, protocol: r.deps.Protocol, recordResult: r.recordResult, recordNotice: r.recordNotice, recordCrash: r.recordCrash, recordAbandoned: r.recordAbandoned, recordSound: r.recordSound, checkKey: r.checkKey, log: r.log},
	)
}

// controlPipeline returns the stages that apply each event of the sources to the
// control state.
func (r *Router) controlPipeline() []control.Stage[State] {
	return []control.Stage[State]{
		applyOrders{r.log},
		applyList{r.log},
		applyPeers{r.log},
		carryOutRollouts{enabled: r.rollouts, readMembers: func() { wake(r.membersWanted) }, log: r.log},
		placeRequests{broadcast: r.broadcast, log: r.log},
		judgeCauses{broadcast: r.broadcast, save: r.suspects.save, report: r.suspects.saveReport, log: r.log},
		budgetRetries{},
		applySettings{r.log},
		advanceStop{r.log},
	}
}

// recordRequest counts a request towards the retry budget of its pool.
func (r *Router) recordRequest(pool model.Pool) {
	_ = r.loop.Post(context.Background(), requestArrived{pool})
}

// allowRetry takes one retry from the retry budget of the request's pool and
// reports whether there was one left.
func (r *Router) allowRetry(ctx context.Context, req *Request) bool {
	ok, err := control.Ask(ctx, r.loop, allowRetry{Question: control.NewQuestion[bool](), pool: req.Pool})
	return ok && err == nil
}
