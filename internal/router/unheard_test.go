package router_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/router"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// sendDeadlyInTurn sends the deadly request to the routers in turn, long enough for a trial
// of it after it is refused.
func sendDeadlyInTurn(fleet []*process, path string) {
	for i := range 24 {
		fleet[i%len(fleet)].sendDeadly(path)
		time.Sleep(650 * time.Millisecond)
	}
}

// Guards against a request that crashes endpoints and is sent on by routers that do not
// hear each other, in one direction or in both, while they reach the store and the
// endpoints: each of them counted its own crashes only.
func TestDeadlyRequestsAtRoutersThatHearNoPeer(t *testing.T) {
	const routers = 6
	for name, c := range map[string]struct {
		path       string
		deaf, mute int // numbers of routers
	}{
		"all cut, at most once":   {"/assign/x", routers, routers},
		"all cut, idempotent":     {"/read/x", routers, routers},
		"half of them cut":        {"/assign/x", routers / 2, routers / 2},
		"half of them hear none":  {"/assign/x", routers / 2, 0},
		"half of them not heard":  {"/assign/x", 0, routers / 2},
		"public route, all cut":   {"/open/x", routers, routers},
		"one cut from all others": {"/assign/x", 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 0, 8)
			fleet := f.startRouters(routers)
			for i, p := range fleet {
				p.link.deaf.Store(i < c.deaf)
				p.link.mute.Store(i < c.mute)
			}
			f.setFaults("", deadlyEndpoints)
			sendDeadlyInTurn(fleet, c.path)
			f.checkDeadlyRuns()
		})
	}
}

// Guards against a router that hears no peer and says nothing of it: what its peers know
// is then missing in its decisions.
func TestUnheardPeersAreLogged(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 1)
	fleet := f.startRouters(2)
	eventually(t, "the routers hear each other", func() bool {
		return strings.Contains(fleet[0].text(), "router heard") && strings.Contains(fleet[1].text(), "router heard")
	})
	fleet[0].link.deaf.Store(true)
	eventually(t, "the deaf router logs that it hears nobody", func() bool {
		return strings.Contains(fleet[0].text(), `"msg":"announced routers not heard","count":1,"heard":0,"first":["router-1"]`)
	})
	is.New(t).True(!strings.Contains(fleet[1].text(), "announced routers not heard"))
}

// Guards against a crash that some routers never learn of, since the datagram that tells it
// is lost and is not sent again.
func TestDeadlyRequestsWhileDatagramsAreLost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 8)
	fleet := f.startRouters(6)
	for _, p := range fleet {
		p.link.lossy.Store(true)
	}
	f.setFaults("", deadlyEndpoints)
	sendDeadlyInTurn(fleet, "/assign/x")
	f.checkDeadlyRuns()
}

// Guards against a router that starts while it hears no peer and knows nothing of the
// crashes before, of which there are too few for the property to be refused.
func TestStartingRoutersKnowOfCrashes(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 8)
	fleet := f.startUnheard(2)
	f.setFaults("", deadlyEndpoints)
	for _, p := range fleet {
		p.sendDeadly("/assign/x")
	}
	late := f.start(func(s *router.Settings) { s.Instance = "late" }).await()
	for range 3 {
		late.sendDeadly("/assign/x")
		time.Sleep(100 * time.Millisecond)
	}
	crashes, _ := f.deadlyRuns()
	is.New(t).Equal(crashes, 3)
}

// startUnheard starts routers that do not hear each other, but have at the start.
func (f *fleet) startUnheard(n int) []*process {
	fleet := f.startRouters(n)
	for _, p := range fleet {
		p.link.deaf.Store(true)
		p.link.mute.Store(true)
	}
	time.Sleep(3 * time.Second) // until they have lost their peers
	return fleet
}

// Guards against an endpoint that states a limit and gets more, since each of several
// routers that do not hear each other takes itself for the only one.
func TestStatedLimitsAtRoutersThatHearNoPeer(t *testing.T) {
	t.Parallel()
	const routers, limit, duration = 6, 5.0, 4 * time.Second
	f := newFleet(t, 0, 1)
	fleet := f.startUnheard(routers)
	f.setFaults("", standin.EndpointFaults{Limit: "5.0"})
	for _, p := range fleet {
		p.post("/assign/x") // from its answer the router learns the limit
	}
	time.Sleep(500 * time.Millisecond)
	begin := time.Now()
	for i := 0; time.Since(begin) < duration; i++ {
		fleet[i%routers].post("/assign/x")
		time.Sleep(2 * time.Millisecond)
	}
	n := 0
	for _, r := range f.endpoints[0].Received() {
		if r.At.After(begin) && r.At.Before(begin.Add(duration)) {
			n++
		}
	}
	t.Logf("%d requests in %v", n, duration)
	is.New(t).True(float64(n) <= 1.5*limit*duration.Seconds()+5)
	is.New(t).True(n > 0)
}

// Guards against retries beyond the budget of the whole fleet by routers that do not hear
// each other.
func TestRetryBudgetOfRoutersThatHearNoPeer(t *testing.T) {
	t.Parallel()
	const routers, requests, ratio, burst = 6, 600, 0.2, 50
	f := newFleet(t, 0, 4)
	fleet := f.startUnheard(routers)
	f.setFaults("", standin.EndpointFaults{Fail: true})
	for i := range requests {
		fleet[i%routers].get("/read/x")
	}
	arrivals := 0
	for _, e := range f.endpoints {
		arrivals += len(e.Received())
	}
	t.Logf("%d arrivals of %d requests", arrivals, requests)
	is.New(t).True(float64(arrivals-requests) <= ratio*requests+burst)
	is.New(t).True(arrivals > requests)
}

// Guards against a prompt part behind many others that crashes an endpoint at each router that
// hears no peer: the reports of crashes in the store left it out.
func TestDeadlyPartsOfLongPromptsAtRoutersThatHearNoPeer(t *testing.T) {
	const routers = 6
	for _, before := range []int{300, 2000} {
		t.Run(fmt.Sprint(before), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 8, 0)
			fleet := f.startUnheard(routers)
			f.setFaults("", standin.EndpointFaults{DeadlyPart: "dead", DownTime: time.Second})
			reached, answered := 0, 0
			for i := range 3 * routers {
				send := func(part string) reply {
					return fleet[i%routers].call(context.Background(), http.MethodPost, "/stream/brief/x", fmt.Sprint("body ", part, i), longPrompt(before, part, i))
				}
				reached += len(f.received(send("dead").id))
				if send("50d").status == http.StatusOK { // shares all other parts
					answered++
				}
				time.Sleep(650 * time.Millisecond) // for the reports
			}
			t.Logf("%d requests with the part reached endpoints, %d sound ones were answered", reached, answered)
			is := is.New(t)
			is.Equal(reached, suspect.CauseThreshold)
			is.Equal(answered, 3*routers)
		})
	}
}
