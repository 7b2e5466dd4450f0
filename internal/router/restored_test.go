package router_test

import (
	"context"
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

// restoreOutage is how long the store is unavailable in the drills of these tests, and
// meanwhileTime how long the lost records stay lost.
const (
	restoreOutage = 200 * time.Millisecond
	meanwhileTime = 1500 * time.Millisecond
)

// restoreTo restores the store from the copy of a time. Nobody writes lost records again.
func (f *fleet) restoreTo(copied time.Time) {
	f.store.Restore(standin.RestoreDrill{Back: time.Since(copied), Outage: restoreOutage, Rewrite: -1})
}

// keysOnly returns a configuration with one valid key.
func keysOnly(version int, key string) map[string]any {
	c := routes(version)
	c["Tenants"] = []any{map[string]any{"Name": "studio", "ApiKeys": []string{key}}}
	return c
}

// ranAt returns the number of requests that an endpoint ran after a time.
func ranAt(e *standin.Endpoint, after time.Time) (n int) {
	for _, r := range e.Received() {
		if r.Ran && r.At.After(after) {
			n++
		}
	}
	return n
}

// Guards against orders that a restored store has lost and that routers then drop, at those
// that read the store and at those that read it through others: a key that was revoked becomes
// valid again, a data centre that is out of service gets requests. What operators write at
// offsets that are given out again must come into force.
func TestOrdersStayWhileTheStoreLacksThem(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, 1)
	out := f.endpoints[0] // routers prefer it, since it is in their data centre
	f.store.Register(f.add("away", "service"), "service", "dc-b", "ready")
	fleet := f.startRouters(3)
	copied := time.Now()
	f.store.SetConfig(keysOnly(2, "key-2"))
	f.store.Evacuate("dc-a", true)
	key2 := map[string]string{"Authorization": "Bearer key-2"}
	get := func(p *process, header map[string]string) int {
		return p.call(context.Background(), http.MethodGet, "/read/x", "", header).status
	}
	for _, p := range fleet {
		eventually(t, "the key is revoked", func() bool { return get(p, nil) == http.StatusUnauthorized })
		eventually(t, "the data centre is out of service", func() bool {
			begin := time.Now()
			for range 20 {
				get(p, key2)
			}
			return ranAt(out, begin) == 0
		})
	}
	f.restoreTo(copied)
	restored := time.Now()
	for time.Since(restored) < meanwhileTime {
		for _, p := range fleet {
			is.Equal(get(p, nil), http.StatusUnauthorized)
			get(p, key2)
			time.Sleep(5 * time.Millisecond)
		}
	}
	is.Equal(ranAt(out, restored), 0)
	f.store.SetConfig(keysOnly(3, "key-1"))
	f.store.Evacuate("dc-a", true) // again
	for _, p := range fleet {
		eventually(t, "the new configuration is in force", func() bool { return get(p, nil) == http.StatusOK && get(p, key2) == http.StatusUnauthorized })
	}
	is.Equal(ranAt(out, restored), 0)
	f.store.Evacuate("dc-a", false)
	eventually(t, "the data centre is back in service", func() bool { get(fleet[0], nil); return ranAt(out, restored) > 0 })
}

// Guards against a revoked key that is valid at a router which starts while a restored store
// holds an earlier configuration.
func TestStartingRoutersAskPeersForANewerConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, 1)
	fleet := f.startRouters(2)
	copied := time.Now()
	f.store.SetConfig(keysOnly(2, "key-2"))
	for _, p := range fleet {
		eventually(t, "the key is revoked", func() bool { return p.get("/read/x").status == http.StatusUnauthorized })
	}
	f.restoreTo(copied)
	for _, name := range []model.InstanceID{"late-0", "late-1", "late-2"} {
		late := f.start(func(s *router.Settings) { s.Instance = name })
		for begin := time.Now(); time.Since(begin) < meanwhileTime; time.Sleep(5 * time.Millisecond) {
			is.True(late.get("/read/x").status != http.StatusOK)
		}
		is.Equal(late.get("/read/x").status, http.StatusUnauthorized)
	}
}

