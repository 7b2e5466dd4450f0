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

// answering is a transport whose every answer has the given status and body.
type answering struct {
	status int
	body   []byte
}

func (a answering) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: a.status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(a.body))}, nil
}

// checkFrames reads an answer to its end and fails if its frames have gaps, go
// on after the end or are more than were asked for.
func checkFrames(t *testing.T, a *model.Answer, from, most int) {
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
		if f.Index != want || f.Request != "r" || want-from > most {
			t.Fatalf("frame %d of %s in place of frame %d", f.Index, f.Request, want)
		}
		if f.Kind == model.FrameEnd {
			if _, err := a.Frames.Next(context.Background()); !errors.Is(err, io.EOF) {
				t.Fatal("answer goes on after its end")
			}
			return
		}
	}
}

// Guards against an engine whose answer stops the process, or passes for a
// whole one although it is malformed, cut or too long.
func FuzzEngineAnswer(f *testing.F) {
	f.Add(200, []byte("{\"version\":\"v1\",\"cached\":3}\n{\"token\":\"a \"}\n{\"token\":\"b \"}\n{\"done\":true}\n"))
	f.Add(200, []byte("{\"version\":\"v1\"}\n{\"token\":\"a \"}\n"))
	f.Add(200, []byte("{}\n{\"token\":\"a\"}\n{\"token\":\"b\"}\n{\"token\":\"c\"}\n{\"token\":\"d\"}\n{\"token\":\"e\"}\n{\"done\":true}\n"))
	f.Add(200, []byte("{}\n{\"error\":\"out of memory\"}\n"))
	f.Add(500, []byte("failed"))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		const most = 4
		e := &Engine{base: "http://127.0.0.1:1", http: &http.Client{Transport: answering{status, body}}}
		req := &model.Request{ID: "r", Cost: model.Cost{Generate: most}}
		if a, err := e.Run(context.Background(), req); err == nil {
			checkFrames(t, a, 0, most)
		} else if model.AsRefusal(err).Outcome == model.OutcomeNotRun {
			t.Fatal("an answer of the engine proves that the request may have run")
		}
	})
}

// Guards against a service whose answer stops the process.
func FuzzServiceAnswer(f *testing.F) {
	f.Add(200, []byte(`{"run":1}`))
	f.Add(500, []byte{})
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		s := &Service{base: "http://127.0.0.1:1", http: &http.Client{Transport: answering{status, body}}}
		if a, err := s.Run(context.Background(), &model.Request{ID: "r", Route: "tracker/assign"}); err == nil {
			checkFrames(t, a, 0, 1)
		}
	})
}

// Guards against a state that stops the process.
func FuzzEngineState(f *testing.F) {
	f.Add(200, []byte(`{"fence":3,"loaded":["v1"],"loading":["v2"]}`))
	f.Add(200, []byte(`{"loaded":{}}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		e := &Engine{base: "http://127.0.0.1:1", http: &http.Client{Transport: answering{status, body}}}
		if st, err := e.State(context.Background()); err != nil && len(st.Loaded) > 0 && status != 200 {
			t.Fatal("a refused read has a state")
		}
	})
}
