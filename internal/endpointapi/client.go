package endpointapi

import (
	"net"
	"net/http"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/inbound"
	"github.com/goldcrestturn/goldcrestturn/internal/socket"
)

// maxIdleConns is the number of idle connections that a side keeps to its
// endpoint. It covers the largest usual batch; with the default of 2 nearly
// every request under load opens a new connection.
const maxIdleConns = 256

// idleConnTimeout closes idle connections before the endpoint does.
const idleConnTimeout = time.Minute

// newClient returns an HTTP client for the calls of a side to its engine.
func newClient() *http.Client {
	dialer := net.Dialer{Control: socket.Control(socket.ReceiveBuffer(inbound.EndpointBuffer))}
	return &http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout},
		// A redirect is returned as the answer; following it would run the call
		// twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
