package router_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against limits of the configuration on heads that are not enforced, that refuse a
// request which has just the allowed size, or that stay as they were when the router
// started.
func TestLimitsOnHeadsAreThoseInForce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, 1)
	setLimits := func(version, size int, within time.Duration) {
		config := routes(version)
		limits := config["Limits"].(map[string]any)
		limits["MaxHeaderBytes"], limits["HeaderTimeoutMs"] = size, within.Milliseconds()
		f.store.SetConfig(config)
	}
	setLimits(2, 16384, testTimeout)
	p := f.start(nil).await()
	open := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", p.url[len("http://"):])
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c, bufio.NewReader(c)
	}
	sendHead := func(size int) int {
		c, r := open()
		fields := "Host: " + host + "\r\nContent-Length: 0\r\nX-Goldcrestturn-Request-Id: head\r\nAuthorization: Bearer key-1\r\nX: "
		_, err := fmt.Fprintf(c, "POST /assign/x HTTP/1.1\r\n%s%s\r\n\r\n", fields, strings.Repeat("x", size-len(fields)-2))
		is.NoErr(err)
		res, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		return res.StatusCode
	}
	is.Equal(sendHead(16384), http.StatusOK)
	is.Equal(sendHead(16385), http.StatusRequestHeaderFieldsTooLarge)
	c, r := open()
	_, err := fmt.Fprint(c, "POST /assign/x HTTP/1.1\r\n")
	is.NoErr(err)
	is.True(!closesWithin(c, r, time.Second))
	setLimits(3, 2048, 300*time.Millisecond)
	eventually(t, "the new limits are in force", func() bool { return sendHead(4096) == http.StatusRequestHeaderFieldsTooLarge })
	is.Equal(sendHead(2048), http.StatusOK)
	c, r = open()
	_, err = fmt.Fprint(c, "POST /assign/x HTTP/1.1\r\n")
	is.NoErr(err)
	is.True(closesWithin(c, r, testTimeout))
}
