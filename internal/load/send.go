package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
)

// sender sends calls to entries, or directly to engine stand-ins.
type sender struct {
	settings Settings
	http     *http.Client
}

func newSender(s Settings) *sender {
	dialer := &net.Dialer{Timeout: time.Second, Control: denyNonLoopback}
	return &sender{settings: s, http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: s.Concurrency, IdleConnTimeout: time.Minute,
	}}}
}

// denyNonLoopback rejects connections to other machines. It checks the resolved
// address of each connection, whatever the settings or a redirect say.
func denyNonLoopback(_, address string, _ syscall.RawConn) error {
	if !isLoopback(address) {
		return eris.Errorf("load: target %s is not a loopback address", address)
	}
	return nil
}

// send starts an attempt of c at an entry. The answer resumes at frame from, the
// first one not yet received.
func (s *sender) send(ctx context.Context, c call, entry, from int) (*http.Response, error) {
	req, err := s.request(ctx, c, s.settings.Entries[entry%len(s.settings.Entries)], from)
	if err != nil {
		return nil, eris.Wrap(err, "load: build request")
	}
	return s.http.Do(req)
}

func (s *sender) request(ctx context.Context, c call, address string, from int) (*http.Request, error) {
	if s.settings.Protocol == ProtocolEngine {
		body, err := json.Marshal(endpointapi.GenerateRequest{
			ID: c.ID, Chat: c.cacheKey(), Prefill: c.Prefill, MaxTokens: int64(c.Tokens), ResumeFrom: from, Body: c.Body,
		})
		if err != nil {
			return nil, err
		}
		return http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+endpointapi.PathGenerate, bytes.NewReader(body))
	}
	path := "/v1/chat/completions"
	if c.Route != "" {
		path = "/v1/services/" + c.Route
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	h := req.Header
	h.Set("Authorization", "Bearer "+c.Workspace.Key)
	h.Set("Request-Id", string(c.ID))
	h.Set("Content-Type", "application/json")
	for name, value := range map[string]string{"Chat-Id": string(c.Chat), "Idempotency-Key": c.Key, "Return-Token": c.ReturnToken} {
		if value != "" {
			h.Set(name, value)
		}
	}
	if from > 0 {
		h.Set("Last-Event-ID", strconv.Itoa(from-1))
	}
	return req, nil
}

// cacheKey returns the key under which an engine caches the chat.
func (c call) cacheKey() string { return string(c.Workspace.Name) + "\x00" + string(c.Chat) }
