package origin

import (
	"bufio"
	"bytes"
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

const idHeader = "X-Id"

// serve listens on the loopback interface and calls answer for each request with
// its id, until answer returns false. accepted gets one value per connection.
func serve(t *testing.T, answer func(c net.Conn, id string) bool) (address string, accepted chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	accepted = make(chan struct{}, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if !answer(c, req.Header.Get(idHeader)) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), accepted
}

// answerPlain writes an answer to the request id, with the id as its body.
func answerPlain(c net.Conn, id string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n\r\n%s", len(id), idHeader, id, id)
	return err == nil
}

// readID reads the head of a request and returns its id.
func readID(r *bufio.Reader) (id string) {
	for {
		line, err := r.ReadString('\n')
		if line = strings.TrimSpace(line); err != nil || line == "" {
			return id
		}
		if value, ok := strings.CutPrefix(line, idHeader+": "); ok {
			id = value
		}
	}
}

// request returns a request with the given id, modified by modify if not nil.
func request(id string, modify func(*Request)) *Request {
	r := &Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{idHeader: {id}}, MaxIdle: time.Minute,
		Matches: func(h http.Header) bool { return h.Get(idHeader) == id }}
	if modify != nil {
		modify(r)
	}
	return r
}

// do sends r and returns the body of the answer.
func do(c *Client, address string, r *Request) (string, error) {
	res, err := c.Do(context.Background(), address, r)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(res.Body)
	res.Release(err == nil)
	return string(body), err
}

// Guards against the response header timeout of a request that still applies to a
// later request on the same connection. A call that ran was lost that way.
func TestTheBoundOnAnAnswerEndsWithIt(t *testing.T) {
	is := is.New(t)
	address, accepted := serve(t, func(c net.Conn, id string) bool {
		if id == "b" {
			time.Sleep(100 * time.Millisecond)
		}
		return answerPlain(c, id)
	})
	c := NewClient()
	body, err := do(c, address, request("a", func(r *Request) { r.ResponseHeaderTimeout = 50 * time.Millisecond }))
	is.NoErr(err)
	is.Equal(body, "a")
	body, err = do(c, address, request("b", nil))
	is.NoErr(err)
	is.Equal(body, "b")
	is.Equal(len(accepted), 1)
	_, err = do(c, address, request("b", func(r *Request) { r.ResponseHeaderTimeout = 20 * time.Millisecond }))
	is.True(errors.Is(err, ErrReadTimeout))
}

// Guards against an answer that is returned for another request when the endpoint
// sends a second answer to an earlier one, immediately or later.
func TestExtraAnswersAreSkipped(t *testing.T) {
	is := is.New(t)
	last := ""
	address, _ := serve(t, func(c net.Conn, id string) bool {
		if last != "" && !answerPlain(c, last) { // a late one, before the next answer
			return false
		}
		last = id
		return answerPlain(c, id)
	})
	c := NewClient()
	for i := range 5 {
		id := fmt.Sprint("r", i)
		body, err := do(c, address, request(id, nil))
		is.NoErr(err)
		is.Equal(body, id)
	}
}

