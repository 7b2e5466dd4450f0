// Package wire encodes requests, answers, frames and refusals between an entry
// and a side: a JSON request, answered by a JSON head and JSON frames, one a
// line.
package wire

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Paths and headers between entry and side.
const (
	PathRun    = "/side/run"
	PathResume = "/side/resume"
	PathKV     = "/side/kv/"     // GET and PUT, followed by the chat
	HeaderKey  = "Goldcrest-Key" // shared key of the fleet
)

// Limits on what entry and side accept from each other.
const (
	MaxRequestBytes = 8 << 20 // one encoded request
	MaxFrameBytes   = 1 << 20 // one encoded frame
)

// Request is the encoded form of model.Request.
type Request struct {
	ID             model.RequestID    `json:"id"`
	Workspace      model.Workspace    `json:"workspace"`
	Plan           model.Plan         `json:"plan"`
	Priority       int                `json:"priority,omitempty"`
	Chat           model.ChatID       `json:"chat,omitempty"`
	Route          model.Route        `json:"route"`
	Pool           model.Pool         `json:"pool"`
	Kind           model.EndpointKind `json:"kind"`
	Idempotent     bool               `json:"idempotent,omitempty"`
	IdempotencyKey string             `json:"idempotency_key,omitempty"`
	TimeoutMS      int64              `json:"timeout_ms,omitempty"` // time until the deadline, since clocks are not compared
	Fingerprint    uint64             `json:"fingerprint,omitempty"`
	Prefill        int64              `json:"prefill,omitempty"`
	Generate       int64              `json:"generate,omitempty"`
	ResumeFrom     int                `json:"from,omitempty"`
	Attempt        int                `json:"attempt,omitempty"`
	AttemptID      string             `json:"hand_over,omitempty"`
	Version        model.Version      `json:"version,omitempty"`
	KVSource       string             `json:"kv_from,omitempty"` // address of the side that holds the chat's cache
	Takeover       bool               `json:"takeover,omitempty"`
	Body           []byte             `json:"body,omitempty"`
}

// FromRequest returns the encoded form of req at now.
func FromRequest(req *model.Request, now time.Time) Request {
	w := Request{
		ID: req.ID, Workspace: req.Workspace, Plan: req.Plan, Priority: req.Priority,
		Chat: req.Chat, Route: req.Route, Pool: req.Pool, Kind: req.Kind,
		Idempotent: req.Idempotent, IdempotencyKey: req.IdempotencyKey,
		Fingerprint: req.Fingerprint, Prefill: req.Cost.Prefill, Generate: req.Cost.Generate,
		ResumeFrom: req.ResumeFrom, Attempt: req.Attempt, AttemptID: req.AttemptID, Version: req.Version, Takeover: req.Takeover, KVSource: req.KVSource, Body: req.Body,
	}
	if !req.Deadline.IsZero() {
		w.TimeoutMS = max(1, req.Deadline.Sub(now).Milliseconds())
	}
	return w
}

// Model returns the request that w encodes, received at now.
func (w Request) Model(now time.Time) *model.Request {
	req := &model.Request{
		ID: w.ID, Workspace: w.Workspace, Plan: w.Plan, Priority: w.Priority,
		Chat: w.Chat, Route: w.Route, Pool: w.Pool, Kind: w.Kind,
		Idempotent: w.Idempotent, IdempotencyKey: w.IdempotencyKey,
		Fingerprint: w.Fingerprint, Cost: model.Cost{Prefill: w.Prefill, Generate: w.Generate},
		ResumeFrom: w.ResumeFrom, Attempt: w.Attempt, AttemptID: w.AttemptID, Version: w.Version, Takeover: w.Takeover, KVSource: w.KVSource, Body: w.Body,
		Stages: &model.StageTimes{},
	}
	if w.TimeoutMS > 0 {
		req.Deadline = now.Add(time.Duration(w.TimeoutMS) * time.Millisecond)
	}
	return req
}

// Head precedes the frames of an answer.
type Head struct {
	Request     model.RequestID  `json:"request"`
	Status      int              `json:"status"`
	ContentType string           `json:"content_type,omitempty"`
	Endpoint    model.EndpointID `json:"endpoint"`
	Version     model.Version    `json:"version,omitempty"`
	LoadRatio   float64          `json:"load_ratio,omitempty"`
	CachedUnits int64            `json:"cached_units,omitempty"`
	QueueUS     int64            `json:"queue_us,omitempty"` // time in the side's queue
	AdmitUS     int64            `json:"admit_us,omitempty"` // time for claim and admission
}

// Frame is the encoded form of model.Frame.
type Frame struct {
	Request model.RequestID `json:"r"`
	Index   int             `json:"i"`
	Kind    model.FrameKind `json:"k"`
	Data    []byte          `json:"d,omitempty"`
}

// Refusal is the encoded form of model.Refusal.
type Refusal struct {
	Request      model.RequestID  `json:"request"`             // the refused request; a refusal can arrive on the connection of another request
	AttemptID    string           `json:"hand_over,omitempty"` // the refused attempt; empty if the attempt has no id
	Outcome      model.Outcome    `json:"outcome"`
	Reason       model.Reason     `json:"reason"`
	Detail       string           `json:"detail,omitempty"`
	RetryAfterMS int64            `json:"retry_after_ms,omitempty"`
	LoadRatio    float64          `json:"load_ratio,omitempty"`
	Owner        model.EndpointID `json:"owner,omitempty"`
	Crash        string           `json:"crash,omitempty"`
}

// FromRefusal returns the encoded form of the refusal r of request id, for any of its
// attempts.
func FromRefusal(id model.RequestID, r *model.Refusal) Refusal {
	return Refusal{
		Request: id,
		Outcome: r.Outcome, Reason: r.Reason, Detail: r.Detail,
		RetryAfterMS: r.RetryAfter.Milliseconds(), LoadRatio: r.LoadRatio, Owner: r.Owner, Crash: r.Crash,
	}
}

// Model returns the refusal that w encodes.
func (w Refusal) Model() *model.Refusal {
	return &model.Refusal{
		Outcome: w.Outcome, Reason: w.Reason, Detail: w.Detail,
		RetryAfter: time.Duration(w.RetryAfterMS) * time.Millisecond, LoadRatio: w.LoadRatio, Owner: w.Owner, Crash: w.Crash,
	}
}

// DecodeRequest decodes one request from r.
func DecodeRequest(r io.Reader) (Request, error) {
	var w Request
	if err := json.NewDecoder(io.LimitReader(r, MaxRequestBytes)).Decode(&w); err != nil {
		return Request{}, eris.Wrap(err, "wire: request is malformed")
	}
	if w.ID == "" || w.Route == "" || w.Pool == "" {
		return Request{}, eris.New("wire: request lacks its id, route or pool")
	}
	return w, nil
}

// WriteRefusal writes the refusal of an attempt of request id as the response. The
// status is 409 whatever the reason, so that the status of an intermediary cannot be
// taken for a refusal.
func WriteRefusal(w http.ResponseWriter, id model.RequestID, attemptID string, r *model.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	out := FromRefusal(id, r)
	out.AttemptID = attemptID
	_ = json.NewEncoder(w).Encode(out)
}
