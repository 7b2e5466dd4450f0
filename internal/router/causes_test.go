package router_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/router"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
	"github.com/goldcrestturn/goldcrestturn/platform"
	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// prompt returns the header of a request whose prompt has three parts.
func prompt(first, shared, last string) map[string]string {
	return map[string]string{"X-Goldcrestturn-Prefix-Hash": first + ":100," + shared + ":200," + last + ":10"}
}

// Guards against requests that share a prompt part and crash one engine after the
// other, through whichever router they come, and against the refusal of sound requests
// of the same caller with the same first part.
func TestPartsThatCrashEnginesAreRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 8, 0)
	var fleet []*process
	for i := range 2 {
		fleet = append(fleet, f.start(func(s *router.Settings) {
			s.Instance, s.FirstStart = model.InstanceID(fmt.Sprint("router-", i)), true
		}).await())
	}
	f.setFaults("", standin.EndpointFaults{DeadlyPart: "dead", DownTime: 2 * time.Second})
	send := func(i int, shared string) reply {
		return fleet[i%2].call(context.Background(), http.MethodPost, "/stream/brief/x", fmt.Sprint("body ", i), prompt("a", shared, fmt.Sprintf("%x", 1000+i)))
	}
	reached := 0
	eventually(t, "both routers refuse the part", func() bool {
		refused := 0
		for i := range 2 {
			r := send(reached+i, "dead")
			if reached += len(f.received(r.id)); r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") == "30.000" {
				refused++
			}
			is.True(r.status != http.StatusOK)
			time.Sleep(suspect.MinCrashInterval / 2)
			is.Equal(send(100+i, fmt.Sprintf("b%d", reached)).status, http.StatusOK)
			time.Sleep(suspect.MinCrashInterval / 2)
		}
		return refused == 2
	})
	t.Logf("%d requests with the part reached engines", reached)
	is.True(reached <= 5)
	for i := range 6 {
		r := send(200+i, "dead")
		is.Equal(r.status, http.StatusServiceUnavailable)
		is.Equal(len(f.received(r.id)), 0)
		is.Equal(send(300+i, "sound").status, http.StatusOK)
	}
	late := f.start(func(s *router.Settings) { s.Instance = "router-2" }).await()
	eventually(t, "a router that starts learns it from its peers", func() bool {
		r := late.call(context.Background(), http.MethodPost, "/stream/brief/x", "body", prompt("a", "dead", "ffff"))
		return r.status == http.StatusServiceUnavailable && len(f.received(r.id)) == 0
	})
}

// Guards against prompt parts that are refused because answers were lost: an endpoint
// that still accepts connections has not crashed.
func TestLostAnswersAreNoCrashes(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 0)
	p := f.start(nil).await()
	f.setFaults("", standin.EndpointFaults{Drop: true})
	for i := range 2 * suspect.CauseThreshold {
		r := p.call(context.Background(), http.MethodPost, "/stream/brief/x", "body", prompt("a", "b", fmt.Sprintf("%x", 1000+i)))
		is.Equal(len(f.received(r.id)), 1)
		time.Sleep(suspect.MinCrashInterval)
	}
}

// Guards against a request that crashes each endpoint which runs it and is sent again
// and again by its caller, and against the refusal of other requests of that caller.
func TestRequestsThatCrashEndpointsAreRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 8, 0)
	p := f.start(nil).await()
	f.setFaults("", standin.EndpointFaults{DeadlyPart: "dead", DownTime: 2 * time.Second})
	send := func(body, part string) reply {
		return p.call(context.Background(), http.MethodPost, "/stream/brief/x", body, map[string]string{"X-Goldcrestturn-Prefix-Hash": part + ":100"})
	}
	reached := 0
	eventually(t, "the request is refused", func() bool {
		r := send("deadly", "dead")
		n := len(f.received(r.id))
		reached += n
		time.Sleep(suspect.MinCrashInterval)
		return n == 0 && r.status == http.StatusServiceUnavailable
	})
	is.True(reached <= 4)
	is.Equal(send("sound", "b").status, http.StatusOK)
}

// longPrompt returns the header of a request whose prompt has a given part behind many others
// that all prompts share, and a last part of its own.
func longPrompt(before int, part string, last int) map[string]string {
	var b strings.Builder
	for i := range before {
		fmt.Fprintf(&b, "%x:1,", 0xa000+i)
	}
	fmt.Fprintf(&b, "%s:1,%x:1", part, 0xf0000+last)
	return map[string]string{"X-Goldcrestturn-Prefix-Hash": b.String()}
}

