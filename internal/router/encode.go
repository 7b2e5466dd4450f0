package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/boottime"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// IsHopByHop reports whether the header with this canonical name applies to a
// single connection only.
func IsHopByHop(name string) bool {
	for _, h := range hopHeaders {
		if h == name {
			return true
		}
	}
	return false
}

// encode writes an answer to the caller. If a stream fails halfway, encode aborts
// the connection so that the caller does not take the answer for complete.
func (r *Router) encode(_ context.Context, w http.ResponseWriter, response any) error {
	s := response.(answeredRequest)
	if s.answer.Events != nil && s.req.noChunks {
		if err := collectEvents(&s); err != nil {
			r.logOutcome(s.req, nil, err)
			return err
		}
	}
	if s.answer.Events != nil {
		return r.encodeStream(w, s)
	}
	r.copyHeader(w.Header(), s.answer)
	w.Header().Set("Content-Length", strconv.Itoa(len(s.answer.Body)))
	w.WriteHeader(s.answer.Status)
	_, err := w.Write(s.answer.Body)
	r.logOutcome(s.req, s.answer, err)
	return nil
}

// copyHeader sets the header of an answer for the caller.
func (r *Router) copyHeader(h http.Header, answer *Answer) {
	for name, values := range answer.Header {
		if !IsHopByHop(name) {
			h[name] = values
		}
	}
	r.closeIfStopping(h)
}

// encodeStream writes the events of a stream to the caller as they arrive. It writes the
// head with the first event: an endpoint may send its own long before, and a stream that
// fails until then gets an answer that says so.
func (r *Router) encodeStream(w http.ResponseWriter, s answeredRequest) error {
	defer s.answer.Events.Close()
	event, err := s.answer.Events.Next()
	if err != nil && !errors.Is(err, io.EOF) {
		refusal := refuseWithoutEvents(s.req, err)
		r.logOutcome(s.req, nil, refusal)
		return refusal
	}
	r.copyHeader(w.Header(), s.answer)
	w.WriteHeader(s.answer.Status)
	err = r.relayEvents(w, s, event, err)
	r.logOutcome(s.req, s.answer, err)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// refuseWithoutEvents returns the refusal for a stream that ended in err before its first
// event. Its endpoint may have run the request.
func refuseWithoutEvents(req *Request, err error) *model.Refusal {
	switch {
	case errors.Is(err, context.Canceled):
		return &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonCancelled, Detail: "the caller left"}
	case errors.Is(err, context.DeadlineExceeded):
		return refuseTimedOut(req)
	}
	return &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonEndpointFailed, Detail: err.Error()}
}

// collectEvents reads a stream to its end into the body of its answer, for a caller that would
// take the end of the connection for the end of a stream that was broken off.
func collectEvents(s *answeredRequest) error {
	defer s.answer.Events.Close()
	whole := *s.answer
	whole.Events = nil
	for {
		event, err := s.answer.Events.Next()
		if errors.Is(err, io.EOF) {
			s.answer = &whole
			return nil
		}
		if err == nil && len(whole.Body)+len(event) > maxAnswerBytes {
			err = errAnswerTooLong
		}
		if err == nil {
			err = s.req.memory.Hold(int64(len(event)))
		}
		if err != nil {
			return refuseWithoutEvents(s.req, err)
		}
		whole.Body = append(whole.Body, event...)
	}
}

// relayEvents writes event and those that follow it, unless err is set.
func (r *Router) relayEvents(w http.ResponseWriter, s answeredRequest, event []byte, err error) error {
	rc := http.NewResponseController(w)
	for ; err == nil; event, err = s.answer.Events.Next() {
		if s.req.FirstEvent == 0 {
			s.req.FirstEvent = time.Since(s.req.Arrived)
		}
		_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(event); err != nil {
			return err
		}
		if err := rc.Flush(); err != nil {
			return err
		}
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// encodeRefusal writes the answer to a refused request.
func (r *Router) encodeRefusal(_ context.Context, err error, w http.ResponseWriter) {
	refusal := model.AsRefusal(err)
	if refusal.Reason == model.ReasonCancelled {
		panic(http.ErrAbortHandler) // the caller has disconnected
	}
	status, header := r.deps.Protocol.Refusal(refusal)
	for name, values := range header {
		w.Header()[name] = values
	}
	r.closeIfStopping(w.Header())
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// closeIfStopping has the server close the connection after the answer if a
// planned stop is in progress.
func (r *Router) closeIfStopping(h http.Header) {
	if r.loop.Snapshot().Phase != Serving {
		h.Set("Connection", "close")
	}
}

// logOutcome logs the outcome of a request, one line for each, and counts it.
func (r *Router) logOutcome(req *Request, answer *Answer, err error) {
	route, workspace := "", ""
	if req.Route != nil {
		route = string(req.Route.Name)
	}
	if req.Workspace != nil {
		workspace = string(req.Workspace.Name)
	}
	since := time.Since(req.Arrived)
	took, m := since.Milliseconds(), measurement{result: "answered", took: since, firstEvent: req.FirstEvent, pool: req.Pool, remote: req.sentRemote}
	if req.Workspace != nil {
		m.workspace = req.Workspace.Name
	}
	defer func() { r.meter.record(m) }()
	memoryHeld.Set(float64(r.memory.Held()))
	version, age := r.configAge()
	switch {
	case answer == nil:
		refusal := model.AsRefusal(err)
		m.result = string(refusal.Reason)
		r.log.Info("request refused", "request", req.ID, "route", route, "workspace", workspace, "endpoint", req.Endpoint.ID,
			"outcome", refusal.Outcome, "reason", refusal.Reason, "detail", refusal.Detail, "sends", req.Sends, "took_ms", took,
			"config_version", version, "config_age_ms", age)
	case err != nil:
		m.result = "cut"
		r.log.Info("answer cut", "request", req.ID, "route", route, "workspace", workspace, "endpoint", req.Endpoint.ID,
			"cause", err.Error(), "sends", req.Sends, "took_ms", took)
	default:
		r.log.Info("request answered", "request", req.ID, "route", route, "workspace", workspace, "endpoint", req.Endpoint.ID,
			"status", answer.Status, "part", formatPart(req.sharedPart()), "chosen", req.ChoiceReason, "fetched_from", req.FetchFrom, "connection", req.trace.Connection, "sends", req.Sends, "first_event_ms", req.FirstEvent.Milliseconds(), "took_ms", took)
	}
}

// configAge returns the version of the configuration in force and the
// milliseconds since it was confirmed, or zeros if there is none yet.
func (r *Router) configAge() (version, ageMs int64) {
	s := r.loop.Snapshot()
	if s.Catalog == nil {
		return 0, 0
	}
	return s.Catalog.Version, (boottime.Now() - s.Confirmed).Milliseconds()
}
