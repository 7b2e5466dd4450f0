// Package endpointapi is the client of the endpoints and defines the published
// HTTP formats of model engines and plain services.
package endpointapi

import "github.com/goldcrestturn/goldcrestturn/internal/model"

// GenerateRequest starts a generation on an engine.
type GenerateRequest struct {
	ID         model.RequestID `json:"id"`
	Chat       string          `json:"chat"` // name under which the engine caches the prefix
	Priority   int             `json:"priority"`
	Prefill    int64           `json:"prefill"`    // tokens of the prompt
	MaxTokens  int64           `json:"max_tokens"` // tokens to generate
	ResumeFrom int             `json:"from"`       // number of tokens already delivered; generation resumes after them
	Version    model.Version   `json:"version,omitempty"`
	Route      model.Route     `json:"route,omitempty"`
	Body       []byte          `json:"body"`
}

// GenerateHead is the first line of an engine's answer.
type GenerateHead struct {
	Version model.Version `json:"version"`
	Cached  int64         `json:"cached"` // prompt tokens found in the prefix cache
}

// GenerateLine is one further line of an engine's answer.
type GenerateLine struct {
	Token string `json:"token,omitempty"`
	Done  bool   `json:"done,omitempty"`
	Error string `json:"error,omitempty"`
}

// Paths of an engine besides the orders interface.
const (
	PathGenerate = "/generate" // POST a GenerateRequest; the answer is a GenerateHead and GenerateLines
	PathCancel   = "/cancel/"  // POST, followed by the request id; 204 whether or not the request runs
	PathLoad     = "/load"     // GET the Load
	PathEvents   = "/events"   // GET ?since=N&wait_ms=M the CacheEvents
	PathKV       = "/kv/"      // GET and PUT the KV of a chat, followed by the chat
)

// Load is an engine's report of its own load, which lags behind the actual load.
type Load struct {
	Running     int   `json:"running"`      // requests in the batch
	Waiting     int   `json:"waiting"`      // requests without a slot
	Slots       int   `json:"slots"`        // maximum batch size; 0 means no limit
	Units       int64 `json:"units"`        // cost units of running and waiting requests
	CacheTokens int64 `json:"cache_tokens"` // tokens in the prefix cache
	CacheLimit  int64 `json:"cache_limit"`  // capacity of the prefix cache in tokens
	UptimeMS    int64 `json:"uptime_ms"`    // time since the engine process started
}

// CacheEventKind is what happened to the prefix of a chat.
type CacheEventKind string

// The kinds of cache event.
const (
	CacheStored  CacheEventKind = "stored"
	CacheRemoved CacheEventKind = "removed"
)

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Seq    int64          `json:"seq"`
	Kind   CacheEventKind `json:"kind"`
	Chat   string         `json:"chat"`
	Tokens int64          `json:"tokens"`
}

// CacheEvents is the answer to a read of the cache events. Events arrive with a
// delay and some are lost: a step of more than 1 between sequence numbers is a
// gap.
type CacheEvents struct {
	Next   int64        `json:"next"` // value of since for the next read
	Events []CacheEvent `json:"events"`
}

// KV is the cached prefix of a chat. Only engines with the same version can use
// it.
type KV struct {
	Chat    string        `json:"chat"`
	Version model.Version `json:"version"`
	Tokens  int64         `json:"tokens"`
}

// Headers of a call to a plain service.
const (
	HeaderRequest = "Request-Id"
	HeaderKey     = "Idempotency-Key"
)
