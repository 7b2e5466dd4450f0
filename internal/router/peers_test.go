package router_test

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/router"
	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// Guards against routers that learn the cache holders of prompt parts only from
// peers in their own data centre, and against a message that reaches the relay but
// not the other routers of its data centre.
func TestHoldersReachAllRoutersOfOtherDataCentres(t *testing.T) {
	const maxParts = 200
	f := newFleet(t, 6, 0)
	in := func(name, dc string) *process {
		return f.start(func(s *router.Settings) {
			s.Instance, s.DataCentre, s.FirstStart = model.InstanceID(name), model.DataCentre(dc), true
		}).await()
	}
	sender, receivers := in("router-1", "dc-a"), []*process{in("router-2", "dc-b"), in("router-3", "dc-b"), in("router-4", "dc-b")}
	for part := 1; ; part++ {
		header := map[string]string{"X-Goldcrestturn-Prefix-Hash": fmt.Sprintf("a:100,%x:200,c:10", 1000+part)}
		send := func(p *process) reply {
			r := p.call(context.Background(), http.MethodPost, "/stream/brief/x", "body", header)
			is.New(t).Equal(r.status, http.StatusOK)
			return r
		}
		send(sender)
		known := 0
		for _, p := range receivers {
			id := send(p).id
			eventually(t, "the request is logged", func() bool { return strings.Contains(p.text(), id) })
			if regexp.MustCompile(id + `".*holds_prompt`).MatchString(p.text()) {
				known++
			}
		}
		if known == len(receivers) {
			return
		}
		if part == maxParts { // a datagram may be slower than the request that follows it
			t.Fatalf("%d of %d routers in the other data centre knew the holder", known, len(receivers))
		}
	}
}

// Guards against a router that sends requests to an endpoint above its load bound
// although the endpoint stated its load in answers to other routers. Load reports of
// large fleets are over a second old.
func TestStatedLoadsReachPeers(t *testing.T) {
	f := newFleet(t, 4, 0)
	start := func(name string) *process {
		return f.start(func(s *router.Settings) { s.Instance, s.FirstStart = model.InstanceID(name), true }).await()
	}
	a, b := start("router-1"), start("router-2")
	loaded := f.endpoints[0]
	loaded.SetFaults(standin.EndpointFaults{Load: "40,2,64"})
	part := 1000
	eventually(t, "the peer passes over the loaded holder", func() bool {
		part++
		header := map[string]string{"X-Goldcrestturn-Prefix-Hash": fmt.Sprintf("a:100,%x:200,c:10", part)}
		send := func(p *process) string {
			r := p.call(context.Background(), http.MethodPost, "/stream/brief/x", "body", header)
			is.New(t).Equal(r.status, http.StatusOK)
			return r.id
		}
		if f.received(send(a))[0].Endpoint != loaded.ID {
			return false
		}
		id := send(b)
		eventually(t, "the request is logged", func() bool { return strings.Contains(b.text(), id) })
		return regexp.MustCompile(id + `".*holders_loaded`).MatchString(b.text())
	})
}

// Guards against a router that keeps requests at a slow cache holder although another
// router learned from an answer that it is slow: a router gets an answer of each endpoint
// only every few seconds.
func TestWorkTimesReachPeers(t *testing.T) {
	f := newFleet(t, 4, 0)
	start := func(name string) *process {
		return f.start(func(s *router.Settings) { s.Instance, s.FirstStart = model.InstanceID(name), true }).await()
	}
	a, b := start("router-1"), start("router-2")
	f.setFaults("", standin.EndpointFaults{Load: "1,0,64,100"})
	slow := f.endpoints[0]
	send := func(p *process, part int) string {
		header := map[string]string{"X-Goldcrestturn-Prefix-Hash": fmt.Sprintf("%x:2,c:1", part)} // moving it costs less than the slowness
		r := p.call(context.Background(), http.MethodPost, "/stream/brief/x", "body", header)
		is.New(t).Equal(r.status, http.StatusOK)
		eventually(t, "the request is logged", func() bool { return strings.Contains(p.text(), r.id) })
		return r.id
	}
	passesOver := func(p *process, part int) bool {
		return regexp.MustCompile(send(p, part) + `".*holders_slow`).MatchString(p.text())
	}
	var held []int // parts that only slow holds
	for part := 1000; len(held) < 2; part++ {
		if f.received(send(a, part))[0].Endpoint == slow.ID {
			held = append(held, part)
		}
	}
	slow.SetFaults(standin.EndpointFaults{Load: "1,0,64,500"})
	eventually(t, "a router passes over the holder that stays slow", func() bool { return passesOver(a, held[0]) })
	time.Sleep(150 * time.Millisecond) // the notice reached the peer a little later
	if !passesOver(b, held[1]) {
		t.Error("the peer, which got no answer of the slow holder, keeps to it")
	}
	is.New(t).True(strings.Contains(a.text(), "work time of endpoint changed"))
}
