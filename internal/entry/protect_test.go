package entry

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/program"
	"github.com/goldcrestturn/goldcrestturn/internal/wire"
)

// serve serves h on loopback with the server limits of a real entry.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	srv := program.NewServer(h)
	go func() { _ = srv.Serve(listener) }()
	t.Cleanup(func() { _ = srv.Close() })
	return listener.Addr().String()
}

func dial(t *testing.T, address, request string) net.Conn {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, request)
	is.NoErr(err)
	return conn
}

// Guards against a caller that sends its body slowly or never reads its answer, and
// thereby holds its connection for ever or delays another caller.
func TestSlowCallersAreDisconnected(t *testing.T) {
	is := is.New(t)
	failed := make(chan string, 2)
	address := serve(t, protect(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			failed <- "body"
			return
		}
		for r.URL.Path == "/endless" {
			if _, err := w.Write(bytes.Repeat([]byte("x"), 1<<16)); err != nil {
				failed <- "answer"
				return
			}
		}
		fmt.Fprint(w, "ok")
	}), 50*time.Millisecond, 50*time.Millisecond))

	dial(t, address, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf")
	dial(t, address, "GET /endless HTTP/1.1\r\nHost: a\r\n\r\n")
	resp, err := http.Get("http://" + address + "/")
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(string(body), "ok")
	first, second := <-failed, <-failed
	is.True(first != second) // one of each kind
}

// Guards against a read deadline for the body that cancels a request whose body
// arrived in time.
func TestLongAnswerOutlivesBodyDeadline(t *testing.T) {
	is := is.New(t)
	const bodyTimeout = 20 * time.Millisecond
	address := serve(t, protect(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		select {
		case <-time.After(5 * bodyTimeout):
			fmt.Fprint(w, "ok")
		case <-r.Context().Done():
		}
	}), bodyTimeout, time.Minute))
	resp, err := http.Post("http://"+address, "text/plain", strings.NewReader("body"))
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "ok")
}

// Guards against a caller that passes as a process of the fleet by sending internal
// headers.
func TestInternalHeadersAreRemoved(t *testing.T) {
	is := is.New(t)
	var got http.Header
	h := protect(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = r.Header }), time.Minute, time.Minute)
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	r.Header.Set(wire.HeaderKey, "shared")
	r.Header.Set("goldcrest-other", "x")
	r.Header.Set("Chat-Id", "c")
	h.ServeHTTP(httptest.NewRecorder(), r)
	is.Equal(got, http.Header{"Chat-Id": {"c"}})
}

// Guards against headers and bodies of unbounded size.
func TestHeadersAndBodiesAreBounded(t *testing.T) {
	is := is.New(t)
	e := &Entry{settings: Settings{MaxBody: 100, Timeout: time.Minute}}
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := e.decodeService(r.Context(), r)
		if err != nil {
			encodeError(r.Context(), err, w)
		}
	}))
	for _, c := range []struct {
		name, header string
		body         int
		status       int
	}{
		{"small", "x", 100, http.StatusOK},
		{"large body", "x", 101, http.StatusBadRequest},
		{"long header", strings.Repeat("x", maxHeaderValueBytes+1), 1, http.StatusBadRequest},
		{"huge header", strings.Repeat("x", 64<<10), 1, http.StatusRequestHeaderFieldsTooLarge},
	} {
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", bytes.NewReader(make([]byte, c.body)))
		is.NoErr(err)
		req.Header.Set("Chat-Id", c.header)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, c.status) // c.name
	}
}

// Guards against admin paths on the address for callers.
func TestAdminIsNotOnTheCallersAddress(t *testing.T) {
	is := is.New(t)
	e := New(Settings{Instance: "e", MaxBody: 100, Timeout: time.Minute}, Deps{Log: program.Logger(io.Discard, "text", ""), Transport: NewTransport()})
	for _, path := range []string{"/metrics", "/status", "/healthz", "/readyz"} {
		w := httptest.NewRecorder()
		e.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		is.Equal(w.Code, http.StatusNotFound)
	}
}
