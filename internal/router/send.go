package router

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/catalog"
	"github.com/goldcrestturn/goldcrestturn/internal/memory"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/origin"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
)

const (
	// maxIdleAtMostOnce is the maximum idle time of a connection that is reused for
	// a request that must not be sent twice. If the endpoint closes the connection
	// at that moment, the outcome of the request is unknown, which is far worse
	// than the cost of a new connection.
	maxIdleAtMostOnce = 500 * time.Millisecond
	// maxIdleRetryable is the same bound for other requests. On the platform a connection ends
	// without a reset after three seconds in which its keep-alives are unanswered; origin resets
	// it before if the request was sent early enough.
	maxIdleRetryable = 2 * time.Second
	// maxAnswerBytes is the maximum size of the body of an answer that is not a
	// stream. The body is held in memory.
	maxAnswerBytes = 4 << 20
	// stallFactor times the latency target is how long a retryable request waits
	// for a silent endpoint before it is retried at another one, but at least
	// minStallTimeout.
	stallFactor     = 3
	minStallTimeout = 400 * time.Millisecond
	// minStreamStallTimeout is longer, since an engine sends nothing while it
	// prefills long prompts.
	minStreamStallTimeout = 1500 * time.Millisecond
)

// send is the last filter. It sends a request to its endpoint and reads the
// answer, or its head if the answer is a stream.
type send struct {
	client          *origin.Client
	protocol        Protocol
	recordResult    func(endpoint model.EndpointID, result place.Result, pendingPart uint64)
	recordNotice    func(endpoint model.EndpointID, class ResponseClass)
	recordTimes     func(endpoint model.EndpointID, times place.AnswerTime)
	recordCrash     func(context.Context, *Request)
	recordAbandoned func(*Request)
	recordSound     func(*Request)
	recordBegan     func(*Request)
	checkKey        func(*Request) *model.Refusal
	hasAlternative  func(*Request) bool // another endpoint may take over the request
	log             *slog.Logger
}

func (send) Name() string { return "send" }

func (f send) Handle(ctx context.Context, req *Request, _ handler) (*Answer, error) {
	left := timeLeft(req, time.Now())
	if r := f.checkKey(req); r != nil || left <= 0 || ctx.Err() != nil {
		f.recordResult(req.Endpoint.ID, place.Cancelled, req.PendingPart)
		if r == nil {
			return nil, refuseTimedOut(req)
		}
		return nil, unknownIfRun(req, r)
	}
	stall := stallTimeout(req)
	out := &origin.Request{
		Method: req.Method, Target: req.Target, Host: req.Host, Body: req.Body,
		Header:                f.protocol.OutboundHeader(req, left),
		Matches:               func(h http.Header) bool { return f.protocol.AnswerMatches(req, h) },
		MaxIdle:               maxIdleAtMostOnce,
		ResponseHeaderTimeout: stall,
		ExtendWait:            func() time.Duration { return f.extendWait(req, stall) },
		Memory:                req.memory,
		Trace:                 &req.trace,
		Avoid:                 req.connections,
	}
	if req.Route.Retryable() {
		out.MaxIdle = maxIdleRetryable
	}
	req.Sends++
	req.Runs++
	req.countSend()
	sent := time.Now()
	res, err := f.client.Do(ctx, req.Endpoint.Address, out)
	answersSkipped.Add(req.trace.Skipped)
	req.connections = append(req.connections, req.trace.Connection)
	if err != nil {
		return nil, f.refuseFailed(ctx, req, err)
	}
	return f.readAnswer(ctx, req, res, sent)
}

// extendWait returns how much longer req waits for an endpoint that has been silent for a
// stall timeout: 0 if another endpoint may take over the request. Otherwise the work of
// the silent one would be lost for nothing.
func (f send) extendWait(req *Request, timeout time.Duration) time.Duration {
	if f.hasAlternative(req) {
		return 0
	}
	waitsExtended.Inc()
	return timeout
}

