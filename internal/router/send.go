package router

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/catalog"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/origin"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
)

const (
	// idleOnce is how long a connection may have been idle for a request that
	// must not be sent twice. An endpoint that closes meanwhile leaves its
	// outcome unknown; a new connection costs far less.
	idleOnce = 500 * time.Millisecond
	// idleRepeatable is the same for other requests.
	idleRepeatable = 4 * time.Second
	// maxAnswer bounds an answer that is no stream, in bytes.
	maxAnswer = 16 << 20
	// stallFactor is the part of the latency objective after which a request
	// that may be repeated is taken from a silent endpoint; never before minStall.
	stallFactor = 3
	minStall    = 400 * time.Millisecond
	// minStreamStall allows for a pause in which an engine reads long prompts.
	minStreamStall = 1500 * time.Millisecond
)

// send is the last filter: it hands a request to its endpoint and reads the
// answer, or the start of a stream.
type send struct {
	client    *origin.Client
	protocol  Protocol
	ended     func(endpoint model.EndpointID, result place.Result, unread uint64)
	permitted func(*Request) *model.Refusal
	log       *slog.Logger
}

func (send) Name() string { return "send" }

func (f send) Handle(ctx context.Context, req *Request, _ handler) (*Answer, error) {
	left := untilDeadline(req, time.Now())
	if r := f.permitted(req); r != nil || left <= 0 || ctx.Err() != nil {
		f.ended(req.Endpoint.ID, place.Cancelled, req.PendingPart)
		if r == nil {
			return nil, timedOut(req)
		}
		return nil, truly(req, r)
	}
	out := &origin.Request{
		Method: req.Method, Target: req.Target, Host: req.Host, Body: req.Body,
		Header:                f.protocol.OutboundHeader(req, left),
		Matches:               func(h http.Header) bool { return f.protocol.AnswerMatches(req, h) },
		MaxIdle:               idleOnce,
		ResponseHeaderTimeout: stallTime(req),
	}
	if req.Route.Retryable() {
		out.MaxIdle = idleRepeatable
	}
	req.Sends++
	req.Runs++
	res, err := f.client.Do(ctx, req.Endpoint.Address, out)
	if err != nil {
		return nil, f.failed(ctx, req, err)
	}
	return f.read(ctx, req, res)
}

// stallTime returns how long a request waits for the head of its answer, or 0
// for as long as it has. Only a request that may still run elsewhere gives up on
// a silent endpoint.
func stallTime(req *Request) time.Duration {
	if !req.Route.Retryable() || req.Runs+1 >= req.Route.Attempts {
		return 0
	}
	if req.Route.Semantics == catalog.Stream {
		return max(minStreamStall, stallFactor*req.Route.LatencyTarget)
	}
	return max(minStall, stallFactor*req.Route.LatencyTarget)
}

// failed tells what a failed exchange means for the request and its endpoint.
func (f send) failed(ctx context.Context, req *Request, err error) *model.Refusal {
	switch {
	case errors.Is(err, origin.ErrNotSent):
		req.Sends--
		req.Runs--
		f.ended(req.Endpoint.ID, place.Unreachable, req.PendingPart)
		return truly(req, later(model.ReasonUnreachable, "endpoint cannot be reached", elsewhere))
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		f.ended(req.Endpoint.ID, place.Failed, 0)
		return timedOut(req)
	case ctx.Err() != nil:
		f.ended(req.Endpoint.ID, place.Cancelled, 0)
		return &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonCancelled, Detail: "the caller left"}
	}
	f.ended(req.Endpoint.ID, place.Failed, 0)
	return &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonEndpointFailed, Detail: err.Error()}
}

// read takes the answer whose head arrived.
func (f send) read(ctx context.Context, req *Request, res *origin.Response) (*Answer, error) {
	verdict := f.protocol.ClassifyResponse(res.Status, res.Header)
	if verdict.NotRun {
		req.Runs--
		return nil, f.refused(req, res, verdict)
	}
	if !verdict.Signed {
		res.Close()
		f.ended(req.Endpoint.ID, place.Failed, 0)
		return nil, &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonEndpointFailed, Detail: "answer has no signature"}
	}
	answer := &Answer{Status: res.Status, Header: res.Header, Endpoint: req.Endpoint.ID, EndpointError: res.Status >= http.StatusInternalServerError}
	if req.Route.Semantics == catalog.Stream && res.Status == http.StatusOK {
		answer.Events = &stream{req: req, res: res, ctx: ctx, split: newEventSplitter(res.Body), ended: f.ended}
		return answer, nil
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	res.Release(err == nil && len(body) < maxAnswer)
	if err != nil {
		return nil, f.failed(ctx, req, err)
	}
	answer.Body = body
	result := place.Answered
	if answer.EndpointError {
		result = place.EndpointError
	}
	f.ended(req.Endpoint.ID, result, 0)
	return answer, nil
}

// refused handles the endpoint's word that it did not run the request.
func (f send) refused(req *Request, res *origin.Response, v ResponseClass) *model.Refusal {
	_, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxAnswer))
	res.Release(err == nil)
	result, detail := place.Refused, "endpoint did not run the request"
	if v.Misdirected {
		result, detail = place.Misdirected, "another endpoint has the address"
	}
	f.ended(req.Endpoint.ID, result, req.PendingPart)
	return truly(req, later(model.ReasonOverloaded, detail, elsewhere))
}

// stream reads the events of one endpoint's answer.
type stream struct {
	req   *Request
	res   *origin.Response
	ctx   context.Context
	split *eventSplitter
	ended func(model.EndpointID, place.Result, uint64)
	over  bool
}

func (s *stream) Next() ([]byte, error) {
	s.res.SetReadTimeout(s.silence())
	event, err := s.split.next()
	if err == nil {
		return event, nil
	}
	switch {
	case errors.Is(err, io.EOF):
		s.finish(true, place.Answered)
	case errors.Is(s.ctx.Err(), context.Canceled):
		s.finish(false, place.Cancelled)
	default:
		s.finish(false, place.Failed)
	}
	if s.ctx.Err() != nil {
		err = s.ctx.Err() // not the connection's, which was closed for it
	}
	return nil, err
}

// silence returns how long the stream may be silent before it goes on
// elsewhere, or 0 if it cannot.
func (s *stream) silence() time.Duration { return stallTime(s.req) }

func (s *stream) Close() { s.finish(false, place.Cancelled) }

func (s *stream) finish(whole bool, result place.Result) {
	if s.over {
		return
	}
	s.over = true
	s.res.Release(whole)
	s.ended(s.req.Endpoint.ID, result, 0)
}
