package router_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/router"
	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// Guards against a process without a configuration that denies requests or says
// that it is ready.
func TestWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 1)
	f.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	p := f.start(nil)
	is.Equal(p.get("/read/x").status, http.StatusServiceUnavailable)
	is.True(!p.isReady())
	f.store.SetFaults(standin.StoreFaults{})
	p.await()
	is.Equal(p.get("/read/x").status, http.StatusOK)
}

// Guards against a changed configuration that does not come into force or goes
// back, and against records of it that were trimmed.
func TestConfigurationsComeIntoForce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, 1)
	p := f.start(nil).await()
	config := routes(2)
	config["Tenants"] = []any{map[string]any{"Name": "studio", "ApiKeys": []string{"key-2"}}}
	f.store.SetConfig(config)
	eventually(t, "the key is refused", func() bool { return p.get("/read/x").status == http.StatusUnauthorized })
	f.store.SetConfig(routes(1)) // older
	f.store.Trim("keyed.op")
	config["Version"] = 3
	f.store.SetConfig(config)
	for range 20 {
		is.Equal(p.get("/read/x").status, http.StatusUnauthorized)
	}
}

// Guards against a key that opens something long after it was taken away, at a
// router that is cut off from the store, and against a route without a key that
// is refused for that.
func TestKeysLapseWhenTheStoreIsGone(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, 1)
	p := f.start(func(s *router.Settings) { s.Revoke = 1500 * time.Millisecond }).await()
	is.Equal(p.get("/read/x").status, http.StatusOK)
	f.store.SetFaults(standin.StoreFaults{Silent: true})
	cut := time.Now()
	eventually(t, "keys are refused", func() bool { return p.get("/read/x").status == http.StatusServiceUnavailable })
	is.True(time.Since(cut) < 1500*time.Millisecond)
	is.Equal(p.get("/open/x").status, http.StatusOK)
	is.Equal(p.get("/nowhere/x").status, http.StatusServiceUnavailable) // it may have been added
	is.True(!p.isReady())
	f.store.SetFaults(standin.StoreFaults{})
	eventually(t, "keys open again", func() bool { return p.get("/read/x").status == http.StatusOK })
}

// Guards against a configuration that counts as the newest one since the answer
// of the store ended before the end of the topic: a key that had been taken away
// for 7 s opened again for a moment after an outage of the store.
func TestPartOfTheChangesConfirmsNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, 1)
	p := f.start(func(s *router.Settings) { s.Revoke = 1500 * time.Millisecond }).await()
	f.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	const last = 10
	for v := 2; v <= last; v++ {
		config := routes(v)
		config["Comment"] = strings.Repeat("x", 300<<10)
		if v == last {
			config["Tenants"] = []any{map[string]any{"Name": "studio", "ApiKeys": []string{"key-2"}}}
		}
		f.store.SetConfig(config)
	}
	eventually(t, "keys are refused", func() bool { return p.get("/read/x").status == http.StatusServiceUnavailable })
	f.store.SetFaults(standin.StoreFaults{Delay: 100 * time.Millisecond})
	eventually(t, "the key is known to be taken away", func() bool {
		status := p.get("/read/x").status
		is.True(status != http.StatusOK)
		return status == http.StatusUnauthorized
	})
}

// Guards against work for an endpoint or a data centre that was taken out.
func TestEndpointsLeave(t *testing.T) {
	f := newFleet(t, 0, 2)
	p := f.start(nil).await()
	f.store.Register(f.endpoints[0], "service", "dc-a", "draining")
	var last string
	eventually(t, "the endpoint gets nothing", func() bool {
		for range 4 {
			r := p.get("/read/x")
			last = f.seen(r.id)[0].Endpoint
			if last == f.endpoints[0].ID {
				return false
			}
		}
		return true
	})
	f.store.Evacuate("dc-a", true)
	eventually(t, "nobody takes work", func() bool { return p.get("/read/x").status == http.StatusServiceUnavailable })
	f.store.Evacuate("dc-a", false)
	eventually(t, "the data centre is back", func() bool { return p.get("/read/x").status == http.StatusOK })
}

