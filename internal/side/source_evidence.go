package side

import (
	"context"
	"maps"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/rollout"
)

// evidencePeriod is the interval of the evidence while a rollout is active.
const evidencePeriod = time.Second

// reportEvidence sends the evidence of an active rollout to both holders, so
// that the loss of one loses none of it. Evidence that a holder has is not sent
// again.
func (p *Side) reportEvidence(ctx context.Context) {
	t := time.NewTimer(evidencePeriod)
	defer t.Stop()
	sent := map[string]rollout.Evidence{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		plan, err := control.Ask(ctx, p.loop, takeEvidence{Question: control.NewQuestion[evidencePlan]()})
		if err != nil {
			return
		}
		now := map[string]rollout.Evidence{}
		for _, address := range plan.holders {
			if maps.Equal(sent[address], plan.total) || p.sendEvidence(ctx, address, plan) {
				now[address] = plan.total
			}
		}
		sent = now
		t.Reset(time.Duration(float64(evidencePeriod) * p.node.Meter().Stretch(time.Now())))
	}
}

func (p *Side) sendEvidence(ctx context.Context, address string, plan evidencePlan) bool {
	args := exchange.FromEvidence(plan.key, string(p.settings.Instance), false, plan.total)
	var reply exchange.News
	if p.node.Call(ctx, address, exchange.MethodEvidence, args, &reply) != nil {
		return false
	}
	if crashes, err := reply.Model(time.Now()); err == nil {
		_ = p.loop.Post(ctx, newsHeard{offset: reply.ConfigOffset, verdicts: reply.Verdicts, crashes: crashes})
	}
	return true
}
