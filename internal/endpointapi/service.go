package endpointapi

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// maxServiceAnswerBytes bounds the body of a plain service's answer.
const maxServiceAnswerBytes = 1 << 20

// Service runs requests on a plain service.
type Service struct {
	base string
	id   model.EndpointID
	http *http.Client
}

// NewService returns a client of the service at base.
func NewService(base string, id model.EndpointID) *Service {
	return &Service{base: base, id: id, http: newClient()}
}

// WithTransport returns a copy of the client that uses t.
func (s *Service) WithTransport(t http.RoundTripper) *Service {
	return &Service{base: s.base, id: s.id, http: &http.Client{Transport: t}}
}

// Run calls the service and reads its complete answer.
func (s *Service) Run(ctx context.Context, req *model.Request) (*model.Answer, error) {
	_, path, _ := strings.Cut(string(req.Route), "/")
	// The type of the body is hidden from net/http, which otherwise retries a
	// request with an Idempotency-Key if a reused connection ends before the
	// answer.
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, s.base+"/"+path, io.NopCloser(bytes.NewReader(req.Body)))
	if err != nil {
		return nil, eris.Wrap(err, "endpointapi: request cannot be made")
	}
	call.ContentLength = int64(len(req.Body))
	call.Header.Set(HeaderRequest, string(req.ID))
	call.Header.Set(HeaderKey, req.IdempotencyKey)
	call.Header.Set("Content-Type", "application/json")
	resp, err := s.http.Do(call)
	if err != nil {
		return nil, callRefusal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceAnswerBytes+1))
	if err != nil {
		return nil, &model.Refusal{Outcome: model.OutcomeRan, Reason: model.ReasonCrashed, Detail: "the service's answer was cut"}
	}
	if len(body) > maxServiceAnswerBytes {
		return nil, &model.Refusal{Outcome: model.OutcomeRan, Reason: model.ReasonEndpointFailed, Detail: "the service's answer is too large"}
	}
	return &model.Answer{
		Request: req.ID, Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"),
		Endpoint: s.id, Stages: req.Stages, Frames: BodyFrames(req.ID, body),
	}, nil
}

// BodyFrames returns the frames of a complete answer.
func BodyFrames(id model.RequestID, body []byte) model.FrameReader {
	return &bodyFrames{frames: []model.Frame{
		{Request: id, Index: 0, Kind: model.FrameBody, Data: body},
		{Request: id, Index: 1, Kind: model.FrameEnd},
	}}
}

type bodyFrames struct{ frames []model.Frame }

func (b *bodyFrames) Next(context.Context) (model.Frame, error) {
	if len(b.frames) == 0 {
		return model.Frame{}, io.EOF
	}
	f := b.frames[0]
	b.frames = b.frames[1:]
	return f, nil
}

func (b *bodyFrames) Close() error { return nil }
