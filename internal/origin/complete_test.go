package origin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// brokenOffCalls is how often each case runs. The outcome depended on which goroutine saw
// the reset first.
const brokenOffCalls = 20

// serveEarly listens on the loopback interface. On each connection it reads the head of a
// request and at most read bytes of its body, writes text and calls end.
func serveEarly(t *testing.T, read int, text string, end func(*net.TCPConn)) (address string) {
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
				r := bufio.NewReaderSize(c, 64)
				readID(r)
				_, _ = io.CopyN(io.Discard, r, int64(read))
				_, _ = io.WriteString(c, text)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// resetConn ends a connection with a reset.
func resetConn(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }

// Guards against part of a body that is taken for the whole because its connection ended:
// the endpoint answers before it has read the request and breaks off, with a reset, a close
// that leaves bytes unread, or an end of its direction only. The kernel reports a reset once,
// to the goroutine that writes the request, and an end of the stream to the one that reads
// the answer.
func TestBodiesOfBrokenConnectionsAreIncomplete(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\npart of a body"
	for name, end := range map[string]func(*net.TCPConn){
		"reset": resetConn,
		"close": func(*net.TCPConn) {},
		"half":  func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(300 * time.Millisecond) },
		"half, later reset": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			resetConn(c)
		},
		"reset after a while": func(c *net.TCPConn) { time.Sleep(20 * time.Millisecond); resetConn(c) },
	} {
		for _, size := range []int{2 << 10, 16 << 10, 4 << 20, 16 << 20} {
			if size < 1<<20 && strings.HasPrefix(name, "half") {
				continue // the endpoint's machine has received the whole request, and the connection ends in order
			}
			t.Run(fmt.Sprintf("%s/%d", name, size), func(t *testing.T) {
				is := is.New(t)
				address := serveEarly(t, 1<<10, part, end)
				complete := 0
				for range brokenOffCalls {
					body, err := do(NewClient(), address, request("a", func(r *Request) { r.Method, r.Body = http.MethodPost, make([]byte, size) }))
					if err == nil {
						complete++
						is.Equal(body, "part of a body")
					}
				}
				t.Logf("%d of %d taken for complete", complete, brokenOffCalls)
				is.Equal(complete, 0)
			})
		}
	}
}

// Guards against a correct answer that is refused: its body ends with its connection, the
// request was read to its end, and the connection ended in order.
func TestBodiesThatEndWithTheirConnectionAreDelivered(t *testing.T) {
	for _, size := range []int{0, 2 << 10, 16 << 10, 4 << 20} {
		for name, end := range map[string]func(*net.TCPConn){
			"close": func(*net.TCPConn) {},
			"half":  func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) },
		} {
			t.Run(fmt.Sprintf("%s/%d", name, size), func(t *testing.T) {
				is := is.New(t)
				text := strings.Repeat("x", 100<<10)
				address := serveEarly(t, size, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n"+text, end)
				for range brokenOffCalls {
					body, err := do(NewClient(), address, request("a", func(r *Request) { r.Method, r.Body = http.MethodPost, make([]byte, size) }))
					is.NoErr(err)
					is.True(body == text)
				}
			})
		}
	}
}

// Guards against part of a body that is taken for the whole because the process that wrote it
// was gone, and another one listened in its place, when the end of the connection was read. The
// reader is late, since its own reader was slow.
func TestEndsThatAreReadLateProveNothing(t *testing.T) {
	is := is.New(t)
	address := serveEarly(t, 0, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\npart", func(*net.TCPConn) { time.Sleep(50 * time.Millisecond) })
	res, err := NewClient().Do(context.Background(), address, request("a", nil))
	is.NoErr(err)
	defer res.Close()
	time.Sleep(maxEndAge + 250*time.Millisecond)
	_, err = io.ReadAll(res.Body)
	is.True(errors.Is(err, ErrIncomplete))
}

// Guards against correct answers that count as read late: the endpoint is silent for a while
// before the head, within the body or before the end, or the reader pauses within the body.
func TestEndsAfterPausesAreReadInTime(t *testing.T) {
	const pause = maxEndAge + 200*time.Millisecond
	for name, at := range map[string]struct {
		head, body, end time.Duration // pauses of the endpoint before these
		reader          time.Duration // pause of the reader after the head
	}{
		"head": {head: pause}, "body": {body: pause}, "end": {end: pause}, "reader": {body: pause, end: pause, reader: pause},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, _ := serve(t, func(c net.Conn, _ string) bool {
				time.Sleep(at.head)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n")
				time.Sleep(at.body)
				_, _ = io.WriteString(c, "body")
				time.Sleep(at.end)
				return false
			})
			res, err := NewClient().Do(context.Background(), address, request("a", nil))
			is.NoErr(err)
			defer res.Close()
			time.Sleep(at.reader)
			body, err := io.ReadAll(res.Body)
			is.NoErr(err)
			is.Equal(string(body), "body")
		})
	}
}

