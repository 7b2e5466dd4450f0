package endpointapi

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
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

// serveRaw listens on the loopback interface, reads the head and at most read bytes of the body
// of one request on each connection, writes text and calls end.
func serveRaw(t *testing.T, read int64, text string, end func(*net.TCPConn)) (base string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.CopyN(io.Discard, req.Body, read)
					_, _ = io.WriteString(c, text)
					end(c.(*net.TCPConn))
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against part of a service's answer that is taken for the whole, because the service
// broke off the connection while the call was being written to it, and against a correct answer
// without a length that is refused.
func TestPartsOfAnswersAreNoAnswers(t *testing.T) {
	const size = 4 << 20
	for name, end := range map[string]func(*net.TCPConn){
		"reset": func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"close": func(*net.TCPConn) {},
	} {
		for _, read := range []int64{1 << 10, size} {
			t.Run(fmt.Sprintf("%s/%d", name, read), func(t *testing.T) {
				is := is.New(t)
				s := NewService(serveRaw(t, read, "HTTP/1.1 200 OK\r\n\r\npart", end), "service")
				taken := 0
				for range 20 {
					_, err := s.Run(context.Background(), &model.Request{ID: "r", Route: "tracker/assign", Body: make([]byte, size)})
					if err == nil {
						taken++
					} else {
						is.True(model.AsRefusal(err).Outcome != model.OutcomeNotRun)
					}
				}
				t.Logf("%d of 20 taken for complete", taken)
				if name == "close" && read == size {
					is.Equal(taken, 20)
				} else {
					is.Equal(taken, 0)
				}
			})
		}
	}
}

// Guards against a status that is none and is passed on as the answer of a service.
func TestInvalidStatusesAreNoAnswers(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "20", "2000", "OK"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			s := NewService(serveRaw(t, 0, "HTTP/1.1 "+status+" X\r\nContent-Length: 0\r\n\r\n", func(*net.TCPConn) {}), "service")
			_, err := s.Run(context.Background(), &model.Request{ID: "r", Route: "tracker/assign"})
			is.True(err != nil)
			is.Equal(model.AsRefusal(err).Outcome, model.OutcomeUnknown)
		})
	}
}