// stallTimeout returns how long req, which is about to be sent, waits for the head of
// the answer, or 0 for no bound but the deadline. Only a request that can still be
// retried abandons a silent endpoint.
func stallTimeout(req *Request) time.Duration {
	if !req.Route.Retryable() || req.Runs+1 >= req.Route.Attempts {
		return 0
	}
	if req.Route.Semantics == catalog.Stream {
		return max(minStreamStallTimeout, stallFactor*req.Route.LatencyTarget)
	}
	return max(minStallTimeout, stallFactor*req.Route.LatencyTarget)
}

// refuseFailed records the result of a failed attempt and returns the refusal for
// it.
func (f send) refuseFailed(ctx context.Context, req *Request, err error) *model.Refusal {
	if ctx.Err() != nil && !errors.Is(err, origin.ErrCancelledUnsent) && !errors.Is(err, origin.ErrNotSent) {
		f.recordAbandoned(req)
	}
	switch {
	case errors.Is(err, origin.ErrNotSent):
		req.Sends--
		req.Runs--
		f.recordResult(req.Endpoint.ID, place.Unreachable, req.PendingPart)
		return unknownIfRun(req, refuseWithRetryAfter(model.ReasonUnreachable, "endpoint cannot be reached", defaultRetryAfter))
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		f.recordResult(req.Endpoint.ID, place.Failed, 0)
		return refuseTimedOut(req)
	case ctx.Err() != nil:
		f.recordResult(req.Endpoint.ID, place.Cancelled, 0)
		return &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonCancelled, Detail: "the caller left"}
	case errors.Is(err, memory.ErrExhausted):
		f.recordResult(req.Endpoint.ID, place.Cancelled, 0)
		memoryRefusals[heldByAnswer].Inc()
		return &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonMemory, Detail: err.Error()}
	}
	f.recordCrash(ctx, req)
	f.recordResult(req.Endpoint.ID, place.Failed, 0)
	return &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonEndpointFailed, Detail: err.Error()}
}

// readAnswer reads the answer whose head is in res to a request that was sent at a time.
func (f send) readAnswer(ctx context.Context, req *Request, res *origin.Response, sent time.Time) (*Answer, error) {
	class := f.protocol.ClassifyResponse(res.Status, res.Header)
	// A 421 is of another endpoint, and an answer without a signature may be of anyone.
	if !class.Misdirected && (class.Signed || class.NotRun) {
		f.recordNotice(req.Endpoint.ID, class)
	}
	if class.NotRun {
		req.Runs--
		return nil, f.refuseNotRun(req, res, class)
	}
	if !class.Signed {
		res.Close()
		f.recordResult(req.Endpoint.ID, place.Failed, 0)
		return nil, &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonEndpointFailed, Detail: "answer has no signature"}
	}
	if class.Promise && !req.Route.Retryable() {
		// The endpoint may have run the request, so the caller must not send it again.
		res.Close()
		f.recordResult(req.Endpoint.ID, place.EndpointError, 0)
		return nil, &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonEndpointFailed, Detail: "endpoint answered with a status that promises what it does not state"}
	}
	answer := &Answer{Status: res.Status, Header: res.Header, Endpoint: req.Endpoint.ID, EndpointError: res.Status >= http.StatusInternalServerError}
	if req.Route.Semantics == catalog.Stream && res.Status == http.StatusOK {
		answer.Events = &stream{filter: f, req: req, res: res, ctx: ctx, events: newEventSplitter(res.Body, req.memory),
			sent: sent, times: answerTime(req, class), resumed: req.LastEvent != ""}
		return answer, nil
	}
	if req.Route.Semantics != catalog.Stream && !answer.EndpointError {
		f.recordBegan(req)
	}
	body, err := memory.ReadAll(res.Body, res.Length, maxAnswerBytes, req.memory, errAnswerTooLong)
	res.Release(err == nil)
	if err != nil {
		return nil, f.refuseFailed(ctx, req, err)
	}
	answer.Body = body
	result := place.Answered
	if answer.EndpointError {
		result = place.EndpointError // an endpoint that fails all requests does not run them
	} else {
		f.recordSound(req)
		times := answerTime(req, class)
		times.FirstEvent = time.Since(sent)
		times.Whole = times.FirstEvent
		times.Bytes += len(body)
		f.recordTimes(req.Endpoint.ID, times)
	}
	req.countBytes(len(body))
	f.recordResult(req.Endpoint.ID, result, 0)
	return answer, nil
}

