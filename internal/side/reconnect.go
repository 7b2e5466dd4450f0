package side

import (
	"context"
	"io"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// maxReconnects bounds how often one answer is asked for again from the same
// engine. Two cover lost connections; an engine that crashed refuses them, and
// the entry goes on at another endpoint.
const maxReconnects = 2

// reconnect continues the answer of an idempotent engine request after a cut
// between side and engine, with a request for the tokens that are missing.
type reconnect struct{ off bool }

func (reconnect) Name() string { return "reconnect" }

func (f reconnect) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	answer, err := next(ctx, req)
	if err != nil || f.off || req.Kind != model.Engine || !req.Idempotent {
		return answer, err
	}
	answer.Frames = &reconnectingFrames{FrameReader: answer.Frames, req: req, next: next, index: req.ResumeFrom}
	return answer, nil
}

type reconnectingFrames struct {
	model.FrameReader
	req   *model.Request
	next  pipe.Handler
	index int
	tries int
}

func (r *reconnectingFrames) Next(ctx context.Context) (model.Frame, error) {
	f, err := r.FrameReader.Next(ctx)
	for err != nil && !eris.Is(err, io.EOF) && ctx.Err() == nil && r.tries < maxReconnects {
		r.tries++
		again := *r.req
		again.ResumeFrom = r.index
		answer, runErr := r.next(ctx, &again)
		if runErr != nil {
			break
		}
		_ = r.FrameReader.Close()
		r.FrameReader = answer.Frames
		f, err = r.FrameReader.Next(ctx)
	}
	if err == nil {
		r.index = f.Index + 1
	}
	return f, err
}
