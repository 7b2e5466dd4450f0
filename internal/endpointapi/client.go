package endpointapi

import (
	"net/http"
	"time"
)

// maxIdleConns is the number of idle connections to the one endpoint of a side
// process. It covers the largest usual batch; with the default of 2 nearly
// every request under load makes a new connection.
const maxIdleConns = 256

// idleTime closes idle connections before endpoints do.
const idleTime = time.Minute

func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTime},
		// An endpoint's redirect is an answer; following it would run a call twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
