package entry

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/listener"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Request headers of the client API.
const (
	headerChat        = "Chat-Id"
	headerKey         = "Idempotency-Key"
	headerTimeout     = "Request-Timeout" // milliseconds
	headerReturnToken = "Return-Token"
	headerRequest     = "Request-Id"
	headerLastEvent   = "Last-Event-ID" // index of the last frame that the caller received
)

// detailTooLarge is the detail of refusals of bodies that cannot be read.
const detailTooLarge = "the body cannot be read or is too large"

// RouteChat is the route of the chat completions path.
const RouteChat model.Route = "chat"

// Bounds and defaults of a request, besides the size of its body.
const (
	maxHeaderValueBytes = 256
	defaultMaxTokens    = 256
	memoryRetryAfter    = time.Second // bodies are held until their requests are answered
	maxTokensPerRequest = 32768
	charsPerToken       = 4 // typical of English text; used only to estimate the cost
)

// chatBody is the part of an OpenAI-style chat completions body that the
// fleet reads. The rest passes through to the engine.
type chatBody struct {
	Model     string       `json:"model"`
	Messages  messageSizes `json:"messages"`
	MaxTokens int64        `json:"max_tokens"`
	Stream    bool         `json:"stream"`
}

// messageSizes are the number of the messages of a chat and the bytes of their contents. The
// messages themselves are not kept: short ones take many times their text.
type messageSizes struct{ count, contents int64 }

// UnmarshalJSON implements json.Unmarshaler.
func (m *messageSizes) UnmarshalJSON(text []byte) error {
	*m = messageSizes{}
	d := json.NewDecoder(bytes.NewReader(text))
	if open, err := d.Token(); err != nil || open == nil {
		return err // null counts as no messages
	} else if open != json.Delim('[') {
		return eris.New("messages is no list")
	}
	for d.More() {
		var message chatMessage
		if err := d.Decode(&message); err != nil {
			return err
		}
		m.count++
		m.contents += int64(len(message.Content))
	}
	return nil
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// streamKey is the context key of a *bool that decodeChat sets if the caller asked
// for a stream.
type streamKey struct{}

// wantsStream reports whether the caller asked for server-sent events.
func wantsStream(ctx context.Context) bool {
	stream, _ := ctx.Value(streamKey{}).(*bool)
	return stream != nil && *stream
}

// decodeChat decodes a chat completions request.
func (e *Entry) decodeChat(ctx context.Context, r *http.Request) (any, error) {
	req, err := e.decodeCommon(r)
	if err != nil {
		return nil, err
	}
	var body chatBody
	if err := json.Unmarshal(req.Body, &body); err != nil {
		return nil, model.Refuse(model.ReasonBadRequest, "the body is not a chat completions request: "+err.Error())
	}
	if body.Messages.count == 0 {
		return nil, model.Refuse(model.ReasonBadRequest, "messages is empty")
	}
	if body.MaxTokens < 0 || body.MaxTokens > maxTokensPerRequest {
		return nil, model.Refuse(model.ReasonBadRequest, "max_tokens is out of range")
	}
	req.Route = RouteChat
	if body.Model != "" {
		req.Route = RouteChat + "/" + model.Route(body.Model)
	}
	req.Cost = chatCost(body)
	if stream, ok := ctx.Value(streamKey{}).(*bool); ok {
		*stream = body.Stream
	}
	return e.withFingerprint(req), nil
}

// chatCost estimates the cost from the length of the messages and the token limit.
func chatCost(body chatBody) model.Cost {
	generate := body.MaxTokens
	if generate == 0 {
		generate = defaultMaxTokens
	}
	return model.Cost{Prefill: 1 + body.Messages.contents/charsPerToken, Generate: generate}
}

// decodeService decodes a service call.
func (e *Entry) decodeService(_ context.Context, r *http.Request) (any, error) {
	req, err := e.decodeCommon(r)
	if err != nil {
		return nil, err
	}
	req.Route = serviceRoute(r)
	req.Cost = model.Cost{Prefill: 1}
	return e.withFingerprint(req), nil
}

// serviceRoute returns the route of a service call.
func serviceRoute(r *http.Request) model.Route {
	return model.Route(r.PathValue("service") + "/" + r.PathValue("route"))
}

// decodeCommon reads the body and the headers that all routes share.
func (e *Entry) decodeCommon(r *http.Request) (*model.Request, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, e.settings.MaxBody))
	switch {
	case errors.Is(err, listener.ErrMemory):
		refusal := model.Refuse(model.ReasonMemory, err.Error())
		refusal.RetryAfter = memoryRetryAfter
		return nil, refusal
	case err != nil:
		return nil, model.Refuse(model.ReasonBadRequest, detailTooLarge)
	}
	for _, h := range []string{headerChat, headerKey, headerTimeout, headerReturnToken, headerRequest} {
		if len(r.Header.Get(h)) > maxHeaderValueBytes {
			return nil, model.Refuse(model.ReasonBadRequest, "header "+h+" is too long")
		}
	}
	req := &model.Request{
		ID:             model.RequestID(r.Header.Get(headerRequest)),
		APIKey:         apiKey(r),
		Chat:           model.ChatID(r.Header.Get(headerChat)),
		IdempotencyKey: r.Header.Get(headerKey),
		ReturnToken:    r.Header.Get(headerReturnToken),
		Body:           body,
		Stages:         &model.StageTimes{},
	}
	if req.ID == "" {
		req.ID = model.RequestID(rand.Text())
	}
	return req, e.decodeNumericHeaders(r, req)
}

// apiKey returns the API key of a request.
func apiKey(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
}

// decodeNumericHeaders sets the deadline and the index to resume from.
func (e *Entry) decodeNumericHeaders(r *http.Request, req *model.Request) error {
	timeout := e.settings.Timeout
	if v := r.Header.Get(headerTimeout); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
			return model.Refuse(model.ReasonBadRequest, headerTimeout+" is not a number of milliseconds in range")
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	req.Deadline = time.Now().Add(timeout)
	if v := r.Header.Get(headerLastEvent); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 {
			return model.Refuse(model.ReasonBadRequest, headerLastEvent+" is not a frame index")
		}
		req.ResumeFrom = n + 1
	}
	return nil
}

// withFingerprint sets the fingerprint of req: a hash of its API key, route and
// body.
func (e *Entry) withFingerprint(req *model.Request) *model.Request {
	digest := xxhash.New()
	_, _ = digest.WriteString(hashKey(req.APIKey) + "\x00" + string(req.Route) + "\x00")
	_, _ = digest.Write(req.Body)
	req.Fingerprint = digest.Sum64()
	return req
}
