package router

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that hold requests open by sending a body that never ends,
// a byte now and then.
func TestSlowBodiesEnd(t *testing.T) {
	is := is.New(t)
	failed := make(chan error, 1)
	srv := httptest.NewServer(limitBodyTime(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		failed <- err
	}), func() time.Duration { return 200 * time.Millisecond }))
	defer srv.Close()
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
	is.NoErr(err)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		select {
		case err := <-failed:
			is.True(errors.Is(err, os.ErrDeadlineExceeded))
			return
		case <-time.After(20 * time.Millisecond):
			_, _ = io.WriteString(c, "x")
		}
	}
	t.Fatal("the body is still being read")
}

// Guards against a bound on the body that also cancels a request whose answer takes
// longer, or that cuts the next request on the connection.
func TestBodyTimeEndsWithTheBody(t *testing.T) {
	is := is.New(t)
	const timeout = 100 * time.Millisecond
	srv := httptest.NewServer(limitBodyTime(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		select {
		case <-r.Context().Done():
		case <-time.After(3 * timeout):
			_, _ = w.Write(body)
		}
	}), func() time.Duration { return timeout }))
	defer srv.Close()
	for range 2 {
		res, err := srv.Client().Post(srv.URL, "text/plain", strings.NewReader("body"))
		is.NoErr(err)
		body, err := io.ReadAll(res.Body)
		is.NoErr(err)
		is.NoErr(res.Body.Close())
		is.Equal(string(body), "body")
	}
}
