package side

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/rollout"
)

// evidencePeriod is the interval of the evidence while a rollout is active.
const evidencePeriod = time.Second

// reportEvidence sends the evidence of an active rollout to the holders in turn,
// so that the loss of one loses none of it for more than a period. Evidence that
// a holder has is not sent again.
func (p *Side) reportEvidence(ctx context.Context) {
	t := time.NewTimer(evidencePeriod)
	defer t.Stop()
	sent := map[string]rollout.Evidence{}
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		plan, err := control.Ask(ctx, p.loop, takeEvidence{Question: control.NewQuestion[evidencePlan]()})
		if err != nil {
			return
		}
		p.sendInTurn(ctx, plan, turn, sent)
		t.Reset(time.Duration(float64(evidencePeriod) * p.node.Meter().Stretch(time.Now())))
	}
}

// sendInTurn sends plan to the holder whose turn it is, or to the next one if
// that does not answer, and notes in sent what each holder has.
func (p *Side) sendInTurn(ctx context.Context, plan evidencePlan, turn int, sent map[string]rollout.Evidence) {
	maps.DeleteFunc(sent, func(address string, _ rollout.Evidence) bool { return !slices.Contains(plan.holders, address) })
	for i := range plan.holders {
		address := plan.holders[(turn+i)%len(plan.holders)]
		if maps.Equal(sent[address], plan.total) {
			return
		}
		if p.sendEvidence(ctx, address, plan) {
			sent[address] = plan.total
			return
		}
	}
}

func (p *Side) sendEvidence(ctx context.Context, address string, plan evidencePlan) bool {
	args := exchange.FromEvidence(plan.key, string(p.settings.Instance), false, plan.rollout, plan.total)
	var reply exchange.News
	if p.node.Call(ctx, address, exchange.MethodEvidence, args, &reply) != nil {
		return false
	}
	if crashes, err := reply.Model(time.Now()); err == nil {
		_ = p.loop.Post(ctx, newsHeard{offset: reply.ConfigOffset, verdicts: reply.Verdicts, crashes: crashes})
	}
	return true
}
