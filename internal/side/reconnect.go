package side

import (
	"context"
	"io"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// maxReconnects bounds how often one answer is resumed at the same engine. Two are
// enough for lost connections; an engine that crashed refuses the connection, and
// the entry resumes the answer at another endpoint.
const maxReconnects = 2

// reconnect resumes the answer of an idempotent engine request after the connection
// between side and engine was lost, with a request for the missing tokens.
type reconnect struct{ disabled bool }

func (reconnect) Name() string { return "reconnect" }

func (f reconnect) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	answer, err := next(ctx, req)
	if err != nil || f.disabled || req.Kind != model.Engine || !req.Idempotent {
		return answer, err
	}
	answer.Frames = &reconnectingReader{FrameReader: answer.Frames, req: req, next: next, index: req.ResumeFrom}
	return answer, nil
}

// reconnectingReader resumes an answer at the index after its last frame.
type reconnectingReader struct {
	model.FrameReader
	req        *model.Request
	next       pipe.Handler
	index      int // of the next frame
	reconnects int
}

func (r *reconnectingReader) Next(ctx context.Context) (model.Frame, error) {
	frame, err := r.FrameReader.Next(ctx)
	for err != nil && !eris.Is(err, io.EOF) && ctx.Err() == nil && r.reconnects < maxReconnects {
		r.reconnects++
		resumeReq := *r.req
		resumeReq.ResumeFrom = r.index
		answer, resumeErr := r.next(ctx, &resumeReq)
		if resumeErr != nil {
			break
		}
		_ = r.FrameReader.Close()
		r.FrameReader = answer.Frames
		frame, err = r.FrameReader.Next(ctx)
	}
	if err == nil {
		r.index = frame.Index + 1
	}
	return frame, err
}
