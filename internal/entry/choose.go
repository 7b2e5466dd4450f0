package entry

import (
	"context"

	"github.com/goldcrestturn/goldcrestturn/internal/choose"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// maxHandOvers bounds how many endpoints one request is offered to. It covers
// the chat's own endpoint and two overflows.
const maxHandOvers = 3

// chooseEndpoint offers a request to the endpoints of its pool in the order of
// its chat. It goes on to the next one only after a refusal that was not run.
type chooseEndpoint struct {
	snapshot func() *Snapshot
	// repeat reports whether a refused request may go to the next endpoint. It
	// asks the retry budget and pauses before a repeated execution.
	repeat func(ctx context.Context, req *model.Request, refusal *model.Refusal) bool
}

func (chooseEndpoint) Name() string { return "choose" }

func (f chooseEndpoint) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	if req.Target != "" { // an earlier filter has decided
		return next(ctx, req)
	}
	var last error = model.Refuse(model.ReasonNoEndpoint, "no endpoint of the pool takes new work")
	for i, c := range choose.Order(req.HashKey(), req.ReturnToken, f.candidates(req.Pool)) {
		if i == maxHandOvers {
			break
		}
		req.Target, req.Attempt = c.ID, i
		answer, err := next(ctx, req)
		if err == nil {
			answer.ReturnToken = choose.Token(c.ID)
			return answer, nil
		}
		last = err
		if i+1 == maxHandOvers || !f.repeat(ctx, req, model.AsRefusal(err)) {
			break
		}
	}
	return nil, last
}

func (f chooseEndpoint) candidates(pool model.Pool) []choose.Candidate {
	endpoints := f.snapshot().Pools[pool]
	out := make([]choose.Candidate, len(endpoints))
	for i, e := range endpoints {
		out[i] = choose.Candidate{ID: e.EndpointID(), Address: e.Address, Weight: 1}
	}
	return out
}
