// Package endpointapi is the client of the endpoints and defines the published
// HTTP formats of model engines and plain services.
package endpointapi

import "github.com/goldcrestturn/goldcrestturn/internal/model"

// GenerateRequest starts a generation on an engine.
type GenerateRequest struct {
	ID        model.RequestID `json:"id"`
	Chat      string          `json:"chat"` // name under which the engine caches the prefix
	Priority  int             `json:"priority"`
	Prefill   int64           `json:"prefill"`    // tokens of the prompt
	MaxTokens int64           `json:"max_tokens"` // tokens to generate
	From      int             `json:"from"`       // tokens already delivered; generation resumes after them
	Version   model.Version   `json:"version,omitempty"`
	Body      []byte          `json:"body"`
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

// Headers of a call to a plain service.
const (
	HeaderRequest = "Request-Id"
	HeaderKey     = "Idempotency-Key"
)
