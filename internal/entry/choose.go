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

// maxAttempts bounds how many endpoints one request is sent to: the preferred
// endpoint of its chat and two to which it overflows.
const maxAttempts = 3

// chooseEndpoint sends a request to the endpoints of its pool, in the preference
// order of its chat, until one of them answers. It tries the next one only if
// mayRetry allows it.
type chooseEndpoint struct {
	snapshot func() *Snapshot
	// mayRetry reports whether a refused request may be sent to the next
	// endpoint. It asks the retry budget and backs off before a request that may
	// have run is executed again.
	mayRetry func(ctx context.Context, req *model.Request, refusal *model.Refusal) bool
	loop     control.Poster
}

func (chooseEndpoint) Name() string { return "choose" }

func (f chooseEndpoint) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	if !req.Idempotent { // routeOwner has selected the target
		answer, err := next(ctx, req)
		f.observe(req.Target, answer, err)
		return answer, err
	}
	start := time.Now()
	var lastErr error = model.Refuse(model.ReasonNoEndpoint, "no endpoint of the pool takes new work")
	order, holder := f.order(req)
	for i, id := range order {
		req.Target, req.Attempt, req.KVSource = id, i, ""
		if holder.ID != id {
			req.KVSource = holder.Address
		}
		attemptStart := time.Now()
		answer, err := next(ctx, req)
		f.observe(id, answer, err)
		if err == nil {
			req.Stages.Add(model.StageChoose, attemptStart.Sub(start))
			answer.ReturnToken = choose.ReturnToken(id)
			return answer, nil
		}
		lastErr = err
		if i+1 == maxAttempts || !f.mayRetry(ctx, req, model.AsRefusal(err)) {
			break
		}
	}
	req.Stages.Add(model.StageChoose, time.Since(start))
	return nil, lastErr
}

// order returns the endpoints to try, best first, and the endpoint that holds the
// cache of the chat. The cache holder may itself take no new work.
func (f chooseEndpoint) order(req *model.Request) ([]model.EndpointID, choose.Candidate) {
	pool := f.snapshot().Candidates[req.Pool]
	if pool == nil {
		return nil, choose.Candidate{}
	}
	if req.Quarantined && req.Idempotent { // non-idempotent requests go to the owner of their key
		return quarantineOrder(f.snapshot(), req), choose.Candidate{}
	}
	q := choose.QueryOf(req)
	var buf [choose.MaxCandidates]choose.Candidate
	var out []model.EndpointID
	for _, c := range pool.Order(buf[:0], q, maxAttempts) {
		out = append(out, c.ID)
	}
	holder, _ := pool.Holder(q)
	return out, holder
}

// observe reports to the control loop what an attempt showed about the endpoint.
// If the queue is full, the event is dropped, since the next answer carries the
// same information.
func (f chooseEndpoint) observe(id model.EndpointID, answer *model.Answer, err error) {
	ev := endpointObserved{id: id}
	if err != nil {
		r := model.AsRefusal(err)
		ev.reason, ev.ratio = r.Reason, r.LoadRatio
	} else {
		ev.ratio = answer.LoadRatio
	}
	result := "answered"
	if err != nil {
		result = string(ev.reason)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`goldcrest_entry_hand_overs_total{result=%q}`, result)).Inc()
	if f.loop != nil {
		f.loop.TryPost(ev)
	}
}
