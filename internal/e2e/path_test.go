package e2e

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// post sends a request with the key of the workspace to an entry.
func (f *fleet) post(entry int, path, body string, headers map[string]string) *http.Response {
	f.t.Helper()
	is := is.New(f.t)
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, f.entries[entry].URL+path, strings.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	f.t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// waitUntilReady waits until the entry accepts requests. It receives the
// configuration and the instance list in the background.
func (f *fleet) waitUntilReady(entry int) {
	f.t.Helper()
	for f.ctx.Err() == nil {
		chat := f.post(entry, "/v1/chat/completions", `{"messages":[{"role":"user","content":"ready?"}],"max_tokens":1}`, nil)
		service := f.post(entry, "/v1/services/tracker/missing", `{}`, nil)
		if chat.StatusCode == http.StatusOK && service.StatusCode == http.StatusNotFound {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

const streamedChat = `{"messages":[{"role":"user","content":"summarise bug 41"}],"max_tokens":5,"stream":true}`

// Guards against a streamed answer that lacks tokens, its end or its return token.
func TestChatIsStreamedCompletely(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 2)
	f.waitUntilReady(0)
	resp := f.post(0, "/v1/chat/completions", streamedChat, map[string]string{"Chat-Id": "bug-41"})
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(resp.Header.Get("Return-Token") != "")
	events := 0
	last := ""
	for s := bufio.NewScanner(resp.Body); s.Scan(); {
		if data, ok := strings.CutPrefix(s.Text(), "data: "); ok {
			events++
			last = data
		}
	}
	is.Equal(last, "[DONE]")
	is.Equal(events, 5+2) // tokens, the final chunk and [DONE]
	is.True(strings.Contains(resp.Trailer.Get("Server-Timing"), "first_token"))
}

// Guards against entries that send the same chat to different endpoints.
func TestChatReachesTheSameEndpointFromEveryEntry(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4, 2)
	f.waitUntilReady(0)
	f.waitUntilReady(1)
	for _, chat := range []string{"a", "b", "c", "d", "e"} {
		h := map[string]string{"Chat-Id": chat}
		first := f.post(0, "/v1/chat/completions", streamedChat, h)
		second := f.post(1, "/v1/chat/completions", streamedChat, h)
		is.Equal(first.Header.Get("Return-Token"), second.Header.Get("Return-Token"))
	}
}

// Guards against a request with an unknown key that runs, or whose refusal does
// not say that it has not run.
func TestUnknownKeyIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 1)
	f.waitUntilReady(0)
	resp := f.post(0, "/v1/services/tracker/assign", `{}`, map[string]string{"Authorization": "Bearer wrong"})
	is.Equal(resp.StatusCode, http.StatusUnauthorized)
	var p struct {
		Outcome string `json:"outcome"`
	}
	is.NoErr(json.NewDecoder(resp.Body).Decode(&p))
	is.Equal(p.Outcome, "not_run")
	is.Equal(f.service.Runs(), int64(0))
}

// Guards against a service call that does not run or whose answer is lost.
func TestServiceCallRuns(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 1)
	f.waitUntilReady(0)
	resp := f.post(0, "/v1/services/tracker/assign", `{"ticket":7}`, map[string]string{"Idempotency-Key": "k1"})
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(strings.Contains(string(body), `"run":1`))
}
