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

// sender sends calls to entries, or to engines without the fleet.
type sender struct {
	s    Settings
	http *http.Client
}

func newSender(s Settings) *sender {
	dialer := &net.Dialer{Timeout: time.Second, Control: refuseOthers}
	return &sender{s: s, http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: s.Concurrency, IdleConnTimeout: time.Minute,
	}}}
}

// refuseOthers keeps a connection from leaving the machine, whatever the
// settings or a redirect say.
func refuseOthers(_, address string, _ syscall.RawConn) error {
	if !isLoopback(address) {
		return eris.Errorf("load: target %s is not a loopback address", address)
	}
	return nil
}

// send starts one attempt of c at an entry; from is the first frame that the
// caller still lacks.
func (s *sender) send(ctx context.Context, c call, entry, from int) (*http.Response, error) {
	req, err := s.request(ctx, c, s.s.Entries[entry%len(s.s.Entries)], from)
	if err != nil {
		return nil, eris.Wrap(err, "load: call cannot be made")
	}
	return s.http.Do(req)
}

func (s *sender) request(ctx context.Context, c call, address string, from int) (*http.Request, error) {
	if s.s.Protocol == ProtocolEngine {
		body, err := json.Marshal(endpointapi.GenerateRequest{
			ID: c.ID, Chat: c.hashKey(), Prefill: c.Prefill, MaxTokens: int64(c.Tokens), ResumeFrom: from, Body: c.Body,
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

// hashKey is the name under which an engine caches the chat.
func (c call) hashKey() string { return string(c.Workspace.Name) + "\x00" + string(c.Chat) }
