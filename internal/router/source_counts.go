package router

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/boottime"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
)

// countsTimeout bounds a message with counts. Round trips between the data centres of a
// region take milliseconds.
const countsTimeout = 400 * time.Millisecond

// recordBegan counts a request for the usage report when it begins to run at an endpoint,
// once.
func (r *Router) recordBegan(req *Request) {
	if req.began || req.Workspace == nil || r.duties == nil {
		return
	}
	req.began = true
	_ = r.loop.Post(context.Background(), requestBegan{workspace: req.Workspace.Name, at: boottime.Now()})
}

// sendCounts sends usage counts to the peers until ctx ends.
func (r *Router) sendCounts(ctx context.Context) {
	for {
		t := time.NewTimer(max(r.sendCountsOnce(ctx, false), countsSettle))
		select {
		case <-t.C:
		case <-r.duties.announce:
			r.sendCountsOnce(ctx, true)
		case <-ctx.Done():
		}
		t.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// sendCountsOnce makes the calls that are due, and returns the time until the next ones.
func (r *Router) sendCountsOnce(ctx context.Context, all bool) time.Duration {
	plan, err := control.Ask(ctx, r.loop, countsPlan{Question: control.NewQuestion[countsPlanReply](), all: all})
	if err != nil {
		return countsInterval
	}
	var calls errgroup.Group
	calls.SetLimit(maxCountsCalls)
	for _, m := range plan.messages {
		calls.Go(func() error { r.sendMessage(ctx, plan, m); return nil })
	}
	_ = calls.Wait()
	return plan.pause
}

// flushCounts sends what this router counted since the last messages, before it ends.
func (r *Router) flushCounts(ctx context.Context) {
	if r.duties == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, countsTimeout)
	defer cancel()
	r.sendCountsOnce(ctx, false)
}

// maxCountsCalls bounds the concurrent calls of a router that has taken the duties and
// tells all.
const maxCountsCalls = 32

func (r *Router) sendMessage(ctx context.Context, plan countsPlanReply, m countsMessage) {
	args := CountsArgs{Router: string(r.settings.Instance), Process: r.duties.process, Wall: time.Now().UnixNano(), Through: m.through,
		Holder: string(plan.holder), Token: uint64(plan.token)}
	for _, row := range m.rows {
		args.Rows = append(args.Rows, CountsRow{row.Origin.Router, row.Origin.Process, row.Window, row.Counts})
	}
	sent := boottime.Now()
	reply, err := exchange.CallWithin[CountsReply](ctx, r.node, countsTimeout, m.address, countsMethod, args)
	if err != nil {
		countsFailed.Inc()
		return
	}
	_ = r.loop.Post(ctx, countsAnswered{router: m.router, rows: m.rows, reply: reply, at: sent + (boottime.Now()-sent)/2})
}