// Guards against a request that is sent twice: if the connection ends without an
// answer, the request has failed, and only a refused connection means that it was
// not sent.
func TestNothingIsSentTwice(t *testing.T) {
	is := is.New(t)
	received := make(chan string, 10)
	address, _ := serve(t, func(_ net.Conn, id string) bool { received <- id; return false })
	c := NewClient()
	_, err := do(c, address, request("a", nil))
	is.True(errors.Is(err, ErrConnectionFailed))
	is.Equal(len(received), 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closedAddress := l.Addr().String()
	_ = l.Close()
	_, err = do(c, closedAddress, request("a", nil))
	is.True(errors.Is(err, ErrNotSent))
}

// Guards against malformed, truncated or foreign answers that are returned as
// complete ones.
func TestBrokenAnswers(t *testing.T) {
	is := is.New(t)
	for name, text := range map[string]string{
		"garbled": "\x01\x02 nothing\r\n\r\n",
		"short":   "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-Id: a\r\n\r\nabc",
		"torn":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: a\r\n\r\n5\r\nab",
		"other":   "HTTP/1.1 200 OK\r\nX-Id: z\r\n\r\nabc",
	} {
		address, _ := serve(t, func(c net.Conn, _ string) bool { _, _ = io.WriteString(c, text); return false })
		_, err := do(NewClient(), address, request("a", nil))
		is.True(err != nil) // name
		_ = name
	}
}

// Guards against the reuse of an idle connection on which the endpoint has sent
// unexpected bytes or which it has closed.
func TestConnectionsThatChangedAreNotReused(t *testing.T) {
	is := is.New(t)
	address, accepted := serve(t, func(c net.Conn, id string) bool { return answerPlain(c, id) && answerPlain(c, "more") })
	c := NewClient()
	for _, id := range []string{"a", "b"} {
		body, err := do(c, address, request(id, nil))
		is.NoErr(err)
		is.Equal(body, id)
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(len(accepted), 2)
}

// Guards against a request that is written into the unsent rest of the previous
// body: the endpoint answers before it has read the body, and continues later.
func TestEarlyAnswersEndTheConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	conns := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
			id := readID(bufio.NewReaderSize(c, 16)) // the body stays in the socket buffers, as far as it fits
			_ = answerPlain(c, id)
		}
	}()
	c := NewClient()
	long := request("a", nil)
	long.Method, long.Body = http.MethodPost, make([]byte, 64<<20)
	body, err := do(c, l.Addr().String(), long)
	is.NoErr(err)
	is.Equal(body, "a")
	body, err = do(c, l.Addr().String(), request("b", nil))
	is.NoErr(err)
	is.Equal(body, "b")
	first, second := <-conns, <-conns
	defer second.Close()
	rest, err := io.ReadAll(first)
	_ = err // the client may reset the connection
	is.True(bytes.Equal(rest, make([]byte, len(rest))))
}

// Guards against an endpoint that keeps working on a cancelled request.
func TestCancellationClosesTheConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	address, _ := serve(t, func(c net.Conn, _ string) bool {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := NewClient().Do(ctx, address, request("a", nil))
	is.True(errors.Is(err, context.DeadlineExceeded))
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection stays open")
	}
}

// Guards against a request target that is re-encoded.
func TestTheTargetIsSentAsItCame(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	line := make(chan string, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		text, _ := bufio.NewReader(c).ReadString('\n')
		line <- text
	}()
	_, _ = do(NewClient(), l.Addr().String(), request("a", func(r *Request) { r.Target = "/a%2fb/?q=%20&x" }))
	is.Equal(strings.TrimSpace(<-line), "GET /a%2fb/?q=%20&x HTTP/1.1")
}

// earlyConn is a connection on which the answer to a request arrives while the call
// that writes the request is still returning.
type earlyConn struct {
	net.Conn
	written chan struct{} // closed when the request has been written
	answer  io.Reader
}

func (c *earlyConn) Write(b []byte) (int, error) {
	close(c.written)
	time.Sleep(20 * time.Millisecond)
	return len(b), nil
}

func (c *earlyConn) Read(b []byte) (int, error) { <-c.written; return c.answer.Read(b) }

func (*earlyConn) Close() error                     { return nil }
func (*earlyConn) SetReadDeadline(time.Time) error  { return nil }
func (*earlyConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against a connection that is closed although its request was sent and
// answered, because the goroutine that sends was not scheduled again before the
// answer had been read.
func TestConnectionIsReusedAfterAFastAnswer(t *testing.T) {
	is := is.New(t)
	c := NewClient()
	fast := &earlyConn{written: make(chan struct{}), answer: strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nX-Id: a\r\n\r\na")}
	idle := newConn(fast, "e")
	idle.keepAlive = time.Minute
	c.idle.put(idle)
	body, err := do(c, "e", request("a", nil))
	is.NoErr(err)
	is.Equal(body, "a")
	is.True(c.idle.get("e", time.Minute, nil) != nil)
}

// Guards against an answer whose head is cut off, at any byte, and that counts as an
// answer with an empty body.
func TestHeadsThatAreCutOffAreNoAnswers(t *testing.T) {
	for name, rest := range map[string]string{"length 0": "Content-Length: 0\r\n\r\n", "no length": "X-More: 1\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n" + rest
			for n := range len(head) + 1 {
				address, _ := serve(t, func(c net.Conn, _ string) bool {
					_, _ = io.WriteString(c, head[:n])
					return false
				})
				_, err := do(NewClient(), address, request("1", nil))
				if whole := n == len(head); (err == nil) != whole {
					t.Errorf("%q: answer %v, error %v", head[:n], whole, err)
				}
			}
		})
	}
}
