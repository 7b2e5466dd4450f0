package endpointapi

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// fixedResponse is a transport that answers every request with the given status
// and body.
type fixedResponse struct {
	status int
	body   []byte
}

func (a fixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: a.status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(a.body))}, nil
}

// checkFrames reads an answer to its end and fails if frames are missing, follow
// the end frame or are more than requested.
func checkFrames(t *testing.T, a *model.Answer, from, limit int) {
	t.Helper()
	defer a.Frames.Close()
	for want := from; ; want++ {
		f, err := a.Frames.Next(context.Background())
		if err != nil {
			if errors.Is(err, io.EOF) {
				t.Fatal("answer ended without an end frame")
			}
			return
		}
		if f.Index != want || f.Request != "r" || want-from > limit {
			t.Fatalf("got frame %d of request %s instead of frame %d", f.Index, f.Request, want)
		}
		if f.Kind == model.FrameEnd {
			if _, err := a.Frames.Next(context.Background()); !errors.Is(err, io.EOF) {
				t.Fatal("answer continues after its end frame")
			}
			return
		}
	}
}

// Guards against an engine's answer that makes the process panic, or is taken
// for complete although it is malformed, truncated or too long.
func FuzzEngineAnswer(f *testing.F) {
	f.Add(200, []byte("{\"version\":\"v1\",\"cached\":3}\n{\"token\":\"a \"}\n{\"token\":\"b \"}\n{\"done\":true}\n"))
	f.Add(200, []byte("{\"version\":\"v1\"}\n{\"token\":\"a \"}\n"))
	f.Add(200, []byte("{}\n{\"token\":\"a\"}\n{\"token\":\"b\"}\n{\"token\":\"c\"}\n{\"token\":\"d\"}\n{\"token\":\"e\"}\n{\"done\":true}\n"))
	f.Add(200, []byte("{}\n{\"error\":\"out of memory\"}\n"))
	f.Add(500, []byte("failed"))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		const limit = 4
		e := &Engine{base: "http://127.0.0.1:1", http: &http.Client{Transport: fixedResponse{status, body}}}
		req := &model.Request{ID: "r", Cost: model.Cost{Generate: limit}}
		if a, err := e.Run(context.Background(), req); err == nil {
			checkFrames(t, a, 0, limit)
		} else if model.AsRefusal(err).Outcome == model.OutcomeNotRun {
			t.Fatal("refused as not run although the engine answered, so that the request may have run")
		}
	})
}

// Guards against a service's answer that makes the process panic.
func FuzzServiceAnswer(f *testing.F) {
	f.Add(200, []byte(`{"run":1}`))
	f.Add(500, []byte{})
	service := NewService("http://127.0.0.1:1", "service")
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		s := service.WithTransport(fixedResponse{status, body})
		if a, err := s.Run(context.Background(), &model.Request{ID: "r", Route: "tracker/assign"}); err == nil {
			checkFrames(t, a, 0, 1)
		}
	})
}

// Guards against an engine state that makes the process panic.
func FuzzEngineState(f *testing.F) {
	f.Add(200, []byte(`{"fence":3,"loaded":["v1"],"loading":["v2"]}`))
	f.Add(200, []byte(`{"loaded":{}}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		e := &Engine{base: "http://127.0.0.1:1", http: &http.Client{Transport: fixedResponse{status, body}}}
		if st, err := e.State(context.Background()); err != nil && len(st.Loaded) > 0 && status != 200 {
			t.Fatal("a refused read returned a state")
		}
	})
}
