package router_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/router"
	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

const (
	deadlyBody = "deadly"
	// stableWindow and maxLateRuns are the platform's bound: a request that crashed
	// three endpoints runs at most maxLateRuns times later than stableWindow after the
	// third crash.
	stableWindow = 4 * time.Second
	maxLateRuns  = 3
)

// deadlyEndpoints are endpoints that crash at deadlyBody.
var deadlyEndpoints = standin.EndpointFaults{DeadlyBody: deadlyBody, DownTime: 600 * time.Millisecond}

// startRouters starts n routers.
func (f *fleet) startRouters(n int) (out []*process) {
	for i := range n {
		out = append(out, f.start(func(s *router.Settings) { s.Instance, s.FirstStart = model.InstanceID(fmt.Sprint("router-", i)), true }))
	}
	for _, p := range out {
		p.await()
	}
	return out
}

// sendDeadly sends the deadly request to a router.
func (p *process) sendDeadly(path string) reply {
	return p.call(context.Background(), http.MethodPost, path, deadlyBody, nil)
}

// deadlyRuns returns how often endpoints crashed at the deadly request, and how many of
// these runs were later than stableWindow after the third crash.
func (f *fleet) deadlyRuns() (crashes, late int) {
	var at []time.Time
	for _, e := range f.endpoints {
		for _, r := range e.Received() {
			if r.Crashed {
				at = append(at, r.At)
			}
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	for _, t := range at {
		if len(at) >= 3 && t.After(at[2].Add(stableWindow)) {
			late++
		}
	}
	return len(at), late
}

// checkDeadlyRuns fails the test if the deadly request ran too often, or too rarely for
// the test to show anything.
func (f *fleet) checkDeadlyRuns() {
	f.t.Helper()
	crashes, late := f.deadlyRuns()
	f.t.Logf("%d endpoints crashed, %d of them late", crashes, late)
	is.New(f.t).True(crashes >= 3)
	is.New(f.t).True(late <= maxLateRuns)
}

// Guards against a request that crashes endpoints and is sent on since an endpoint that
// fails requests answered it with an error.
func TestErrorAnswersDoNotClearDeadlyRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 8)
	routers := f.startRouters(2)
	f.setFaults("", deadlyEndpoints)
	for i := range 4 {
		f.setFaults(fmt.Sprint("service-", i), standin.EndpointFaults{Fail: true})
	}
	for i := range 60 {
		routers[i%2].sendDeadly("/assign/x")
		time.Sleep(200 * time.Millisecond)
	}
	f.checkDeadlyRuns()
}

// Guards against a request that crashes several endpoints at once, since its caller
// sends copies together, and counts as one crash each time.
func TestDeadlyRequestsSentTogether(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 8)
	routers := f.startRouters(2)
	f.setFaults("", deadlyEndpoints)
	for range 3 {
		var copies sync.WaitGroup
		for i := range 4 {
			copies.Go(func() { routers[i%2].sendDeadly("/assign/x") })
		}
		copies.Wait()
		time.Sleep(stableWindow + 500*time.Millisecond)
	}
	f.checkDeadlyRuns()
}

// Guards against a request that crashes endpoints and is sent on under each API key of
// its workspace.
func TestDeadlyRequestsUnderSeveralKeys(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 8)
	p := f.start(nil).await()
	f.setFaults("", deadlyEndpoints)
	for i := range 9 {
		if i == 3 {
			time.Sleep(stableWindow)
		}
		p.call(context.Background(), http.MethodPost, "/assign/x", deadlyBody, map[string]string{"Authorization": fmt.Sprint("Bearer key-", 1+i/3%2)})
		time.Sleep(400 * time.Millisecond)
	}
	crashes, _ := f.deadlyRuns()
	t.Logf("%d endpoints crashed", crashes)
	is.New(t).Equal(crashes, 3)
}

// Guards against a request that crashes endpoints as its stream begins, and is taken for
// sound because of the first event.
func TestDeadlyStreamsThatBegin(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 8, 0)
	routers := f.startRouters(2)
	set := deadlyEndpoints
	set.DeadlyEvents = 1
	f.setFaults("", set)
	for i := range 20 {
		routers[i%2].sendDeadly("/stream/brief/x")
		time.Sleep(400 * time.Millisecond)
	}
	f.checkDeadlyRuns()
}

// listStart lists an endpoint with the present time as the start of its process.
func (f *fleet) listStart(e *standin.Endpoint) {
	pool := "service"
	if strings.HasPrefix(e.ID, "engine") {
		pool = "engines"
	}
	f.store.Put("keyed.servers", e.ID, map[string]any{"Service": pool, "Address": e.Address(), "Zone": "dc-a", "Version": "v1",
		"Slots": 8, "State": "ready", "Sequence": 1, "born": time.Now().UnixMilli()})
}

