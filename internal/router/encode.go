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

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// IsHopByHop reports whether a header, in canonical form, concerns one connection.
func IsHopByHop(name string) bool {
	for _, h := range hopHeaders {
		if h == name {
			return true
		}
	}
	return false
}

// encode writes an answer. A stream that breaks off ends its connection, so
// that it does not look complete.
func (r *Router) encode(_ context.Context, w http.ResponseWriter, response any) error {
	s := response.(served)
	h := w.Header()
	for name, values := range s.answer.Header {
		if !IsHopByHop(name) {
			h[name] = values
		}
	}
	r.closeIfLeaving(h)
	if s.answer.Events == nil {
		h.Set("Content-Length", strconv.Itoa(len(s.answer.Body)))
		w.WriteHeader(s.answer.Status)
		_, err := w.Write(s.answer.Body)
		r.logEnd(s.req, s.answer, err)
		return nil
	}
	defer s.answer.Events.Close()
	err := r.relay(w, s)
	r.logEnd(s.req, s.answer, err)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// relay writes the events of a stream as they arrive.
func (r *Router) relay(w http.ResponseWriter, s served) error {
	rc := http.NewResponseController(w)
	w.WriteHeader(s.answer.Status)
	for {
		event, err := s.answer.Events.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if s.req.FirstEvent == 0 {
			s.req.FirstEvent = time.Since(s.req.Arrived)
		}
		_ = rc.SetWriteDeadline(time.Now().Add(writeTime))
		if _, err := w.Write(event); err != nil {
			return err
		}
		if err := rc.Flush(); err != nil {
			return err
		}
	}
}

// encodeRefusal writes the final answer of a refused request.
func (r *Router) encodeRefusal(_ context.Context, err error, w http.ResponseWriter) {
	refusal := model.AsRefusal(err)
	if refusal.Reason == model.ReasonCancelled {
		panic(http.ErrAbortHandler) // nobody waits for the answer
	}
	status, header := r.deps.Protocol.Refusal(refusal)
	for name, values := range header {
		w.Header()[name] = values
	}
	r.closeIfLeaving(w.Header())
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

func (r *Router) closeIfLeaving(h http.Header) {
	if r.loop.Snapshot().Phase != Serving {
		h.Set("Connection", "close")
	}
}

// logEnd writes the one line that tells how a request ended.
func (r *Router) logEnd(req *Request, answer *Answer, err error) {
	route, workspace := "", ""
	if req.Route != nil {
		route = string(req.Route.Name)
	}
	if req.Workspace != nil {
		workspace = string(req.Workspace.Name)
	}
	since := time.Since(req.Arrived)
	took, m := since.Milliseconds(), measured{result: "answered", took: since, first: req.FirstEvent}
	if req.Workspace != nil {
		m.workspace = req.Workspace.Name
	}
	defer func() { r.meter.note(m) }()
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
			"status", answer.Status, "part", partName(req.sharedPart()), "chosen", req.ChoiceReason, "fetched_from", req.FetchFrom, "sends", req.Sends, "took_ms", took)
	}
}

// configAge returns the version of the configuration in force and the time in
// milliseconds since it was confirmed, or zeros before the first one.
func (r *Router) configAge() (version, ageMs int64) {
	s := r.loop.Snapshot()
	if s.Catalog == nil {
		return 0, 0
	}
	return s.Catalog.Version, (boottime.Now() - s.Confirmed).Milliseconds()
}
