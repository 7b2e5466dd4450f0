package listener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/inbound"
)

// Guards against receive buffers that exceed their quota since bodies have them enlarged,
// against a body that is refused since there is none, and against one that is not given back
// once.
func TestLargeBuffersAreBounded(t *testing.T) {
	is := is.New(t)
	const small, large = 2 * inbound.SmallBuffer, 2 * inbound.LargeBuffer
	// Room for two large buffers in the half for those.
	q := inbound.Quota{Descriptors: 1000, Bytes: 64 << 20, Buffers: 2 * (2*large + 8*small)}
	s := newTestServer(t, q, generousLimits)
	const size = 200_000
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	var conns []net.Conn
	for range 6 {
		c := s.open(head)
		_, err := io.WriteString(c, strings.Repeat("x", size-1))
		is.NoErr(err)
		conns = append(conns, c)
	}
	const wanted = 2*large + 4*small
	for end := time.Now().Add(time.Minute); s.l.buffers.Load() != wanted; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the buffers hold ", s.l.buffers.Load(), " bytes, not ", wanted)
		}
	}
	for _, c := range conns {
		_, err := io.WriteString(c, "x")
		is.NoErr(err)
		is.Equal(status(c), http.StatusOK)
		_ = c.Close()
	}
	s.awaitNothingHeld()
	is.Equal(s.l.buffers.Load(), int64(0))
}

// Guards against connections that the kernel holds more bytes for than the quota says: those
// that were not accepted, and those that nobody reads.
func TestBuffersOfWaitingConnections(t *testing.T) {
	is := is.New(t)
	l, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_ = c.(*net.TCPConn).SetWriteBuffer(4 << 10)
	sent := 0
	for block := make([]byte, 1<<10); err == nil; {
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		var n int
		n, err = c.Write(block)
		sent += n
	}
	// The buffers of both ends together: that of the sender takes more than its own size.
	is.True(sent <= 64<<10)
}

// refusingServer answers 404 without reading bodies.
func refusingServer(t *testing.T) *testServer {
	t.Helper()
	is := is.New(t)
	l := New(Config{Name: t.Name(), Quota: wide, Limits: generousLimits, Stall: 100 * time.Millisecond, Log: slog.New(slog.DiscardHandler)})
	inner, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	srv := l.Protect(&http.Server{Handler: http.NotFoundHandler()})
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	go func() { _ = srv.Serve(l.Wrap(inner)) }()
	t.Cleanup(func() { _ = srv.Close(); cancel() })
	return &testServer{t: t, l: l, address: inner.Addr().String()}
}

// Guards against a refusal that waits for the rest of the body, and against a connection that
// is closed although the body has arrived.
func TestRefusalsDoNotAwaitTheRestOfABody(t *testing.T) {
	s := refusingServer(t)
	for name, c := range map[string]struct {
		text  string
		close bool
	}{
		"rest missing":          {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx", true},
		"rest of chunks":        {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", true},
		"body awaits its call":  {"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 100\r\n\r\n", true},
		"whole body":            {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", false},
		"whole body of chunks":  {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", false},
		"no body":               {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", false},
		"whole body and a next": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbodyPOST / HTTP/1.1\r\nHost: h\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn := s.open(c.text)
			_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(res.StatusCode, http.StatusNotFound)
			is.Equal(res.Close, c.close)
			_ = conn.Close()
		})
	}
	s.awaitNothingHeld()
}

// Guards against trailers that stay in memory until the response is complete.
func TestTrailersAreDropped(t *testing.T) {
	is := is.New(t)
	trailers := make(chan http.Header, 2)
	l := New(Config{Name: t.Name(), Quota: wide, Limits: generousLimits, Stall: 100 * time.Millisecond, Log: slog.New(slog.DiscardHandler)})
	var servers *http.Request
	srv := l.Protect(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		servers = r.Body.(*body).request
		_, _ = io.Copy(io.Discard, r.Body)
		trailers <- r.Trailer
		trailers <- servers.Trailer
	})})
	inner, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	go func() { _ = srv.Serve(l.Wrap(inner)) }()
	defer srv.Close()
	c, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n1\r\nx\r\n0\r\nA: x\r\nB: y\r\n\r\n")
	is.NoErr(err)
	is.Equal(len(<-trailers), 0)
	is.Equal(len(<-trailers), 0)
	is.Equal(status(c), http.StatusOK)
}