// Guards against requests to an endpoint that has left and that a restored store lists again,
// also when a read fails after the restore, and against one that stays out of use although it
// has registered again.
func TestEndpointsThatLeftStayGoneThoughARestoredStoreListsThem(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, 2)
	left := f.endpoints[0]
	fleet := f.startRouters(3)
	send := func() {
		for _, p := range fleet {
			p.get("/read/x")
		}
	}
	sendFor := func(d time.Duration) {
		for begin := time.Now(); time.Since(begin) < d; time.Sleep(5 * time.Millisecond) {
			send()
		}
	}
	eventually(t, "the endpoint gets requests", func() bool { send(); return ranAt(left, time.Time{}) > 5 })
	copied := time.Now()
	f.store.Unregister(left)
	for _, p := range fleet {
		eventually(t, "the endpoint is no longer listed", func() bool { return strings.Contains(p.text(), "endpoint no longer listed") })
	}
	f.restoreTo(copied)
	restored := time.Now()
	sendFor(meanwhileTime / 2)
	f.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	sendFor(meanwhileTime / 4)
	f.store.SetFaults(standin.StoreFaults{})
	sendFor(meanwhileTime)
	is.Equal(ranAt(left, restored), 0)
	f.store.Register(left, "service", "dc-a", "ready")
	eventually(t, "the endpoint gets requests again", func() bool { send(); return ranAt(left, restored) > 0 })
}

// Guards against records that a router never reads, because it goes on at an offset of before
// the restore, which other records have by then.
func TestRecordsAtOffsetsThatAreGivenOutAgain(t *testing.T) {
	f := newFleet(t, 0, 1)
	l := f.store.NewListener()
	p := f.start(func(s *router.Settings) { s.Store = l.Address() }).await()
	copied := time.Now()
	f.store.SetConfig(routes(2))
	f.add("service-1", "service")
	eventually(t, "the endpoint gets requests", func() bool { p.get("/read/x"); return ranAt(f.endpoints[1], copied) > 0 })
	l.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	f.restoreTo(copied)
	f.store.SetConfig(keysOnly(3, "key-2")) // at the offset of version 2
	f.store.Evacuate("dc-z", true)          // at the offset at which the router goes on
	f.store.Unregister(f.endpoints[0])      // at the offset of service-1
	added := f.add("service-2", "service")
	l.SetFaults(standin.StoreFaults{})
	eventually(t, "the configuration is in force", func() bool { return p.get("/read/x").status == http.StatusUnauthorized })
	begin := time.Now()
	eventually(t, "the endpoint listed since gets requests", func() bool {
		p.call(context.Background(), http.MethodGet, "/read/x", "", map[string]string{"Authorization": "Bearer key-2"})
		return ranAt(added, begin) > 0
	})
}

// Guards against requests for an endpoint whose record says again that it is ready, since the
// store lost the later one in which it leaves, and against the loss of one whose record is gone
// until it writes it again.
func TestEndpointsStayAsTheyWereWhileTheStoreLacksThem(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, 2)
	p := f.start(nil).await()
	copied := time.Now()
	f.store.Register(f.endpoints[0], "service", "dc-a", "draining")
	f.add("service-2", "service")
	eventually(t, "the list is known", func() bool {
		begin := time.Now()
		for range 10 {
			p.get("/read/x")
		}
		return ranAt(f.endpoints[0], begin) == 0 && ranAt(f.endpoints[2], begin) > 0
	})
	f.restoreTo(copied)
	restored := time.Now()
	for time.Since(restored) < 2*meanwhileTime {
		is.Equal(p.get("/read/x").status, http.StatusOK)
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(ranAt(f.endpoints[0], restored), 0)
	is.True(ranAt(f.endpoints[2], restored.Add(2*meanwhileTime-500*time.Millisecond)) > 0)
	f.store.Register(f.endpoints[1], "service", "dc-a", "draining") // its new state counts at once
	eventually(t, "the other one drains", func() bool {
		begin := time.Now()
		for range 10 {
			p.get("/read/x")
		}
		return ranAt(f.endpoints[1], begin) == 0
	})
	f.store.Register(f.endpoints[0], "service", "dc-a", "ready")
	eventually(t, "it is ready again", func() bool { begin := time.Now(); p.get("/read/x"); return ranAt(f.endpoints[0], begin) > 0 })
}

