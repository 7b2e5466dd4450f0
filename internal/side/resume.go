package side

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/replay"
)

// resume serves the running or kept answer of a request. It never runs the request.
func (p *Side) resume(ctx context.Context, request any) (any, error) {
	req := request.(*model.Request)
	key := replayKey(req)
	reply, err := control.Ask(ctx, p.loop, attachRequest{
		Question: control.NewQuestion[attachReply](), key: key, fingerprint: req.Fingerprint, onlyExisting: true,
	})
	if err != nil {
		return nil, &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonCancelled, Detail: "the entry left"}
	}
	if reply.refusal != nil {
		return nil, reply.refusal
	}
	answer, err := deduplicate{loop: p.loop}.openAnswer(ctx, req, key, reply.buffer)
	if eris.Is(err, replay.ErrDropped) {
		return nil, &model.Refusal{Outcome: model.OutcomeRan, Reason: model.ReasonNotKept, Detail: "the frames are no longer kept"}
	}
	return answer, err
}
