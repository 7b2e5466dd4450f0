package router

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
	"github.com/goldcrestturn/goldcrestturn/internal/rollout"
)

// A request waits at most its latency target divided by prefillWaitDivisor while
// the engine prefills a shared prompt part for another request.
const prefillWaitDivisor = 3

// placeRequest asks the control goroutine for the endpoint of each attempt.
type placeRequest struct {
	pick            func(context.Context, place.Query) (pickReply, error)
	broadcastHolder func(part uint64, endpoint uint32)
	random          func() float64 // uniform in [0, 1)
}

// maxReturnSpread is the time over which callers return that were refused since all
// endpoints turned this router away or limit its requests.
const maxReturnSpread = 500 * time.Millisecond

func (placeRequest) Name() string { return "place" }

func (f placeRequest) Handle(ctx context.Context, req *Request, next handler) (*Answer, error) {
	q := placeQuery(req)
	p, err := f.pick(ctx, q)
	if err != nil {
		return nil, refuseTimedOut(req)
	}
	if p.turnedAway > 0 {
		// Callers that were refused together do not come back together.
		wait := p.turnedAway + time.Duration(f.random()*float64(maxReturnSpread))
		return nil, unknownIfRun(req, refuseWithRetryAfter(model.ReasonNoEndpoint, "all endpoints of the pool turned this router away or limit its requests", wait))
	}
	if !p.found {
		return nil, unknownIfRun(req, refuseWithRetryAfter(model.ReasonNoEndpoint, "no endpoint of the pool may take the request", defaultRetryAfter))
	}
	choiceCounters[p.choice.Reason].Inc()
	req.Endpoint, req.FetchFrom, req.ChoiceReason, req.PendingPart = p.choice.Endpoint, p.choice.FetchFrom, p.choice.Reason, 0
	req.uncached, req.fetched, req.endpointLoad, req.remote = p.choice.Uncached, p.choice.Fetched, p.choice.Load, p.choice.Remote
	req.coldEndpoint = p.choice.Cold
	if p.choice.NewHolder {
		req.PendingPart = q.Part
		f.broadcastHolder(q.Part, place.EndpointHash(req.Endpoint.ID))
	}
	if p.choice.NewBase {
		f.broadcastHolder(q.Base, place.EndpointHash(req.Endpoint.ID))
	}
	req.Excluded = append(req.Excluded, req.Endpoint.ID)
	if wait := min(p.choice.Wait, req.Route.LatencyTarget/prefillWaitDivisor); wait > 0 {
		control.Pause(ctx, wait) // the send filter checks whether ctx has ended
	}
	return next(ctx, req)
}

// placeQuery describes req for the selection of its endpoint.
func placeQuery(req *Request) place.Query {
	q := place.Query{Pool: req.Pool, Priority: req.priority(), Regions: req.Route.Regions, Excluded: req.Excluded, Endpoint: req.Granted, Kind: req.Route.Name, Key: xxhash.Sum64String(string(req.ID)), Position: rollout.Position(string(req.Pool), string(req.ID))}
	if req.Workspace != nil && len(req.Workspace.Regions) > 0 {
		q.Regions = intersect(q.Regions, req.Workspace.Regions)
	}
	if req.Route.Generation {
		q.Base = req.basePart()
		q.Part, q.Tokens = req.sharedPart(), req.sharedTokens()
		q.PromptTokens = req.promptTokens()
	}
	return q
}

// hasAlternative asks the control goroutine whether another endpoint may take over req.
func (r *Router) hasAlternative(req *Request) bool {
	ok, err := control.Ask(context.Background(), r.loop, alternativeQuery{Question: control.NewQuestion[bool](), query: placeQuery(req)})
	return ok && err == nil
}

// intersect returns the regions that both lists allow. An empty list allows all
// regions; if nothing is common, the result allows none.
func intersect(a, b []model.Region) []model.Region {
	if len(a) == 0 {
		return b
	}
	out := []model.Region{}
	for _, r := range a {
		for _, o := range b {
			if r == o {
				out = append(out, r)
			}
		}
	}
	if len(out) == 0 {
		return []model.Region{noRegion}
	}
	return out
}

// noRegion is a name that no region has.
const noRegion model.Region = "\x00"

// pick asks the control goroutine for an endpoint.
func (r *Router) pick(ctx context.Context, q place.Query) (pickReply, error) {
	// Pick counts the request as in flight, so its result must always reach send,
	// which ends the count. ctx must therefore not cancel the question.
	return control.Ask(context.WithoutCancel(ctx), r.loop, pickEndpoint{Question: control.NewQuestion[pickReply](), query: q})
}

// formatPart returns the form in which a prompt part is logged.
func formatPart(p uint64) string { return strconv.FormatUint(p, 16) }
