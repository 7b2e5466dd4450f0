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

// evidenceReportInterval is the interval between evidence messages while a rollout is
// active.
const evidenceReportInterval = time.Second

// reportEvidence sends the evidence of an active rollout to the aggregators in turn,
// so that the loss of one delays it by no more than one interval. Evidence that an
// aggregator already has is not sent again.
func (p *Side) reportEvidence(ctx context.Context) {
	t := time.NewTimer(evidenceReportInterval)
	defer t.Stop()
	sent := map[string]rollout.Evidence{}
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		message, err := control.Ask(ctx, p.loop, evidenceQuery{Question: control.NewQuestion[evidenceMessage]()})
		if err != nil {
			return
		}
		p.sendInTurn(ctx, message, turn, sent)
		t.Reset(time.Duration(float64(evidenceReportInterval) * p.node.Meter().Stretch(time.Now())))
	}
}

// sendInTurn sends message to the aggregator whose turn it is, or to the next one if
// it does not reply, and records in sent what each aggregator has.
func (p *Side) sendInTurn(ctx context.Context, message evidenceMessage, turn int, sent map[string]rollout.Evidence) {
	maps.DeleteFunc(sent, func(address string, _ rollout.Evidence) bool { return !slices.Contains(message.aggregators, address) })
	for i := range message.aggregators {
		address := message.aggregators[(turn+i)%len(message.aggregators)]
		if maps.Equal(sent[address], message.total) {
			return
		}
		if p.sendEvidence(ctx, address, message) {
			sent[address] = message.total
			return
		}
	}
}

func (p *Side) sendEvidence(ctx context.Context, address string, message evidenceMessage) bool {
	args := exchange.FromEvidence(message.key, string(p.settings.Instance), false, message.rollout, message.total)
	reply, err := exchange.Call[exchange.News](ctx, p.node, address, exchange.MethodEvidence, args)
	if err != nil {
		return false
	}
	if crashes, err := reply.Model(time.Now()); err == nil {
		_ = p.loop.Post(ctx, gossipReceived{offset: reply.ConfigOffset, latches: reply.Verdicts, crashes: crashes})
	}
	return true
}
