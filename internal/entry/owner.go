package entry

import (
	"context"
	"slices"

	"github.com/goldcrestturn/goldcrestturn/internal/choose"
	"github.com/goldcrestturn/goldcrestturn/internal/claim"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// maxOwnerAttempts bounds how many endpoints one non-idempotent request is sent to:
// the first one in the order, the owner that it names, and two successors.
const maxOwnerAttempts = 4

// routeOwner sends a non-idempotent request to the endpoint that owns its
// key's partition: the first usable one in the rendezvous order of the partition,
// or the one that this first endpoint names as the owner in its refusal. If the owner
// cannot be used, the next one in the order may take the partition over.
type routeOwner struct{ snapshot func() *Snapshot }

func (routeOwner) Name() string { return "route_owner" }

func (f routeOwner) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	if req.Idempotent {
		return next(ctx, req)
	}
	order := f.order(req)
	var lastErr error = model.Refuse(model.ReasonNoEndpoint, "no endpoint of the service takes new work")
	if len(order) == 0 {
		return nil, lastErr
	}
	attempt := ownerAttempt{target: order[0]}
	for i := 0; i < maxOwnerAttempts && attempt.target != ""; i++ {
		req.Target, req.Takeover, req.Attempt = attempt.target, attempt.takeover, i
		answer, err := next(ctx, req)
		if err == nil {
			return answer, nil
		}
		lastErr = err
		r := model.AsRefusal(err)
		if r.Outcome != model.OutcomeNotRun {
			return nil, err
		}
		if !attempt.advance(r, order) {
			return nil, err
		}
	}
	return nil, lastErr
}

// order returns the usable endpoints in the rendezvous order of the key's
// partition.
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

// ownerAttempt is the next endpoint to send a request to, and those that failed.
type ownerAttempt struct {
	target   model.EndpointID
	takeover bool
	failed   []model.EndpointID
}

// advance selects the next endpoint after a refusal and reports whether there is
// one.
func (a *ownerAttempt) advance(r *model.Refusal, order []model.EndpointID) bool {
	switch r.Reason {
	case model.ReasonNotOwner:
		if slices.Contains(order, r.Owner) && !slices.Contains(a.failed, r.Owner) && r.Owner != a.target {
			a.target, a.takeover = r.Owner, false
			return true
		}
		a.takeover = true // the owner is gone; this endpoint takes over
		return true
	case model.ReasonUnreachable, model.ReasonDraining, model.ReasonLeaving, model.ReasonNoEndpoint,
		model.ReasonDataCentreOut, model.ReasonEndpointFailed:
		a.failed = append(a.failed, a.target)
		a.target, a.takeover = "", true
		for _, id := range order {
			if !slices.Contains(a.failed, id) {
				a.target = id
				return true
			}
		}
	}
	return false
}
