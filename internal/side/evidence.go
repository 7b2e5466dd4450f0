package side

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// countEvidence reports the end of each request, by version and route, as evidence
// for rollouts. It refuses requests for a suspended version.
type countEvidence struct {
	loop     control.Poster
	snapshot func() *Snapshot
	settings Settings
}

func (countEvidence) Name() string { return "count_evidence" }

func (f countEvidence) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	version := cmp.Or(req.Version, f.settings.Version)
	if f.snapshot().Versions.Suspended(req.Pool, version) {
		return nil, model.Refuse(model.ReasonVersion, "the version gets no more work")
	}
	start := time.Now()
	answer, err := next(ctx, req)
	if err != nil {
		if countsAsFailure(ctx, err) {
			f.loop.TryPost(requestEnded{version: version, route: req.Route, failed: true, crashed: isCrash(err)})
		}
		return nil, err
	}
	answer.Frames = &evidenceReader{
		FrameReader: answer.Frames, start: start, post: f.loop.TryPost,
		end: requestEnded{version: cmp.Or(answer.Version, version), route: req.Route, failed: answer.Status >= http.StatusInternalServerError},
	}
	return answer, nil
}

// countsAsFailure reports whether err counts against the version: the endpoint
// accepted the request and did not answer it.
func countsAsFailure(ctx context.Context, err error) bool {
	refusal := model.AsRefusal(err)
	byEndpoint := refusal.Reason == model.ReasonEndpointFailed || refusal.Reason == model.ReasonCrashed
	return ctx.Err() == nil && byEndpoint && refusal.Outcome != model.OutcomeNotRun
}

func isCrash(err error) bool { return model.AsRefusal(err).Reason == model.ReasonCrashed }

// evidenceReader reports the end of an answer, once.
type evidenceReader struct {
	model.FrameReader
	start  time.Time
	post   func(control.Event) bool
	end    requestEnded
	posted bool
}

func (r *evidenceReader) Next(ctx context.Context) (model.Frame, error) {
	frame, err := r.FrameReader.Next(ctx)
	switch {
	case err == nil && r.end.firstFrame == 0:
		r.end.firstFrame = max(time.Since(r.start), 1)
	case errors.Is(err, io.EOF):
		r.finish()
	case err != nil && countsAsFailure(ctx, err):
		r.end.failed, r.end.crashed = true, isCrash(err)
		r.finish()
	}
	return frame, err
}

func (r *evidenceReader) finish() {
	if !r.posted {
		r.posted = true
		r.post(r.end)
	}
}
