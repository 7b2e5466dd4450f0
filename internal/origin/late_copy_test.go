package origin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a caller that gets an answer which is not its own, because the
// endpoint sends a second copy of an earlier answer just as the next request is being
// written on the connection: in pieces, with another length, without a length, or
// with the next answer glued to it. The next request then gets its own answer or
// fails.
func TestLateCopiesAreNoAnswer(t *testing.T) {
	whole := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Id: %s\r\n\r\n%s", len(body), id, body)
	}
	for _, test := range []struct {
		name   string
		copied string // the second copy of the answer to request a
		served bool   // the next request gets its answer on the same connection
	}{
		{"same", whole("a", "a"), true},
		{"other length", whole("a", strings.Repeat("a", 9000)), true},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: a\r\n\r\n1\r\na\r\n0\r\n\r\n", true},
		{"without a length", "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\na", false},
		{"shorter than it says", "HTTP/1.1 200 OK\r\nContent-Length: 500\r\nX-Id: a\r\n\r\na", false},
		{"without an id", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", true},
		{"refusal", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nX-Id: a\r\n\r\n", true},
		{"body only", "a", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go func() {
				for first := true; ; first = false {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go answerWithLateCopy(c, first, whole, test.copied)
				}
			}()
			c := NewClient()
			body, err := do(c, l.Addr().String(), request("a", nil))
			is.NoErr(err)
			is.Equal(body, "a")
			body, err = do(c, l.Addr().String(), request("b", func(r *Request) {
				r.Method, r.Body, r.ResponseHeaderTimeout = http.MethodPost, make([]byte, 64<<10), 2*time.Second
			}))
			if test.served {
				is.NoErr(err)
			}
			if err == nil {
				is.Equal(body, "b")
			}
			body, err = do(c, l.Addr().String(), request("c", nil)) // also on the connection that is left
			is.NoErr(err)
			is.Equal(body, "c")
		})
	}
}

// answerWithLateCopy answers the requests on a connection. On the first connection it
// sends the copy, byte by byte, when the head of the second request has arrived but
// not its body.
func answerWithLateCopy(c net.Conn, first bool, whole func(id, body string) string, copied string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if first && n == 2 {
			for i := range min(len(copied), 300) {
				if _, err := io.WriteString(c, copied[i:i+1]); err != nil {
					return
				}
			}
			if _, err := io.WriteString(c, copied[min(len(copied), 300):]); err != nil {
				return
			}
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get(idHeader)
		if _, err := io.WriteString(c, whole(id, id)); err != nil {
			return
		}
	}
}

// Guards against the second copy of the answer to an attempt that is taken for the answer
// to the next attempt of the same request: the endpoint refuses the first one and runs the
// second one, so the request would be taken as not run. Other requests use the connection
// on.
func TestCopiesAnswerNoLaterAttempt(t *testing.T) {
	is := is.New(t)
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n" + idHeader + ": a\r\n\r\n"
	var refused net.Conn // which gets the copy with its next request
	address, accepted := serve(t, func(c net.Conn, id string) bool {
		if c == refused {
			_, _ = io.WriteString(c, refusal)
		}
		if refused == nil {
			refused = c
			_, err := io.WriteString(c, refusal)
			return err == nil
		}
		return answerPlain(c, id)
	})
	c := NewClient()
	var first, second, other Trace
	res, err := c.Do(context.Background(), address, request("a", func(r *Request) { r.Trace = &first }))
	is.NoErr(err)
	is.Equal(res.Status, http.StatusServiceUnavailable)
	res.Release(true)
	res, err = c.Do(context.Background(), address, request("a", func(r *Request) { r.Trace, r.Avoid = &second, []uint64{first.Connection} }))
	is.NoErr(err)
	is.Equal(res.Status, http.StatusOK) // of the attempt that ran
	res.Close()
	body, err := do(c, address, request("b", func(r *Request) { r.Trace = &other }))
	is.NoErr(err)
	is.Equal(body, "b")
	is.Equal(other, Trace{Connection: first.Connection, Reused: true, Skipped: 1, Status: http.StatusOK})
	is.Equal(len(accepted), 2)
}