// Guards against a prompt part that crashes one endpoint after the other and is never refused,
// since it stands behind many others, and against the refusal of sound requests that share
// those.
func TestDeadlyPartsOfLongPromptsAreRefused(t *testing.T) {
	for _, before := range []int{14, 15, 300, 2000} {
		t.Run(fmt.Sprint(before), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, 8, 0)
			p := f.start(nil).await()
			f.setFaults("", standin.EndpointFaults{DeadlyPart: "dead", DownTime: 2 * time.Second})
			n := 0
			send := func(part string) reply {
				n++
				return p.call(context.Background(), http.MethodPost, "/stream/brief/x", fmt.Sprint("body ", n), longPrompt(before, part, n))
			}
			reached := 0
			for range 3 * suspect.CauseThreshold {
				reached += len(f.received(send("dead").id))
				time.Sleep(suspect.MinCrashInterval)
				is.Equal(send("50d").status, http.StatusOK)
			}
			t.Logf("%d requests with the part reached endpoints", reached)
			is.Equal(reached, suspect.CauseThreshold)
			r := send("dead")
			is.Equal(r.status, http.StatusServiceUnavailable)
			is.Equal(r.header.Get("Retry-After"), "30.000")
		})
	}
}

// Guards against crashes and answers with long prompts that the peers of a router do not hear
// of, since a datagram holds fewer properties: the part crashed endpoints at each router anew.
func TestPeersHearOfLongPrompts(t *testing.T) {
	for _, before := range []int{60, 300, 2000} {
		t.Run(fmt.Sprint(before), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, 8, 0)
			var routers []*process
			for i := range 2 {
				routers = append(routers, f.start(func(s *router.Settings) {
					s.Instance, s.FirstStart, s.Revoke = model.InstanceID(fmt.Sprint("router-", i)), true, time.Minute
				}).await())
			}
			for _, p := range routers {
				eventually(t, "the routers hear each other", func() bool { return strings.Contains(p.text(), "router heard") })
			}
			f.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable}) // datagrams are the only path
			f.setFaults("", standin.EndpointFaults{DeadlyPart: "dead", DownTime: time.Second})
			n := 0
			send := func(p *process, part string) reply {
				n++
				return p.call(context.Background(), http.MethodPost, "/stream/brief/x", fmt.Sprint("body ", n), longPrompt(before, part, n))
			}
			for range suspect.CauseThreshold {
				is.Equal(len(f.received(send(routers[0], "dead").id)), 1)
				time.Sleep(suspect.MinCrashInterval + 100*time.Millisecond) // messages give ages in units of 10 ms
				is.Equal(send(routers[0], "50d").status, http.StatusOK)
			}
			time.Sleep(time.Second) // for the datagrams, and until all endpoints are back
			is.Equal(send(routers[1], "50d").status, http.StatusOK)
			r := send(routers[1], "dead")
			is.Equal(r.status, http.StatusServiceUnavailable)
			is.Equal(len(f.received(r.id)), 0)
		})
	}
}

// Guards against a prompt part that crashes endpoints again after a restart of all routers, since
// too many properties were refused with it to be stored.
func TestLongPromptsAreRefusedAfterARestart(t *testing.T) {
	for _, before := range []int{300, 2000} {
		t.Run(fmt.Sprint(before), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, 8, 0)
			p := f.start(nil).await()
			f.setFaults("", standin.EndpointFaults{DeadlyPart: "dead", DownTime: time.Second})
			send := func(n int, prompt map[string]string) reply {
				return p.call(context.Background(), http.MethodPost, "/stream/brief/x", fmt.Sprint("body ", n), prompt)
			}
			for n := range suspect.CauseThreshold {
				is.Equal(len(f.received(send(n, longPrompt(before, "dead", n)).id)), 1)
				time.Sleep(suspect.MinCrashInterval)
			}
			// No other request tells the parts apart.
			eventually(t, "all properties are stored", func() bool {
				list, _, err := platform.NewStore(f.store.Address()).Suspects(context.Background())
				return err == nil && len(list) == before+1
			})
			p.stop()
			<-p.ended
			p = f.start(nil).await()
			r := send(9, prompt("a", "dead", "b")) // nothing else in common
			is.Equal(r.status, http.StatusServiceUnavailable)
			is.Equal(len(f.received(r.id)), 0)
		})
	}
}

// Guards against a prompt part that crashes one endpoint after the other and is not counted,
// since its id is longer than 64 bits or stands behind an entry that is none.
func TestDeadlyPartsOfUnusualPromptsAreRefused(t *testing.T) {
	const part = "dead5c1e07a291bd3f06e4402b7d0001"
	for name, before := range map[string]string{"long id": "", "behind no entry": "a:1,none,"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, 8, 0)
			p := f.start(nil).await()
			f.setFaults("", standin.EndpointFaults{DeadlyPart: part, DownTime: 2 * time.Second})
			reached := 0
			for n := range 2 * suspect.CauseThreshold {
				r := p.call(context.Background(), http.MethodPost, "/stream/brief/x", fmt.Sprint("body ", n),
					map[string]string{"X-Goldcrestturn-Prefix-Hash": fmt.Sprintf("%s%s:60,%x:1", before, part, 0xf0000+n)})
				reached += len(f.received(r.id))
				time.Sleep(suspect.MinCrashInterval)
			}
			is.Equal(reached, suspect.CauseThreshold)
		})
	}
}