// Guards against part of a body that is taken for the whole because its endpoint was killed,
// whoever reads it.
func TestBodiesOfKilledEndpointsAreIncomplete(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		readID(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\npart")
		_ = l.Close()
	}()
	_, err = do(NewClient(), l.Addr().String(), request("a", nil))
	is.True(errors.Is(err, ErrIncomplete))
}

// Guards against the same where the kernel ends the connections of the killed process before its
// listener, as it does in the order of their descriptors.
func TestBodiesOfEndpointsThatAreEndingAreIncomplete(t *testing.T) {
	is := is.New(t)
	complete := 0
	for range brokenOffCalls {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			readID(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\npart")
			_ = c.Close()
			time.Sleep(2 * time.Millisecond)
			_ = l.Close()
		}()
		if _, err = do(NewClient(), l.Addr().String(), request("a", nil)); err == nil {
			complete++
		}
	}
	is.Equal(complete, 0)
}

// Guards against correct answers that are refused because their endpoint is full and resets
// further connections.
func TestFullEndpointsCompleteTheirAnswers(t *testing.T) {
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
			if first {
				readID(bufio.NewReader(c))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nbody")
				_ = c.Close()
			} else {
				resetConn(c.(*net.TCPConn))
			}
		}
	}()
	body, err := do(NewClient(), l.Addr().String(), request("a", nil))
	is.NoErr(err)
	is.Equal(body, "body")
}

// Guards against a standstill of the process that is not seen, whichever of its goroutines
// runs first afterwards, and against an earlier one that counts.
func TestStandstillsAreSeen(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	w := standstills{now: func() time.Duration { return now }}
	w.tick()
	begin := now
	for range 10 {
		now += standstillTick
		w.tick()
	}
	is.True(!w.since(begin))
	now += maxEndAge + time.Millisecond
	is.True(w.since(begin)) // before the next tick
	w.tick()
	is.True(w.since(begin))
	later := now
	now += standstillTick
	w.tick()
	is.True(!w.since(later))
	is.True(w.since(begin))
}

// Guards against a reader that gets the end of the stream from the second read on after it
// was told that the body is incomplete.
func TestIncompleteBodiesStayIncomplete(t *testing.T) {
	is := is.New(t)
	address := serveEarly(t, 1<<10, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\npart", resetConn)
	res, err := NewClient().Do(context.Background(), address, request("a", func(r *Request) { r.Method, r.Body = http.MethodPost, make([]byte, 4<<20) }))
	is.NoErr(err)
	defer res.Close()
	_, err = io.ReadAll(res.Body)
	is.True(err != nil)
	_, err = res.Body.Read(make([]byte, 1))
	is.True(err != nil && !errors.Is(err, io.EOF))
}

// Guards against bytes that are no answer and are returned as one: a status outside 100 to
// 599, one that is not a number, or one that does not have three digits. A status below 100
// counted as an informational answer, after which the real one could follow.
func TestInvalidStatusesAreNoAnswers(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "+20", "-20", "2 0", "20", "2000", "OK", "", "101"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			address, _ := serve(t, func(c net.Conn, id string) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nContent-Length: 0\r\nX-Id: a\r\n\r\n")
				return answerPlain(c, id)
			})
			taken := 0
			for range brokenOffCalls {
				if _, err := do(NewClient(), address, request("a", nil)); err == nil {
					taken++
				} else {
					is.True(errors.Is(err, ErrUnexpectedResponse))
				}
			}
			t.Logf("%d of %d taken for an answer", taken, brokenOffCalls)
			is.Equal(taken, 0)
		})
	}
	is := is.New(t)
	for _, status := range []int{200, 204, 304, 404, 599} {
		address, _ := serve(t, func(c net.Conn, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 %d X\r\nContent-Length: 0\r\nX-Id: a\r\n\r\n", status)
			return true
		})
		res, err := NewClient().Do(context.Background(), address, request("a", nil))
		is.NoErr(err)
		is.Equal(res.Status, status)
		res.Close()
	}
}
