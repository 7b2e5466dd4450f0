package origin

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxEndlessHeap bounds the heap while an endpoint sends bytes without end. A router
// has 184 MB for all its requests.
const maxEndlessHeap = 16 << 20

// Guards against an endpoint that sends bytes without end in place of an answer: the
// client read them into memory, over 1 GB in two seconds, until the request's
// deadline.
func TestBytesWithoutEndAreNoAnswer(t *testing.T) {
	for name, text := range map[string]struct{ first, repeated string }{
		"letters":         {"", "abcdefgh"},
		"header line":     {"HTTP/1.1 200 OK\r\nX-Id: ", "a"},
		"header lines":    {"HTTP/1.1 200 OK\r\n", "X-Id: a\r\n"},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"interim header":  {"HTTP/1.1 103 Early Hints\r\n", "Link: a\r\n"},
		"stale body":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: z\r\n\r\n", "4\r\nabcd\r\n"},
		"stale unframed":  {"HTTP/1.1 200 OK\r\nX-Id: z\r\n\r\n", "abcdefgh"},
		"chunk header":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: z\r\n\r\n4;a=", "b"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{})
			address, _ := serve(t, func(c net.Conn, _ string) bool {
				defer close(closed)
				_, err := io.WriteString(c, text.first)
				for block := strings.Repeat(text.repeated, 64<<10/len(text.repeated)); err == nil; {
					_, err = io.WriteString(c, block)
				}
				return false
			})
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			// Long enough for an unbounded reader to pass the bound on the heap, and far
			// longer than a bounded one takes.
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := NewClient().Do(ctx, address, request("a", nil))
			runtime.ReadMemStats(&after)
			is.True(errors.Is(err, ErrUnexpectedResponse))
			is.NoErr(ctx.Err())
			is.True(after.TotalAlloc-before.TotalAlloc < maxEndlessHeap)
			<-closed // the connection is not left open
		})
	}
}

// Guards against a limit on heads that also applies to the body of an answer, or to
// the next answer on the connection.
func TestLongBodiesAreRead(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 3*maxHeadBytes)
	address, accepted := serve(t, func(c net.Conn, id string) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 196608\r\nX-Id: "+id+"\r\n\r\n"+body)
		return err == nil
	})
	c := NewClient()
	for _, id := range []string{"a", "b", "c"} {
		got, err := do(c, address, request(id, nil))
		is.NoErr(err)
		is.True(got == body)
	}
	is.Equal(len(accepted), 1)
}
