package origin

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against descriptors that run out, since connections to endpoints that get no more
// requests stay open: of each endpoint that a release replaced, up to 16 did.
func TestIdleConnectionsEndThoughNothingIsSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	closed := make(chan time.Duration, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r := bufio.NewReader(c)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answered := time.Now()
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=1\r\nX-Id: " + req.Header.Get(idHeader) + "\r\n\r\nok"))
		_ = c.SetReadDeadline(answered.Add(20 * time.Second))
		if _, err := r.ReadByte(); err != nil {
			closed <- time.Since(answered)
		}
	}()
	body, err := do(NewClient(), l.Addr().String(), request("a", nil))
	is.NoErr(err)
	is.Equal(body, "ok")
	is.True(<-closed < 4*time.Second)
}
