package origin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// partition drops all packets that arrive for a connection, as a partition does, until the
// returned function is called.
func partition(t *testing.T, c net.Conn) (heal func()) {
	t.Helper()
	is := is.New(t)
	dropAll := unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}}
	is.NoErr(withDescriptor(c, func(fd int) { is.NoErr(unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &dropAll)) }))
	return func() {
		is.NoErr(withDescriptor(c, func(fd int) { is.NoErr(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)) }))
	}
}

// acceptOne returns a listener's address and the first connection to it.
func acceptOne(t *testing.T) (address string, accepted <-chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	conns := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			conns <- c
		}
	}()
	return l.Addr().String(), conns
}

// Guards against requests that arrive at an endpoint after they were given up, because a
// partition had held up their bytes: of a caller that left, and of one that still waits when the
// kernel would end the connection.
func TestHeldUpRequestsDoNotArriveLater(t *testing.T) {
	for name, patience := range map[string]time.Duration{"cancelled": 100 * time.Millisecond, "waiting": time.Minute} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, accepted := acceptOne(t)
			client := NewClient()
			first := make(chan error, 1)
			go func() { _, err := do(client, address, request("a", nil)); first <- err }()
			c := <-accepted
			defer c.Close()
			r := bufio.NewReader(c)
			_, err := http.ReadRequest(r)
			is.NoErr(err)
			is.True(answerPlain(c, "a"))
			is.NoErr(<-first)
			time.Sleep(20 * time.Millisecond) // the last acknowledgement arrives
			heal := partition(t, c)
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			_, err = client.Do(ctx, address, request("b", nil))
			is.True(err != nil)
			if patience > ackTimeout {
				is.True(errors.Is(err, ErrConnectionFailed))
				is.True(strings.Contains(err.Error(), "acknowledged nothing")) // the kernel's timeout resets nothing
			}
			heal()
			_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
			_, err = r.ReadByte()
			is.True(err != nil)
			is.True(errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, unix.ECONNRESET))
		})
	}
}

// Guards against endpoints that take their time to read a request, or to answer it, and are
// given up although their machine acknowledges what it gets.
func TestSlowEndpointsAreNotGivenUp(t *testing.T) {
	for name, size := range map[string]int{"short": 100, "long": 8 << 20} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, accepted := acceptOne(t)
			go func() {
				c := <-accepted
				defer c.Close()
				time.Sleep(ackTimeout + 200*time.Millisecond)
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				time.Sleep(ackTimeout + 200*time.Millisecond)
				answerPlain(c, "a")
			}()
			body, err := do(NewClient(), address, request("a", func(r *Request) { r.Method, r.Body = http.MethodPost, make([]byte, size) }))
			is.NoErr(err)
			is.Equal(body, "a")
		})
	}
}
