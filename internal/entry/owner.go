package entry

import (
	"context"
	"slices"

	"github.com/goldcrestturn/goldcrestturn/internal/choose"
	"github.com/goldcrestturn/goldcrestturn/internal/claim"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// maxOwnerHops bounds how many endpoints one non-idempotent request is offered
// to: the preferred owner, the owner that it names, and two successors.
const maxOwnerHops = 4

// routeOwner sends a non-idempotent request to the endpoint that owns its
// key's partition: the first usable one in the order of the partition, or the
// one that this endpoint names. Where the owner cannot be used, the next one
// in order may take the partition over.
type routeOwner struct{ snapshot func() *Snapshot }

func (routeOwner) Name() string { return "route_owner" }

func (f routeOwner) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	if req.Idempotent {
		return next(ctx, req)
	}
	order := f.order(req)
	var last error = model.Refuse(model.ReasonNoEndpoint, "no endpoint of the service takes new work")
	if len(order) == 0 {
		return nil, last
	}
	h := ownerHop{target: order[0]}
	for i := 0; i < maxOwnerHops && h.target != ""; i++ {
		req.Target, req.Takeover, req.Attempt = h.target, h.takeover, i
		answer, err := next(ctx, req)
		if err == nil {
			return answer, nil
		}
		last = err
		r := model.AsRefusal(err)
		if r.Outcome != model.OutcomeNotRun {
			return nil, err
		}
		if !h.follow(r, order) {
			return nil, err
		}
	}
	return nil, last
}

func (f routeOwner) order(req *model.Request) []model.EndpointID {
	var candidates []choose.Candidate
	for _, e := range f.snapshot().Pools[req.Pool] {
		candidates = append(candidates, choose.Candidate{ID: e.EndpointID(), Weight: 1}) // ownership does not depend on the load
	}
	var out []model.EndpointID
	for _, c := range choose.Order(claim.RendezvousKey(claim.KeyOf(req).Partition()), "", candidates) {
		out = append(out, c.ID)
	}
	return out
}

// ownerHop is the next endpoint to offer a request to.
type ownerHop struct {
	target   model.EndpointID
	takeover bool
	failed   []model.EndpointID
}

// follow sets the endpoint after a refusal and reports whether there is one.
func (h *ownerHop) follow(r *model.Refusal, order []model.EndpointID) bool {
	switch r.Reason {
	case model.ReasonNotOwner:
		if slices.Contains(order, r.Owner) && !slices.Contains(h.failed, r.Owner) && r.Owner != h.target {
			h.target, h.takeover = r.Owner, false
			return true
		}
		h.takeover = true // the owner is gone; this endpoint takes over
		return true
	case model.ReasonUnreachable, model.ReasonDraining, model.ReasonLeaving, model.ReasonNoEndpoint,
		model.ReasonDataCentreOut, model.ReasonEndpointFailed:
		h.failed = append(h.failed, h.target)
		h.target, h.takeover = "", true
		for _, id := range order {
			if !slices.Contains(h.failed, id) {
				h.target = id
				return true
			}
		}
	}
	return false
}
