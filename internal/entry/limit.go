package entry

import (
	"context"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/limit"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
	"github.com/goldcrestturn/goldcrestturn/internal/retry"
)

// limitRate enforces the rate of a workspace's plan over all entries. It borrows
// cost units from the workspace's home entry when the control loop decides so.
type limitRate struct{ entry *Entry }

func (limitRate) Name() string { return "limit" }

var limitRefused = metrics.GetOrCreateCounter(`goldcrest_limit_refused_total`)

func (f limitRate) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	plan := f.entry.loop.Snapshot().Config.Lists.Plans[req.Plan]
	spend := spendRequest{
		Deferred:  control.NewDeferred[spendDecision](),
		workspace: req.Workspace, pool: req.Pool, cost: req.Cost.Units(),
		plan: limit.Plan{Rate: plan.Rate, Burst: plan.Burst},
	}
	decision, err := control.Ask(ctx, f.entry.loop, spend)
	if err == nil && decision.address != "" {
		decision, err = f.borrow(ctx, spend, decision)
	}
	if err != nil {
		return nil, model.Refuse(model.ReasonCancelled, "the caller left before the limit was checked")
	}
	if !decision.allowed {
		limitRefused.Inc()
		r := model.Refuse(model.ReasonLimit, fmt.Sprintf("the plan allows %d cost units a second", plan.Rate))
		r.RetryAfter = retry.RetryAfter(decision.retryAfter, f.entry.jitter())
		return nil, r
	}
	return next(ctx, req)
}

// borrow asks the home entry for units. The control loop gets the result even if
// the caller has cancelled, since other requests may wait for it.
func (f limitRate) borrow(ctx context.Context, spend spendRequest, decision spendDecision) (spendDecision, error) {
	ctx = context.WithoutCancel(ctx)
	result := borrowDone{Question: control.NewQuestion[spendDecision](), request: spend, home: decision.home, leaseRequests: decision.leaseRequests}
	args := exchange.BorrowArgs{}
	for _, l := range decision.leaseRequests {
		args.Wishes = append(args.Wishes, exchange.Wish{Workspace: string(l.workspace), Want: l.want, Need: l.need})
	}
	reply, err := exchange.Call[exchange.BorrowReply](ctx, f.entry.node, decision.address, exchange.MethodBorrow, args)
	if err != nil || len(reply.Grants) != len(decision.leaseRequests) {
		homeUnreachable.Inc()
		return control.Ask(ctx, f.entry.loop, result)
	}
	for _, g := range reply.Grants {
		result.grants = append(result.grants, g.Model())
	}
	return control.Ask(ctx, f.entry.loop, result)
}

var homeUnreachable = metrics.GetOrCreateCounter(`goldcrest_limit_home_unreachable_total`)
