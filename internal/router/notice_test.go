package router_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/router"
	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// Guards against requests to an endpoint that said in an answer that it leaves, whatever
// the answer was, at a router that the store rejects or whose list has it as ready.
func TestEndpointsThatSayThatTheyLeaveGetNothing(t *testing.T) {
	for name, faults := range map[string]standin.EndpointFaults{
		"answer": {Leaving: true}, "error": {Leaving: true, Fail: true}, "refusal": {Leaving: true, RefuseAll: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 0, 2)
			p := f.start(nil).await()
			f.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
			f.endpoints[0].SetFaults(faults)
			eventually(t, "the endpoint has said that it leaves", func() bool {
				p.post("/assign/x")
				return strings.Contains(p.text(), "endpoint says that it leaves")
			})
			before := len(f.endpoints[0].Received())
			for range 10 {
				is.Equal(p.post("/assign/x").status, http.StatusOK)
			}
			is.Equal(len(f.endpoints[0].Received()), before)
		})
	}
}

// Guards against requests to endpoints that turned this router away, and against callers
// that wait for one, are told to come back too early, or all at the same moment.
func TestRoutersThatAreTurnedAwaySendNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, 2)
	p := f.start(func(s *router.Settings) { s.FirstStart = true }).await()
	f.setFaults("", standin.EndpointFaults{RefuseAll: true, RetryAfter: "1.5"})
	begin := time.Now()
	eventually(t, "both endpoints have turned the router away", func() bool {
		p.post("/assign/x")
		return strings.Count(p.text(), "endpoint turned this router away") >= 2
	})
	f.setFaults("", standin.EndpointFaults{})
	times := map[string]bool{}
	for time.Since(begin) < time.Second {
		sent := time.Now()
		r := p.post("/assign/x")
		is.Equal(r.status, http.StatusServiceUnavailable)
		is.Equal(len(f.received(r.id)), 0)
		wait, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(sent.Add(time.Duration(wait*float64(time.Second))).Sub(begin) >= 1500*time.Millisecond)
		times[r.header.Get("Retry-After")] = true
		time.Sleep(50 * time.Millisecond)
	}
	is.True(len(times) > 5)
	eventually(t, "the endpoints get requests again", func() bool { return p.post("/assign/x").status == http.StatusOK })
}

// Guards against endpoints that state a limit and get more, at the router that met it and
// at its peers, against callers that wait for them, and against a limit that stays.
func TestEndpointsThatStateALimitGetNoMore(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, 2)
	routers := f.startRouters(2)
	const limit, duration = 5.0, 4 * time.Second
	f.setFaults("", standin.EndpointFaults{Limit: "5.0"})
	eventually(t, "both routers know both limits", func() bool {
		routers[0].post("/assign/x") // the second one learns it from the first
		return strings.Count(routers[0].text(), "endpoint limits its requests") >= 2
	})
	begin := time.Now()
	refused := 0
	for i := 0; time.Since(begin) < duration; i++ {
		sent := time.Now()
		if r := routers[i%2].post("/assign/x"); r.status == http.StatusServiceUnavailable {
			refused++
			is.Equal(len(f.received(r.id)), 0)
			is.True(time.Since(sent) < 500*time.Millisecond)
			wait, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(wait > 0.1)
		}
		time.Sleep(5 * time.Millisecond)
	}
	is.True(refused > 0)
	for _, e := range f.endpoints {
		n := 0
		for _, r := range e.Received() {
			if r.At.After(begin) && r.At.Before(begin.Add(duration)) {
				n++
			}
		}
		t.Logf("%s got %d requests in %v", e.ID, n, duration)
		is.True(float64(n) <= 1.5*limit*duration.Seconds()+5)
		is.True(float64(n) > limit*duration.Seconds()/3)
	}
	f.setFaults("", standin.EndpointFaults{})
	eventually(t, "the limits have ended at both routers", func() bool {
		served := 0
		for i := range 20 {
			if routers[i%2].post("/assign/x").status == http.StatusOK {
				served++
			}
		}
		return served == 20
	})
}
