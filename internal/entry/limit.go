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

// limitRate holds a workspace to the rate of its plan over all entries. It
// borrows units from the workspace's home when the control loop says so.
type limitRate struct{ entry *Entry }

func (limitRate) Name() string { return "limit" }

var limitRefused = metrics.GetOrCreateCounter(`goldcrest_limit_refused_total`)

func (f limitRate) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	plan := f.entry.loop.Snapshot().Config.Lists.Plans[req.Plan]
	ask := spendRequest{
		Deferred:  control.NewDeferred[spendVerdict](),
		workspace: req.Workspace, pool: req.Pool, cost: req.Cost.Units(),
		plan: limit.Plan{Rate: plan.Rate, Burst: plan.Burst},
	}
	verdict, err := control.Ask(ctx, f.entry.loop, ask)
	if err == nil && verdict.address != "" {
		verdict, err = f.borrow(ctx, ask, verdict)
	}
	if err != nil {
		return nil, model.Refuse(model.ReasonCancelled, "the caller left before the limit was checked")
	}
	if !verdict.allowed {
		limitRefused.Inc()
		r := model.Refuse(model.ReasonLimit, fmt.Sprintf("the plan allows %d cost units a second", plan.Rate))
		r.RetryAfter = retry.RetryAfter(verdict.retryAfter, f.entry.jitter())
		return nil, r
	}
	return next(ctx, req)
}

// borrow asks the home for units. The control loop hears of the result even if
// the caller has left, since other requests may wait for it.
func (f limitRate) borrow(ctx context.Context, ask spendRequest, v spendVerdict) (spendVerdict, error) {
	ctx = context.WithoutCancel(ctx)
	done := borrowDone{Question: control.NewQuestion[spendVerdict](), request: ask, home: v.home, wishes: v.wishes}
	args := exchange.BorrowArgs{}
	for _, w := range v.wishes {
		args.Wishes = append(args.Wishes, exchange.Wish{Workspace: string(w.workspace), Want: w.want, Need: w.need})
	}
	var reply exchange.BorrowReply
	err := f.entry.node.Call(ctx, v.address, exchange.MethodBorrow, args, &reply)
	if err != nil || len(reply.Grants) != len(v.wishes) {
		homeUnreachable.Inc()
		return control.Ask(ctx, f.entry.loop, done)
	}
	for _, g := range reply.Grants {
		done.grants = append(done.grants, g.Model())
	}
	return control.Ask(ctx, f.entry.loop, done)
}

var homeUnreachable = metrics.GetOrCreateCounter(`goldcrest_limit_home_unreachable_total`)
