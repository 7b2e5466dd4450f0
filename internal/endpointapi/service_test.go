package endpointapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Guards against an HTTP client that retries a call by itself. Go's client does
// so if a reused connection ends before the answer and the request has an
// Idempotency-Key, although the service may have run the call.
func TestServiceCallIsSentOnce(t *testing.T) {
	for name, body := range map[string][]byte{"with a body": []byte(`{"ticket":7}`), "without a body": nil} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if runs.Add(1) > 1 {
					panic(http.ErrAbortHandler) // the call ran, but its answer is lost
				}
			}))
			defer server.Close()
			s := NewService(server.URL, "service")
			req := &model.Request{ID: "r", Route: "tracker/assign", IdempotencyKey: "k", Body: body}
			_, err := s.Run(context.Background(), req)
			is.NoErr(err) // leaves an idle connection that is reused
			_, err = s.Run(context.Background(), req)
			is.Equal(model.AsRefusal(err).Outcome, model.OutcomeUnknown)
			is.Equal(runs.Load(), int64(2))
		})
	}
}
