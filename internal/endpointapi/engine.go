package endpointapi

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// maxLineBytes bounds the length of one line of an engine's answer.
const maxLineBytes = 256 << 10

// Engine runs requests on a model engine.
type Engine struct {
	base string
	id   model.EndpointID
	http *http.Client
}

// NewEngine returns a client of the engine at base.
func NewEngine(base string, id model.EndpointID) *Engine {
	return &Engine{base: base, id: id, http: newClient()}
}

// WithTransport returns a copy of the client that uses t.
func (e *Engine) WithTransport(t http.RoundTripper) *Engine {
	return &Engine{base: e.base, id: e.id, http: &http.Client{Transport: t}}
}

// Run starts a generation and returns its answer once the engine has accepted it.
func (e *Engine) Run(ctx context.Context, req *model.Request) (*model.Answer, error) {
	body, err := json.Marshal(GenerateRequest{
		ID: req.ID, Chat: req.HashKey(), Priority: req.Priority, Prefill: req.Cost.Prefill,
		MaxTokens: req.Cost.Generate, ResumeFrom: req.ResumeFrom, Version: req.Version, Route: req.Route, Body: req.Body,
	})
	if err != nil {
		return nil, eris.Wrap(err, "endpointapi: request cannot be encoded")
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+PathGenerate, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "endpointapi: request cannot be made")
	}
	resp, err := e.http.Do(call)
	if err != nil {
		return nil, callRefusal(err)
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonEndpointFailed, Detail: resp.Status}
	}
	frames := newEngineFrames(req, resp.Body)
	var head GenerateHead
	if err := frames.readLine(&head); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return &model.Answer{
		Request: req.ID, Status: http.StatusOK, Endpoint: e.id, Version: head.Version,
		CachedUnits: head.Cached, Frames: frames, Stages: req.Stages,
	}, nil
}

// callRefusal returns the refusal for a failed call. The request is known not to
// have run only if no connection was made.
func callRefusal(err error) *model.Refusal {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return model.Refuse(model.ReasonEndpointFailed, "the endpoint cannot be reached")
	}
	return &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonCrashed, Detail: err.Error()}
}

// engineFrames converts the lines of an engine's answer to frames.
type engineFrames struct {
	request   model.RequestID
	nextIndex int
	limit     int // index after the last requested token
	body      io.ReadCloser
	scanner   *bufio.Scanner
	ended     bool
}

func newEngineFrames(req *model.Request, body io.ReadCloser) *engineFrames {
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, 0, 4096), maxLineBytes)
	return &engineFrames{request: req.ID, nextIndex: req.ResumeFrom, limit: int(req.Cost.Generate), body: body, scanner: s}
}

// Next implements model.FrameReader. It ignores its context, since the body is
// bound to the context of the request.
func (f *engineFrames) Next(context.Context) (model.Frame, error) {
	if f.ended {
		return model.Frame{}, io.EOF
	}
	var l GenerateLine
	if err := f.readLine(&l); err != nil {
		return model.Frame{}, err
	}
	if l.Error != "" {
		return model.Frame{}, &model.Refusal{Outcome: model.OutcomeRan, Reason: model.ReasonEndpointFailed, Detail: l.Error}
	}
	if !l.Done && f.nextIndex >= f.limit {
		return model.Frame{}, &model.Refusal{Outcome: model.OutcomeRan, Reason: model.ReasonEndpointFailed, Detail: "the engine's answer is longer than asked for"}
	}
	frame := model.Frame{Request: f.request, Index: f.nextIndex, Kind: model.FrameToken, Data: []byte(l.Token)}
	if l.Done {
		frame.Kind, frame.Data, f.ended = model.FrameEnd, nil, true
	}
	f.nextIndex++
	return frame, nil
}

// Close implements model.FrameReader.
func (f *engineFrames) Close() error { return f.body.Close() }

func (f *engineFrames) readLine(out any) error {
	if !f.scanner.Scan() {
		return &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonCrashed, Detail: "the engine's answer was cut"}
	}
	return eris.Wrap(json.Unmarshal(f.scanner.Bytes(), out), "endpointapi: line of the engine is malformed")
}
