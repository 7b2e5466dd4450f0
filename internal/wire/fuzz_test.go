package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Guards against a refusal that does not name its request and attempt: the entry could
// apply the outcome "not run" of another request, or of an earlier attempt, to this one.
func TestRefusalNamesItsRequest(t *testing.T) {
	w := httptest.NewRecorder()
	WriteRefusal(w, "r1", "a1", model.Refuse(model.ReasonDraining, ""))
	var got Refusal
	if err := json.NewDecoder(w.Body).Decode(&got); err != nil || got.Request != "r1" || got.AttemptID != "a1" {
		t.Fatalf("refusal names %q, attempt %q: %v", got.Request, got.AttemptID, err)
	}
}

// Guards against a malformed request that makes the side panic.
func FuzzDecodeRequest(f *testing.F) {
	f.Add([]byte(`{"id":"r","route":"chat","pool":"chat","timeout_ms":5,"body":"e30="}`))
	f.Add([]byte(`{"id":"r","route":"chat"}`))
	f.Add([]byte(`{"id":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		w, err := DecodeRequest(bytes.NewReader(data))
		if err == nil && w.Model(time.Unix(0, 0)).ID == "" {
			t.Error("request without an id")
		}
	})
}

// Guards against an answer that makes the entry panic or has frames after its
// end.
func FuzzReader(f *testing.F) {
	f.Add([]byte("{\"request\":\"r\",\"status\":200}\n{\"r\":\"r\",\"i\":0,\"k\":\"token\",\"d\":\"YQ==\"}\n{\"r\":\"r\",\"i\":1,\"k\":\"end\"}\n"))
	f.Add([]byte("{\"request\":\"r\"}\n{\"r\":\"r\",\"i\":-1,\"k\":\"error\",\"d\":\"e30=\"}\n"))
	f.Add([]byte("{\"request\":\"r\"}\n{\"r\":"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, _, err := NewReader(io.NopCloser(bytes.NewReader(data)))
		for n := 0; err == nil; n++ {
			if _, err = r.Next(context.Background()); n > len(data) {
				t.Fatal("more frames than bytes")
			}
		}
	})
}

// Guards against a malformed resume query that makes the side panic.
func FuzzDecodeResume(f *testing.F) {
	f.Add("request=r&workspace=w&route=chat&key=&idempotent=true&fp=1f&from=3")
	f.Add("request=r&request=s")
	f.Add("from=-1")
	f.Fuzz(func(t *testing.T, raw string) {
		q, err := url.ParseQuery(raw)
		if err != nil {
			return
		}
		if req, err := DecodeResume(q); err == nil && (req.ID == "" || req.ResumeFrom < 0) {
			t.Error("resume query without an id or with a negative index")
		}
	})
}
