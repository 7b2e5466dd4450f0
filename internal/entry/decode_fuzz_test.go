package entry

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// checkDecoded fails the test unless the request was refused as not run or is within
// all bounds.
func checkDecoded(t *testing.T, maxBody int64, got any, err error) {
	t.Helper()
	if err != nil {
		if r := model.AsRefusal(err); r.Outcome != model.OutcomeNotRun || r.Reason != model.ReasonBadRequest {
			t.Fatalf("refused with %v", r)
		}
		return
	}
	req := got.(*model.Request)
	switch {
	case req.ID == "" || req.Route == "" || req.Stages == nil:
		t.Fatal("request lacks its id, route or stages")
	case int64(len(req.Body)) > maxBody || len(req.Chat) > maxHeaderValueBytes || len(req.ID) > maxHeaderValueBytes:
		t.Fatal("request is beyond its bounds")
	case req.Cost.Units() < 1 || req.Cost.Generate > maxTokensPerRequest || req.Cost.Generate < 0:
		t.Fatalf("cost is %+v", req.Cost)
	case req.ResumeFrom < 0 || time.Until(req.Deadline) > maxTimeout:
		t.Fatal("index or deadline is out of range")
	}
}

// Guards against a chat request that crashes the process or exceeds a bound.
func FuzzDecodeChat(f *testing.F) {
	f.Add([]byte(`{"messages":[{"role":"user","content":"hi"}],"max_tokens":5,"stream":true}`), "bug-41", "3", "1000")
	f.Add([]byte(`{"messages":[],"max_tokens":-1}`), "", "-1", "0")
	f.Add([]byte(`{"messages":[{}],"max_tokens":1e9}`), "\xff", "9223372036854775807", "999999999999")
	f.Add([]byte(`[`), "c", "", "x")
	f.Fuzz(func(t *testing.T, body []byte, chat, last, timeout string) {
		e := &Entry{settings: Settings{MaxBody: 1 << 10, Timeout: time.Minute}}
		r := httptest.NewRequest("POST", "/v1/chat/completions", bytes.NewReader(body))
		r.Header.Set("Chat-Id", chat)
		r.Header.Set("Last-Event-ID", last)
		r.Header.Set("Request-Timeout", timeout)
		got, err := e.decodeChat(context.Background(), r)
		checkDecoded(t, 1<<10, got, err)
	})
}

// Guards against a service call that crashes the process or exceeds a bound.
func FuzzDecodeService(f *testing.F) {
	f.Add([]byte(`{"ticket":7}`), "assign", "key-1", "req-1")
	f.Add([]byte{}, "..", "", "")
	f.Fuzz(func(t *testing.T, body []byte, route, key, id string) {
		e := &Entry{settings: Settings{MaxBody: 1 << 10, Timeout: time.Minute}}
		r := httptest.NewRequest("POST", "/v1/services/tracker/x", bytes.NewReader(body))
		r.SetPathValue("service", "tracker")
		r.SetPathValue("route", route)
		r.Header.Set("Idempotency-Key", key)
		r.Header.Set("Request-Id", id)
		got, err := e.decodeService(context.Background(), r)
		checkDecoded(t, 1<<10, got, err)
	})
}