// Guards against a list of many pages that is never read since the bound on one
// answer of the store held for all pages: no router of 301 came back after a
// loss of all.
func TestLongListsFromASlowStore(t *testing.T) {
	f := newFleet(t, 0, 1)
	for i := range 1600 { // four pages
		f.store.Put("keyed.servers", fmt.Sprintf("other-%d", i), map[string]any{
			"Service": "other", "Address": "127.0.0.1:1", "Zone": "dc-a", "Version": "v1", "State": "ready", "Slots": 1, "Sequence": 1,
		})
	}
	f.store.SetFaults(standin.StoreFaults{Delay: 350 * time.Millisecond})
	f.start(nil).await()
}

// Guards against changes of the list that are missed because their records are
// gone from the store.
func TestListWhoseRecordsAreGone(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, 2)
	p := f.start(func(s *router.Settings) { s.ListInterval = 700 * time.Millisecond }).await()
	f.store.Register(f.endpoints[0], "service", "dc-a", "draining")
	f.add("service-new", "service")
	f.store.Trim("keyed.servers")
	eventually(t, "the new endpoint is listed", func() bool { return strings.Contains(p.text(), `"endpoint":"service-new"`) })
	for range 10 {
		r := p.get("/read/x")
		is.Equal(r.status, http.StatusOK)
		is.True(f.seen(r.id)[0].Endpoint != f.endpoints[0].ID) // it leaves
	}
}

// Guards against the whole list being read each time, of which 95 bytes in 100
// told nothing new on a day of the users' site.
func TestOnlyChangesOfTheListAreRead(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, 2)
	p := f.start(nil).await()
	before := f.store.FullReads("keyed.servers")
	f.store.Unregister(f.endpoints[0])
	eventually(t, "the endpoint is gone", func() bool { return strings.Contains(p.text(), "endpoint no longer listed") })
	for range 5 {
		r := p.get("/read/x")
		is.Equal(f.seen(r.id)[0].Endpoint, f.endpoints[1].ID)
	}
	is.Equal(f.store.FullReads("keyed.servers"), before)
}

// Guards against a router that refuses requests with a key for as long as the
// store turns it away, though other routers know which keys count.
func TestRoutersThatAreTurnedAwayAskOthers(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, 1)
	const routers = 3
	var doors []*standin.StoreListener
	var fleet []*process
	for i := range routers {
		door := f.store.NewListener()
		doors = append(doors, door)
		fleet = append(fleet, f.start(func(s *router.Settings) {
			s.Instance, s.Store, s.Revoke = model.InstanceID(fmt.Sprintf("router-%d", i)), door.Address(), 2500*time.Millisecond
		}))
	}
	for _, p := range fleet {
		p.await()
		eventually(t, "the others are heard", func() bool { return strings.Count(p.text(), "router heard") == routers-1 })
	}
	for i, p := range fleet {
		doors[i].SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
		for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			is.Equal(p.get("/read/x").status, http.StatusOK) // longer than keys count without news
		}
		doors[i].SetFaults(standin.StoreFaults{})
	}
}

// Guards against callers that are refused right after the start of a router that
// will know the configuration a moment later: 272 of them after a loss of all
// routers before links of 10 Mbit/s.
func TestCallersWaitForTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, 1)
	f.store.SetFaults(standin.StoreFaults{Delay: 600 * time.Millisecond})
	p := f.start(nil)
	is.Equal(p.get("/read/x").status, http.StatusOK)
}

// Guards against callers that wait for a configuration which does not come.
func TestCallersDoNotWaitForAStoreThatFails(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, 1)
	f.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	p := f.start(nil)
	begin := time.Now()
	is.Equal(p.get("/read/x").status, http.StatusServiceUnavailable)
	is.True(time.Since(begin) < time.Second)
}
