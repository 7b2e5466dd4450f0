package router_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// exchangeOn sends a call on a caller's connection and reads its answer.
func exchangeOn(t *testing.T, c net.Conn, r *bufio.Reader, id string) {
	t.Helper()
	is := is.New(t)
	_, err := fmt.Fprintf(c, "POST /assign/x HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\nX-Goldcrestturn-Request-Id: %s\r\nAuthorization: Bearer key-1\r\n\r\n", host, id)
	is.NoErr(err)
	res, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, res.Body)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
}

// closesWithin reports whether the router closes the connection within d.
func closesWithin(c net.Conn, r *bufio.Reader, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	_, err := r.ReadByte()
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Guards against callers that leave connections open without using them until the router
// has no descriptor left (review case 2), against the close of a connection that is used
// again within the operators' limit or waits for an answer, and against a limit that holds
// on after the operators have changed it.
func TestIdleCallersAreDisconnected(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, 1)
	const limit = 500 * time.Millisecond
	setLimit := func(version int, limit time.Duration) {
		config := routes(version)
		config["Limits"].(map[string]any)["IdleTimeoutMs"] = limit.Milliseconds()
		f.store.SetConfig(config)
	}
	setLimit(2, limit)
	p := f.start(nil).await()
	c, err := net.Dial("tcp", p.url[len("http://"):])
	is.NoErr(err)
	defer c.Close()
	r := bufio.NewReader(c)
	exchangeOn(t, c, r, "first")
	is.True(!closesWithin(c, r, limit*4/5))
	f.setFaults("", standin.EndpointFaults{Latency: 2 * limit})
	exchangeOn(t, c, r, "slow")
	is.True(closesWithin(c, r, testTimeout))
	f.setFaults("", standin.EndpointFaults{})
	setLimit(3, testTimeout)
	eventually(t, "the new limit is in force", func() bool {
		c, err := net.Dial("tcp", p.url[len("http://"):])
		is.NoErr(err)
		defer c.Close()
		r := bufio.NewReader(c)
		exchangeOn(t, c, r, "again")
		return !closesWithin(c, r, 2*limit)
	})
}
