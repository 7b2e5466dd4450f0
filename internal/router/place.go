package router

import (
	"context"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
)

// waitShare is the part of the latency objective, one in so many, that a request
// waits at most for another one's prompt to be read.
const waitShare = 3

// placeRequest has the control goroutine choose the endpoint of each attempt.
type placeRequest struct {
	ask  func(context.Context, place.Query) (picked, error)
	tell func(part uint64, endpoint uint32)
}

func (placeRequest) Name() string { return "place" }

func (f placeRequest) Handle(ctx context.Context, req *Request, next handler) (*Answer, error) {
	q := place.Query{Pool: req.Pool, Regions: req.Route.Regions, Excluded: req.Excluded, Key: xxhash.Sum64String(string(req.ID))}
	if req.Workspace != nil && len(req.Workspace.Regions) > 0 {
		q.Regions = intersect(q.Regions, req.Workspace.Regions)
	}
	if req.Route.Generation {
		q.Base = req.basePart()
		q.Part, q.Tokens = req.sharedPart(), req.sharedTokens()
	}
	p, err := f.ask(ctx, q)
	if err != nil {
		return nil, timedOut(req)
	}
	if !p.found {
		return nil, truly(req, later(model.ReasonNoEndpoint, "no endpoint of the pool may take the request", elsewhere))
	}
	choices[p.choice.Reason].Inc()
	req.Endpoint, req.FetchFrom, req.ChoiceReason, req.PendingPart = p.choice.Endpoint, p.choice.FetchFrom, p.choice.Reason, 0
	if p.choice.NewHolder {
		req.PendingPart = q.Part
		f.tell(q.Part, place.EndpointHash(req.Endpoint.ID))
	}
	if p.choice.NewBase {
		f.tell(q.Base, place.EndpointHash(req.Endpoint.ID))
	}
	req.Excluded = append(req.Excluded, req.Endpoint.ID)
	if wait := min(p.choice.Wait, req.Route.LatencyTarget/waitShare); wait > 0 {
		control.Pause(ctx, wait) // send notices if the caller left meanwhile
	}
	return next(ctx, req)
}

// intersect returns the regions in both lists; an empty list means any. Two
// lists without a common region allow none.
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

// noRegion is the name of no region.
const noRegion model.Region = "\x00"

// pick asks the control goroutine for an endpoint.
func (r *Router) pick(ctx context.Context, q place.Query) (picked, error) {
	// A choice that was made must be ended, so the answer is waited for even if
	// the caller leaves.
	return control.Ask(context.WithoutCancel(ctx), r.loop, pickEndpoint{Question: control.NewQuestion[picked](), query: q})
}

// partName is the form of a part in logs.
func partName(p uint64) string { return strconv.FormatUint(p, 16) }
