package entry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
)

func (e *Entry) startRolloutTasks(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { e.runPeriodically(ctx, judgeInterval, e.sendEvidence); return nil })
	g.Go(func() error { e.runPeriodically(ctx, judgeInterval, e.recordOutcomes); return nil })
}

// runPeriodically runs f after each interval until ctx ends. A node over its control
// budget stretches the interval.
func (e *Entry) runPeriodically(ctx context.Context, interval time.Duration, f func(context.Context)) {
	t := time.NewTimer(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		f(ctx)
		t.Reset(time.Duration(float64(interval) * e.node.Meter().Stretch(time.Now())))
	}
}

// Evidence receives the rollout evidence of a side or an aggregator.
func (s *peerService) Evidence(a exchange.EvidenceArgs, reply *exchange.News) error {
	key, total, err := a.Model()
	if err == nil {
		err = s.e.receiveGossip(a.News)
	}
	if err != nil {
		return err
	}
	g, err := askForPeer(s, evidenceReceived{Question: control.NewQuestion[gossip](), key: key, source: a.Source, group: a.Group, total: total})
	*reply = encodeGossip(g)
	return err
}

// sendEvidence sends the rollout evidence of this aggregator to the roots.
func (e *Entry) sendEvidence(ctx context.Context) {
	messages, err := control.Ask(ctx, e.loop, evidenceQuery{Question: control.NewQuestion[[]evidenceMessage]()})
	if err != nil {
		return
	}
	for _, m := range messages {
		args := exchange.FromEvidence(m.key, m.source, true, m.rollout, m.total)
		args.News = encodeGossip(m.gossip)
		if reply, err := exchange.Call[exchange.News](ctx, e.node, m.address, exchange.MethodEvidence, args); err == nil {
			_ = e.receiveGossip(reply)
		}
	}
}

// outcomeTimeout bounds one append of the outcome of a rollout.
const outcomeTimeout = 2 * time.Second

// recordOutcomes appends the outcome of rollouts to the configuration log. If
// another record is accepted first, this one is stale, and the outcome is
// recomputed from the next configuration.
func (e *Entry) recordOutcomes(ctx context.Context) {
	out, err := control.Ask(ctx, e.loop, outcomesQuery{Question: control.NewQuestion[rolloutOutcomes]()})
	if err != nil || len(out.changes) == 0 {
		return
	}
	rec := config.Record{ID: outcomeRecordID(e.settings.Instance, out.base), Base: out.base, Author: string(e.settings.Instance), Changes: out.changes}
	data, err := rec.Encode()
	if err != nil {
		e.log.Error("rollout outcome cannot be encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	if _, err := e.deps.Logs.Append(ctx, config.Stream, data); err != nil {
		e.log.Warn("rollout outcome is not recorded yet", "error", err)
	}
}
