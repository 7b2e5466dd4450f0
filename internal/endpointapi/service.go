package endpointapi

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/origin"
)

// maxServiceAnswerBytes bounds the body of a plain service's answer.
const maxServiceAnswerBytes = 1 << 20

// maxIdleTime is the idle time up to which a connection to a service is reused. A service that
// closes it at that moment leaves the outcome of the call unknown.
const maxIdleTime = 3 * time.Second

// Service runs requests on a plain service.
type Service struct {
	base   *url.URL
	id     model.EndpointID
	client func() *origin.Client // creates it at the first call, since it starts a goroutine
	http   *http.Client          // replaces client if it is not nil
}

// NewService returns a client of the service at base, whose scheme is http. It uses the client
// of origin, since net/http takes part of an answer without a length for the whole if the
// service breaks off the connection while the call is being written.
func NewService(base string, id model.EndpointID) *Service {
	u, err := url.Parse(base)
	if err != nil {
		u = &url.URL{} // calls fail, since the address is empty
	}
	return &Service{base: u, id: id, client: sync.OnceValue(func() *origin.Client { return origin.NewClientWithIdle(maxIdleConns) })}
}

// WithTransport returns a copy of the client that uses t. t must not return part of a body as
// the whole.
func (s *Service) WithTransport(t http.RoundTripper) *Service {
	return &Service{base: s.base, id: s.id, http: &http.Client{Transport: t}}
}

// Run calls the service and reads its complete answer.
func (s *Service) Run(ctx context.Context, req *model.Request) (*model.Answer, error) {
	_, path, _ := strings.Cut(string(req.Route), "/")
	header := http.Header{}
	header.Set(HeaderRequest, string(req.ID))
	header.Set(HeaderKey, req.IdempotencyKey)
	header.Set("Content-Type", "application/json")
	target := *s.base
	target.Path += "/" + path
	run := s.runOrigin
	if s.http != nil {
		run = s.runTransport
	}
	status, contentType, body, err := run(ctx, &target, header, req.Body)
	if err != nil {
		return nil, err
	}
	return &model.Answer{
		Request: req.ID, Status: status, ContentType: contentType,
		Endpoint: s.id, Stages: req.Stages, Frames: BodyFrames(req.ID, body),
	}, nil
}

// runOrigin makes a call with the client of origin.
func (s *Service) runOrigin(ctx context.Context, target *url.URL, header http.Header, body []byte) (status int, contentType string, answer []byte, err error) {
	address := target.Host
	if target.Port() == "" {
		address = net.JoinHostPort(target.Hostname(), "http")
	}
	res, err := s.client().Do(ctx, address, &origin.Request{
		Method: http.MethodPost, Target: target.RequestURI(), Host: target.Host, Header: header, Body: body,
		MaxIdle: maxIdleTime, Matches: func(http.Header) bool { return true },
	})
	switch {
	case errors.Is(err, origin.ErrNotSent) || errors.Is(err, origin.ErrCancelledUnsent):
		return 0, "", nil, model.Refuse(model.ReasonEndpointFailed, "the endpoint cannot be reached")
	case err != nil:
		return 0, "", nil, &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonCrashed, Detail: err.Error()}
	}
	answer, err = readAnswer(res.Body)
	res.Release(err == nil)
	return res.Status, res.Header.Get("Content-Type"), answer, err
}

// runTransport makes a call with the transport of a test.
func (s *Service) runTransport(ctx context.Context, target *url.URL, header http.Header, body []byte) (status int, contentType string, answer []byte, err error) {
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), bytes.NewReader(body))
	if err != nil {
		return 0, "", nil, eris.Wrap(err, "endpointapi: request cannot be made")
	}
	call.Header = header
	resp, err := s.http.Do(call)
	if err != nil {
		return 0, "", nil, callRefusal(err)
	}
	defer resp.Body.Close()
	if !origin.ValidStatus(resp.StatusCode) {
		return 0, "", nil, &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonCrashed, Detail: "the service's status is invalid"}
	}
	answer, err = readAnswer(resp.Body)
	return resp.StatusCode, resp.Header.Get("Content-Type"), answer, err
}

// readAnswer reads the body of an answer to its end.
func readAnswer(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxServiceAnswerBytes+1))
	if err != nil {
		return nil, &model.Refusal{Outcome: model.OutcomeRan, Reason: model.ReasonCrashed, Detail: "the service's answer was cut"}
	}
	if len(body) > maxServiceAnswerBytes {
		return nil, &model.Refusal{Outcome: model.OutcomeRan, Reason: model.ReasonEndpointFailed, Detail: "the service's answer is too large"}
	}
	return body, nil
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
