package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/choose"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
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
	loop   control.Poster
}

func (chooseEndpoint) Name() string { return "choose" }

func (f chooseEndpoint) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	if !req.Idempotent { // the owner of the key has been selected
		answer, err := next(ctx, req)
		f.observe(req.Target, answer, err)
		return answer, err
	}
	start := time.Now()
	var last error = model.Refuse(model.ReasonNoEndpoint, "no endpoint of the pool takes new work")
	order, holder := f.order(req)
	for i, id := range order {
		req.Target, req.Attempt, req.KVSource = id, i, ""
		if holder.ID != id {
			req.KVSource = holder.Address
		}
		offered := time.Now()
		answer, err := next(ctx, req)
		f.observe(id, answer, err)
		if err == nil {
			req.Stages.Add(model.StageChoose, offered.Sub(start))
			answer.ReturnToken = choose.ReturnToken(id)
			return answer, nil
		}
		last = err
		if i+1 == maxHandOvers || !f.repeat(ctx, req, model.AsRefusal(err)) {
			break
		}
	}
	req.Stages.Add(model.StageChoose, time.Since(start))
	return nil, last
}

// order returns the endpoints to offer the request to and the one that holds
// its chat, which may take no new work.
func (f chooseEndpoint) order(req *model.Request) ([]model.EndpointID, choose.Candidate) {
	pool := f.snapshot().Candidates[req.Pool]
	if pool == nil {
		return nil, choose.Candidate{}
	}
	if req.Quarantined && req.Idempotent { // others go to the owner of their key
		return quarantineOrder(f.snapshot(), req), choose.Candidate{}
	}
	q := choose.QueryOf(req)
	var store [choose.MaxCandidates]choose.Candidate
	var out []model.EndpointID
	for _, c := range pool.Order(store[:0], q, maxHandOvers) {
		out = append(out, c.ID)
	}
	holder, _ := pool.Holder(q)
	return out, holder
}

// observe tells the control loop what a hand-over showed about the endpoint. A
// full queue drops it, since the next answer tells the same.
func (f chooseEndpoint) observe(id model.EndpointID, answer *model.Answer, err error) {
	seen := endpointSeen{id: id}
	if err != nil {
		r := model.AsRefusal(err)
		seen.reason, seen.ratio = r.Reason, r.LoadRatio
	} else {
		seen.ratio = answer.LoadRatio
	}
	result := "answered"
	if err != nil {
		result = string(seen.reason)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`goldcrest_entry_hand_overs_total{result=%q}`, result)).Inc()
	if f.loop != nil {
		f.loop.TryPost(seen)
	}
}
