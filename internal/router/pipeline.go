package router

import (
	"context"

	"github.com/goldcrestturn/goldcrestturn/internal/boottime"
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
		receiveBody{limit: r.maxBody, random: r.random},
		setDeadline{},
		countRequest{r.recordRequest},
		shedRequest{enabled: r.deps.Features.Admission, decide: r.decideAdmission, retryAfter: r.admissionRetryAfter, firstEvent: r.recordFirstEvent, end: r.recordAdmittedEnd},
		resumeStream{allowRetry: r.allowResume, log: r.log},
		retryRequest{allowRetry: r.allowRetry, log: r.log},
		guardEndpoints{snapshot: r.loop.Snapshot, allowTrial: r.allowTrial},
		reserveSlot{enabled: r.slotsEnabled, ask: r.askSlot, release: r.releaseSlot},
		placeRequest{pick: r.pick, broadcastHolder: r.broadcastHolder, random: r.random},
		watchVersions{enabled: r.rollouts, report: r.recordVersion},
		send{client: r.client, hasAlternative: r.hasAlternative, protocol: r.deps.Protocol, recordResult: r.recordResult, recordNotice: r.recordNotice, recordTimes: r.recordTimes, recordCrash: r.recordCrash, recordAbandoned: r.recordAbandoned, recordSound: r.recordSound, recordBegan: r.recordBegan, checkKey: r.checkKey, log: r.log},
	)
}

// controlPipeline returns the stages that apply each event of the sources to the
// control state.
func (r *Router) controlPipeline() []control.Stage[State] {
	return []control.Stage[State]{
		applyEra{},
		applyOrders{r.log},
		applyList{r.expireLater, r.log},
		applyPeers{r.log},
		carryOutRollouts{enabled: r.rollouts, readMembers: func() { wake(r.membersWanted) }, log: r.log},
		placeRequests{broadcast: r.broadcast, log: r.log},
		admitRequests{r.log},
		judgeCauses{broadcast: r.broadcast, save: r.suspects.save, report: r.suspects.saveReport, log: r.log},
		budgetRetries{},
		grantSlots{enabled: r.deps.Features.Slots, send: r.sendToPeer, wake: r.wakeSlots, now: boottime.Now, log: r.log},
		performDuties{r.log},
		applySettings{r.log},
		advanceStop{r.log},
	}
}

// recordRequest counts a request towards the retry budget of its pool.
func (r *Router) recordRequest(pool model.Pool) {
	_ = r.loop.Post(context.Background(), requestArrived{pool})
}

// allowResume takes one retry for a stream that broke off, as allowRetry does. It is not
// refused because of overload: what the stream has cost would be lost.
func (r *Router) allowResume(ctx context.Context, req *Request) bool {
	ok, err := control.Ask(ctx, r.loop, allowRetry{Question: control.NewQuestion[bool](), pool: req.Pool, resumed: true})
	return ok && err == nil
}

// allowRetry takes one retry from the retry budget of the request's pool and
// reports whether there was one left.
func (r *Router) allowRetry(ctx context.Context, req *Request) bool {
	ok, err := control.Ask(ctx, r.loop, allowRetry{Question: control.NewQuestion[bool](), pool: req.Pool, priority: req.priority()})
	return ok && err == nil
}