// sendDeadlyAndRelist sends the deadly request through the routers in turn, and lists the
// endpoints that crashed as started again after the given time.
func (f *fleet) sendDeadlyAndRelist(routers []*process, sends int, after time.Duration, send func(p *process)) {
	listed := map[string]int{} // crashes by endpoint, as the list shows them
	for i := range sends {
		send(routers[i%len(routers)])
		time.Sleep(after)
		for _, e := range f.endpoints {
			if n := len(e.Received()); n > listed[e.ID] {
				listed[e.ID] = n
				f.listStart(e)
			}
		}
	}
}

// Guards against a request that crashes endpoints which are back before the router has
// looked whether they accept connections: the instance list shows that they started again.
func TestDeadlyRequestsAtEndpointsThatAreBackAtOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 8)
	for _, e := range f.endpoints {
		f.listStart(e)
	}
	routers := f.startRouters(2)
	f.setFaults("", standin.EndpointFaults{DeadlyBody: deadlyBody})
	f.sendDeadlyAndRelist(routers, 40, 200*time.Millisecond, func(p *process) { p.sendDeadly("/assign/x") })
	f.checkDeadlyRuns()
}

// Guards against a request that crashes endpoints after its caller has given up: the
// attempt counted as cancelled, and nothing looked at the endpoint.
func TestDeadlyRequestsWhoseCallersLeave(t *testing.T) {
	t.Parallel()
	for name, path := range map[string]string{"at most once": "/assign/x", "idempotent": "/read/x", "stream": "/stream/brief/x"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 8, 8)
			for _, e := range f.endpoints {
				f.listStart(e)
			}
			routers := f.startRouters(2)
			f.setFaults("", standin.EndpointFaults{DeadlyBody: deadlyBody, DeadlyAfter: 120 * time.Millisecond, DownTime: 50 * time.Millisecond})
			f.sendDeadlyAndRelist(routers, 30, 300*time.Millisecond, func(p *process) {
				ctx, leave := context.WithTimeout(context.Background(), 40*time.Millisecond)
				defer leave()
				p.call(ctx, http.MethodPost, path, deadlyBody, nil)
			})
			f.checkDeadlyRuns()
		})
	}
}

// Guards against a request that crashes three more endpoints whenever all routers have
// been restarted, since only routers knew of it.
func TestDeadlyRequestsAfterARestartOfAllRouters(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 8)
	f.setFaults("", deadlyEndpoints)
	for range 3 {
		routers := f.startRouters(2)
		time.Sleep(stableWindow) // the platform excuses runs before
		for i := range 5 {
			routers[i%2].sendDeadly("/assign/x")
			time.Sleep(400 * time.Millisecond)
		}
		stopRouters(routers)
	}
	f.checkDeadlyRuns()
}

// stopRouters stops routers and waits until they have ended.
func stopRouters(list []*process) {
	for _, p := range list {
		p.stop()
	}
	for _, p := range list {
		<-p.ended
	}
}

// Guards against a request that is refused as suspect in the middle of its attempts and
// takes all retries that its pool may make, at no endpoint: sound requests had none then.
func TestRefusedSuspectsTakeNoRetries(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 8)
	p := f.start(nil).await()
	f.setFaults("", standin.EndpointFaults{DeadlyBody: deadlyBody, DownTime: 2 * time.Second})
	p.sendDeadly("/read/x")      // crashes two endpoints
	r := p.sendDeadly("/read/x") // crashes one more, and its second attempt is refused
	is.New(t).Equal(len(f.received(r.id)), 1)
	is.New(t).Equal(r.status, http.StatusBadGateway)
	again := 0
	for line := range strings.Lines(p.text()) {
		if strings.Contains(line, r.id) && strings.Contains(line, "endpoints crashed at requests") && strings.Contains(line, `"again":true`) {
			again++
		}
	}
	is.New(t).Equal(again, 0)
}

// Guards against sound requests that stay refused for the first part that they share with
// deadly ones: those come more often and used up the trials of that part, though they are
// refused for their own part all the same.
func TestSoundRequestsBesideDeadlyOnes(t *testing.T) {
	t.Parallel()
	const (
		length    = 15 * time.Second // longer than the wait for the first trial
		deadlyGap = 100 * time.Millisecond
		soundGap  = 5 // deadly requests for each sound one
	)
	is := is.New(t)
	f := newFleet(t, 8, 0)
	p := f.start(nil).await()
	f.setFaults("", standin.EndpointFaults{DeadlyPart: "dead", DownTime: time.Second})
	answered, refused := 0, false
	begin := time.Now()
	for n := 0; time.Since(begin) < length; n++ {
		time.Sleep(deadlyGap)
		r := p.call(context.Background(), http.MethodPost, "/stream/brief/x", fmt.Sprint("body ", n), prompt("a", "dead", fmt.Sprintf("%x", 0x1000+n)))
		refused = refused || r.header.Get("Retry-After") == "30.000"
		if refused && n%soundGap == 0 {
			r := p.call(context.Background(), http.MethodPost, "/stream/brief/x", "sound", prompt("a", "b", fmt.Sprintf("%x", 0x9000+n)))
			if r.status == http.StatusOK {
				answered++
			}
		}
	}
	t.Logf("%d sound requests were answered", answered)
	is.True(answered > 0)
	f.checkDeadlyRuns()
}
