package router_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/router"
	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// longBody is more than the sockets between a router and an endpoint take.
const longBody = 4 << 20

// newUploadFleet starts a fleet whose routes take bodies of longBody bytes.
func newUploadFleet(t *testing.T, engines, services int) *fleet {
	t.Helper()
	f := newFleet(t, engines, services)
	c := routes(2)
	c["Limits"].(map[string]any)["MaxBodyBytes"] = longBody
	f.store.SetConfig(c)
	return f
}

// Guards against part of an answer that callers get as a complete one, because its endpoint
// broke off the connection while the request was being written to it. A call that may run once
// is not sent again; one that is safe is.
func TestAnswersOfBrokenConnectionsAreNoSuccess(t *testing.T) {
	for _, how := range []string{standin.BreakByReset, standin.BreakByClose} {
		for _, path := range []string{"/assign/x", "/read/x", "/stream/brief/x", "/stream/chat/x"} {
			t.Run(how+path, func(t *testing.T) {
				is := is.New(t)
				f := newUploadFleet(t, 2, 2)
				p := f.start(func(s *router.Settings) { s.MemoryLimit = 256 << 20 }).await()
				f.setFaults("", standin.EndpointFaults{BreakOff: how})
				complete := 0
				for range 20 {
					r := p.call(context.Background(), http.MethodPost, path, strings.Repeat("x", longBody), nil)
					if r.status == http.StatusOK && r.err == nil {
						complete++
					}
					if !strings.HasPrefix(path, "/stream/") && r.status != http.StatusOK {
						is.NoErr(r.err)
						is.True(r.status == http.StatusBadGateway || r.status == http.StatusServiceUnavailable && len(f.received(r.id)) == 0)
					}
					if path == "/assign/x" || path == "/stream/brief/x" {
						is.True(len(f.received(r.id)) <= 1)
					}
				}
				t.Logf("%d of 20 taken for complete", complete)
				is.Equal(complete, 0)
			})
		}
	}
}

// Guards against a status outside 100 to 599 that callers get as the answer of an endpoint.
func TestInvalidStatusesBecomeBadGateway(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "20", "2000", "OK"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 0, 1)
			p := f.start(nil).await()
			f.setFaults("", standin.EndpointFaults{Status: status})
			r := p.post("/assign/x")
			is.NoErr(r.err)
			is.Equal(r.status, http.StatusBadGateway)
			is.Equal(len(f.received(r.id)), 1)
		})
	}
}

// Guards against a stream without a length that callers get as complete although its endpoint
// was killed between two events: the kernel of the endpoint's machine ends the connection in
// order.
func TestStreamsOfKilledEndpointsAreNotComplete(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0)
	p := f.start(nil).await()
	f.setFaults("", standin.EndpointFaults{DieAfter: 2, DownTime: time.Second})
	r := p.post("/stream/brief/x")
	is.Equal(r.status, http.StatusOK)
	is.Equal(strings.Count(r.body, "data: piece"), 2)
	is.True(r.err != nil)
}

// Guards against part of an answer that callers get as complete because its endpoint had said
// that it leaves: it is taken away before it has sent the rest. An endpoint that leaves and
// completes its answers serves on.
func TestPartsOfAnswersOfLeavingEndpointsAreNotComplete(t *testing.T) {
	for _, path := range []string{"/assign/x", "/read/x", "/stream/brief/x", "/stream/chat/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, 1)
			p := f.start(nil).await()
			f.setFaults("", standin.EndpointFaults{Leaving: true, DieAfter: 2, DownTime: time.Minute})
			r := p.post(path)
			is.True(r.err != nil || r.status == http.StatusBadGateway)
			f = newFleet(t, 1, 1)
			p = f.start(nil).await()
			f.setFaults("", standin.EndpointFaults{Leaving: true, Unframed: true, Events: 2})
			r = p.post(path)
			is.NoErr(r.err)
			is.Equal(r.status, http.StatusOK)
		})
	}
}

// Guards against a stream that looks complete to a caller of HTTP/1.0 although it was broken
// off: such callers know the end of an answer without a length by the end of the connection.
func TestCallersOfHTTP10GetALength(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0)
	p := f.start(nil).await()
	call := func(id string) (*http.Response, string, error) {
		c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
		is.NoErr(err)
		defer c.Close()
		_, err = io.WriteString(c, "POST /stream/brief/x HTTP/1.0\r\nHost: "+host+"\r\nContent-Length: 4\r\nX-Goldcrestturn-Request-Id: "+id+
			"\r\nX-Goldcrestturn-Deadline-Ms: 4000\r\nAuthorization: Bearer key-1\r\n\r\nbody")
		is.NoErr(err)
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return nil, "", err
		}
		body, err := io.ReadAll(res.Body)
		return res, string(body), err
	}
	res, body, err := call("old-1")
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(res.ContentLength, int64(len(body)))
	is.Equal(strings.Count(body, "data: piece"), 5)
	f.setFaults("", standin.EndpointFaults{TruncateAfter: 3})
	res, _, err = call("old-2")
	is.True(err != nil || res.StatusCode >= http.StatusInternalServerError)
	is.True(!errors.Is(err, net.ErrClosed))
}

// Guards against part of a caller's request that reaches an endpoint because the caller's
// connection ended.
func TestPartsOfRequestsReachNoEndpoint(t *testing.T) {
	for name, body := range map[string]string{
		"length": "Content-Length: 10\r\n\r\nbody",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 0, 1)
			p := f.start(nil).await()
			c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
			is.NoErr(err)
			defer c.Close()
			_, err = io.WriteString(c, "POST /assign/x HTTP/1.1\r\nHost: "+host+"\r\nX-Goldcrestturn-Request-Id: part\r\nX-Goldcrestturn-Deadline-Ms: 4000\r\nAuthorization: Bearer key-1\r\n"+body)
			is.NoErr(err)
			is.NoErr(c.(*net.TCPConn).CloseWrite())
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.True(err != nil || res.StatusCode == http.StatusBadRequest)
			is.Equal(len(f.received("part")), 0)
		})
	}
}