// Guards against routers that do not find each other, because a restored store has lost their
// announcements.
func TestAnnouncementsAreWrittenAgain(t *testing.T) {
	f := newFleet(t, 0, 1)
	copied := time.Now()
	f.startRouters(2)
	f.restoreTo(copied)
	eventually(t, "both are announced", func() bool {
		members, err := platform.NewStore(f.store.Address()).Members(context.Background())
		return err == nil && len(members) == 2
	})
}

// Guards against a request that crashes endpoints and goes on from one to the next, because a
// restored store has lost the crashes before it is refused.
func TestCrashReportsAreWrittenAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 8)
	copied := time.Now()
	fleet := f.startUnheard(2)
	f.setFaults("", deadlyEndpoints)
	for _, p := range fleet {
		p.sendDeadly("/assign/x")
	}
	time.Sleep(meanwhileTime) // until the reports are written
	f.restoreTo(copied)
	time.Sleep(meanwhileTime)
	late := f.start(func(s *router.Settings) { s.Instance = "late" }).await()
	for range 3 {
		late.sendDeadly("/assign/x")
		time.Sleep(500 * time.Millisecond)
	}
	crashes, _ := f.deadlyRuns()
	is.New(t).Equal(crashes, 3)
}

// Guards against a property that is no longer refused after a restart of all routers, because
// a restored store has lost its record and its crashes.
func TestRefusedPropertiesAreWrittenAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 8)
	copied := time.Now()
	p := f.start(nil).await()
	f.setFaults("", deadlyEndpoints)
	eventually(t, "the request is refused", func() bool {
		p.sendDeadly("/assign/x")
		time.Sleep(suspect.MinCrashInterval) // crashes at one moment would allow a trial after a second
		return strings.Contains(p.text(), "property of requests crashes endpoints")
	})
	time.Sleep(meanwhileTime)
	f.restoreTo(copied)
	is := is.New(t)
	records := func() int {
		list, _, err := platform.NewStore(f.store.Address()).Suspects(context.Background())
		is.NoErr(err)
		return len(list)
	}
	eventually(t, "the record is written again", func() bool { return records() == 1 })
	p.stop()
	<-p.ended
	before, _ := f.deadlyRuns()
	p = f.start(nil).await()
	r := p.sendDeadly("/assign/x")
	after, _ := f.deadlyRuns()
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.Equal(after, before)
}

// Guards against the trial of a refused property that is sent twice, because a restored store
// has lost its claim.
func TestTrialsAreClaimedOnceThoughTheStoreLacksTheClaim(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 8)
	copied := time.Now()
	fleet := f.startUnheard(2)
	f.setFaults("", deadlyEndpoints)
	for range 3 { // at one moment, so that a trial is due after a second
		fleet[0].sendDeadly("/assign/x")
	}
	crashes := func() int { n, _ := f.deadlyRuns(); return n }
	eventually(t, "the trial is sent", func() bool {
		fleet[0].sendDeadly("/assign/x")
		time.Sleep(100 * time.Millisecond)
		return strings.Contains(fleet[0].text(), "refused property tried again")
	})
	is := is.New(t)
	is.Equal(crashes(), 4)
	f.restoreTo(copied)
	for restored := time.Now(); time.Since(restored) < 8*time.Second; {
		fleet[1].sendDeadly("/assign/x")
		time.Sleep(100 * time.Millisecond)
	}
	is.Equal(crashes(), 4)
}
