package entry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
)

func (e *Entry) startRollouts(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { e.every(ctx, judgePeriod, e.sendEvidence); return nil })
	g.Go(func() error { e.every(ctx, judgePeriod, e.recordOutcomes); return nil })
}

// every runs f after each period until ctx ends. A node over its control budget
// waits longer.
func (e *Entry) every(ctx context.Context, period time.Duration, f func(context.Context)) {
	t := time.NewTimer(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		f(ctx)
		t.Reset(time.Duration(float64(period) * e.node.Meter().Stretch(time.Now())))
	}
}

// Evidence takes the evidence of a side or a holder.
func (s *peerService) Evidence(a exchange.EvidenceArgs, reply *exchange.News) error {
	key, total, err := a.Model()
	if err == nil {
		err = s.e.hear(a.News)
	}
	if err != nil {
		return err
	}
	n, err := askPeer(s, evidenceReceived{Question: control.NewQuestion[news](), key: key, source: a.Source, group: a.Group, total: total})
	*reply = tell(n)
	return err
}

// sendEvidence sends the evidence of this holder to the roots.
func (e *Entry) sendEvidence(ctx context.Context) {
	plans, err := control.Ask(ctx, e.loop, takeEvidence{Question: control.NewQuestion[[]evidencePlan]()})
	if err != nil {
		return
	}
	for _, p := range plans {
		args := exchange.FromEvidence(p.key, p.source, true, p.rollout, p.total)
		args.News = tell(p.news)
		var reply exchange.News
		if e.node.Call(ctx, p.address, exchange.MethodEvidence, args, &reply) == nil {
			_ = e.hear(reply)
		}
	}
}

// outcomeTime bounds one append of the end of a rollout.
const outcomeTime = 2 * time.Second

// recordOutcomes appends the end of rollouts to the configuration. A record
// that loses to another one is worked out anew from the next configuration.
func (e *Entry) recordOutcomes(ctx context.Context) {
	out, err := control.Ask(ctx, e.loop, takeOutcomes{Question: control.NewQuestion[outcomes]()})
	if err != nil || len(out.changes) == 0 {
		return
	}
	rec := config.Record{ID: rolloutID(e.settings.Instance, out.base), Base: out.base, Author: string(e.settings.Instance), Changes: out.changes}
	data, err := rec.Encode()
	if err != nil {
		e.log.Error("end of a rollout cannot be encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeTime)
	defer cancel()
	if _, err := e.deps.Logs.Append(ctx, config.Stream, data); err != nil {
		e.log.Warn("end of a rollout is not recorded yet", "error", err)
	}
}
