package side

import (
	"context"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// admit asks the control loop for admission and reports the end of the work.
type admit struct{ loop control.Poster }

func (admit) Name() string { return "admit" }

func (f admit) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	start := time.Now()
	refusal, err := control.Ask(ctx, f.loop, admitRequest{Question: control.NewQuestion[*model.Refusal](), req: req})
	if err != nil {
		return nil, model.Refuse(model.ReasonCancelled, "the caller left before admission")
	}
	if refusal != nil {
		return nil, refusal
	}
	req.Stages.Add(model.StageAdmit, time.Since(start))
	done := func() { _ = f.loop.Post(context.WithoutCancel(ctx), workDone{id: req.ID}) }
	answer, err := next(ctx, req)
	if err != nil {
		done()
		return nil, err
	}
	answer.Frames = &closeNotifier{FrameReader: answer.Frames, done: done}
	return answer, nil
}

// closeNotifier calls done once, when the reader is closed.
type closeNotifier struct {
	model.FrameReader
	done func()
}

func (c *closeNotifier) Close() error {
	if c.done != nil {
		c.done()
		c.done = nil
	}
	return c.FrameReader.Close()
}