// answerTime returns what is known of the times of an answer when its head arrives.
func answerTime(req *Request, class ResponseClass) place.AnswerTime {
	return place.AnswerTime{Kind: req.Route.Name, Stated: class.Load, Load: req.endpointLoad, Uncached: req.uncached, Fetched: req.fetched, Bytes: len(req.Body)}
}

// errAnswerTooLong is returned for a body of more than maxAnswerBytes.
var errAnswerTooLong = eris.Errorf("router: answer is longer than %d bytes", maxAnswerBytes)

// refuseNotRun handles an answer that says that the endpoint did not run the
// request.
func (f send) refuseNotRun(req *Request, res *origin.Response, class ResponseClass) *model.Refusal {
	_, err := io.CopyN(io.Discard, res.Body, maxAnswerBytes+1)
	res.Release(errors.Is(err, io.EOF))
	result, detail := place.Refused, "endpoint did not run the request"
	if class.Misdirected {
		result, detail = place.Misdirected, "another endpoint has the address"
	}
	f.recordResult(req.Endpoint.ID, result, req.PendingPart)
	return unknownIfRun(req, refuseWithRetryAfter(model.ReasonOverloaded, detail, defaultRetryAfter))
}

// errNoEvent is returned for a stream without a length that ends before its first event.
var errNoEvent = eris.New("router: connection ended before the first event")

// stream reads the events of the answer of one endpoint.
type stream struct {
	filter   send
	req      *Request
	res      *origin.Response
	ctx      context.Context
	events   *eventSplitter
	sent     time.Time // when the request was sent
	times    place.AnswerTime
	resumed  bool // the answer continues that of another endpoint, so its times tell little
	begun    bool // an event has arrived
	waiting  bool // the read timeout of the next event runs
	finished bool
}

func (s *stream) Next() ([]byte, error) {
	if !s.waiting {
		timeout := s.readTimeout()
		s.res.SetReadTimeout(timeout, func() time.Duration { return s.filter.extendWait(s.req, timeout) })
	}
	event, err := s.events.next()
	if err == nil {
		// A stalled endpoint may still send comments, which are no progress.
		s.waiting = isComment(event)
		s.times.Bytes += len(event)
		s.req.countBytes(len(event))
		if !s.begun && !s.waiting {
			s.begun, s.times.FirstEvent = true, time.Since(s.sent)
			s.filter.recordBegan(s.req)
		}
		return event, nil
	}
	if errors.Is(err, io.EOF) && !s.begun && !s.res.Framed() {
		err = errNoEvent
	}
	switch {
	case errors.Is(err, io.EOF):
		s.filter.recordSound(s.req) // not earlier, since an endpoint may crash after its first events
		if s.begun && !s.resumed {
			s.times.Whole = time.Since(s.sent)
			s.filter.recordTimes(s.req.Endpoint.ID, s.times)
		}
		s.finish(true, place.Answered)
	case errors.Is(s.ctx.Err(), context.Canceled):
		s.finish(false, place.Cancelled)
	default:
		s.filter.recordCrash(s.ctx, s.req)
		s.finish(false, place.Failed)
	}
	if s.ctx.Err() != nil {
		err = s.ctx.Err() // rather than the error of the connection that ctx closed
	}
	return nil, err
}

// readTimeout returns how long the endpoint may take for the next event before the
// stream is resumed at another one, or 0 for no bound but the deadline if it cannot
// be.
func (s *stream) readTimeout() time.Duration {
	route := s.req.Route
	if !route.Retryable() || s.req.Runs >= route.Attempts {
		return 0
	}
	return max(minStreamStallTimeout, stallFactor*max(route.LatencyTarget, route.EventPause))
}

func (s *stream) Close() { s.finish(false, place.Cancelled) }

func (s *stream) finish(complete bool, result place.Result) {
	if s.finished {
		return
	}
	s.finished = true
	if result == place.Cancelled {
		s.filter.recordAbandoned(s.req)
	}
	s.res.Release(complete)
	s.filter.recordResult(s.req.Endpoint.ID, result, 0)
}
