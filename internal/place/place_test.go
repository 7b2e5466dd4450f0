package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestturn/goldcrestturn/internal/catalog"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

var start = time.Unix(1_700_000_000, 0)

func engines(n int) []Endpoint {
	var out []Endpoint
	for i := range n {
		out = append(out, Endpoint{ID: model.EndpointID(fmt.Sprintf("i-%d", i)), Pool: "p", Address: fmt.Sprintf("10.0.0.%d:80", i),
			DataCentre: model.DataCentre(fmt.Sprintf("dc-%d", i%3)), Region: "r"})
	}
	return out
}

func table(list []Endpoint) *Table {
	t := New("self", "dc-0")
	t.SetPools(map[model.Pool]catalog.Pool{"p": {Name: "p", ColdTime: 3 * time.Second, ColdRate: 10, Engine: true}})
	t.SetEndpoints(start, list)
	return t
}

// Guards against repeated prefill because requests with the same prompt part go
// to different endpoints, from one router or from two that exchange their state.
func TestRequestsWithOnePartShareAnEndpoint(t *testing.T) {
	is := is.New(t)
	a, b := table(engines(9)), table(engines(9))
	for part := uint64(1); part <= 40; part++ {
		first, ok := a.Pick(start, Query{Pool: "p", Part: part})
		is.True(ok && first.NewHolder)
		is.Equal(first.FetchFrom, "") // the part has no holder yet
		b.AddHolder(start, part, EndpointHash(first.Endpoint.ID))
		a.Complete(start, first.Endpoint.ID, Answered, 0)
		for _, tab := range []*Table{a, b} {
			c, _ := tab.Pick(start, Query{Pool: "p", Part: part, Key: part})
			is.Equal(c.Endpoint.ID, first.Endpoint.ID)
			is.Equal(c.Reason, HoldsPrompt)
			tab.Complete(start, c.Endpoint.ID, Answered, 0)
		}
	}
}

// Guards against a load above the operators' bound of twice the mean plus 3 under
// any skew of the prompts, and against a choice of another endpoint without a cache
// transfer although a holder is known, so that the prefill is repeated.
func TestLoadStaysBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tab := table(engines(rapid.IntRange(2, 20).Draw(rt, "engines")))
		running := 0
		var ids []model.EndpointID
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			if len(ids) > 0 && rapid.IntRange(0, 2).Draw(rt, "end") == 0 {
				tab.Complete(start, ids[0], Answered, 0)
				ids = ids[1:]
				running--
				continue
			}
			c, ok := tab.Pick(start, Query{Pool: "p", Part: uint64(rapid.IntRange(1, 3).Draw(rt, "part"))})
			if !ok {
				rt.Fatal("no endpoint was selected")
			}
			if c.Reason == HoldersLoaded && c.NewHolder && c.FetchFrom == "" {
				rt.Fatal("no cache transfer although the part has a holder")
			}
			ids = append(ids, c.Endpoint.ID)
			running++
			mean := float64(running) / float64(len(tab.endpoints))
			if got := float64(tab.endpoints[c.Endpoint.ID].inFlight); got > 2*mean+3 {
				rt.Fatalf("endpoint has %v requests in flight, mean is %v", got, mean)
			}
		}
	})
}

// Guards against requests to an endpoint that is draining, not listed or in an
// evacuated data centre, and against ignoring an endpoint whose data centre
// returned to service.
func TestLeavingEndpointsGetNothing(t *testing.T) {
	is := is.New(t)
	list := engines(3)
	tab := table(list)
	list[0].Draining = true
	tab.SetEndpoints(start, list[:2])
	for range 5 {
		c, ok := tab.Pick(start, Query{Pool: "p"})
		is.True(ok)
		is.Equal(c.Endpoint.ID, list[1].ID)
	}
	tab.SetEvacuated(map[model.DataCentre]bool{"dc-1": true})
	_, ok := tab.Pick(start, Query{Pool: "p"})
	is.True(!ok)
	tab.SetEvacuated(nil)
	_, ok = tab.Pick(start, Query{Pool: "p"})
	is.True(ok)
}

// Guards against removing endpoints whose records expired during a store outage
// as soon as the store is back, and against keeping those that stay missing.
func TestEntriesThatLapseInAnOutage(t *testing.T) {
	is := is.New(t)
	tab := table(engines(2))
	tab.RecordStoreOutage()
	is.Equal(len(tab.SetEndpoints(start.Add(time.Second), nil).Removed), 0)
	_, ok := tab.Pick(start.Add(time.Second), Query{Pool: "p"})
	is.True(ok)
	is.Equal(len(tab.SetEndpoints(start.Add(4*time.Second), nil).Removed), 2)
	_, ok = tab.Pick(start.Add(4*time.Second), Query{Pool: "p"})
	is.True(!ok)
}

// Guards against a cold endpoint that receives more requests a second than it
// tolerates from all routers together, which do not coordinate.
func TestColdEndpointsGetLittle(t *testing.T) {
	is := is.New(t)
	const routers = 5
	var tables []*Table
	for range routers {
		tab := table(nil)
		for peer := range routers - 1 {
			tab.UpdatePeerLoads(start, fmt.Sprint(peer), nil)
		}
		tables = append(tables, tab)
	}
	sent := 0
	for ms := 0; ms < 1000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for _, tab := range tables {
			tab.SetEndpoints(now, engines(1)) // a new endpoint is cold
			if c, ok := tab.Pick(now, Query{Pool: "p"}); ok {
				sent++
				tab.Complete(now, c.Endpoint.ID, Answered, 0)
			}
		}
	}
	is.True(sent > 0 && sent <= 20)
}

// Guards against an endpoint that seems healthy, fails its requests and still gets
// its share, and against selecting no endpoint when all endpoints of the pool fail.
func TestFailingEndpointsAreInBackoff(t *testing.T) {
	is := is.New(t)
	tab := table(engines(4))
	for range 3 {
		tab.recordStart(start, tab.endpoints["i-0"])
		tab.Complete(start, "i-0", Failed, 0)
	}
	for range 20 {
		c, ok := tab.Pick(start, Query{Pool: "p"})
		is.True(ok && c.Endpoint.ID != "i-0")
		tab.Complete(start, c.Endpoint.ID, Answered, 0)
	}
	for i := range 4 {
		for range 3 {
			tab.Complete(start, model.EndpointID(fmt.Sprintf("i-%d", i)), Failed, 0)
		}
	}
	_, ok := tab.Pick(start, Query{Pool: "p"})
	is.True(ok)
}

// Guards against reuse of a cache that was lost when the endpoint's process
// restarted under the same id.
func TestRestartedEndpointHoldsNothing(t *testing.T) {
	is := is.New(t)
	list := engines(1)
	list[0].Started = 1
	tab := table(list)
	tab.AddHolder(start, 7, EndpointHash("i-0"))
	list[0].Started = 2
	tab.SetEndpoints(start, list)
	is.Equal(tab.Holders(10), nil)
	is.True(!tab.endpoints["i-0"].coldUntil.Before(start.Add(3 * time.Second)))
}

// Guards against a request that is sent to a region where it must not run.
func TestRegionsBind(t *testing.T) {
	is := is.New(t)
	tab := table(engines(3))
	_, ok := tab.Pick(start, Query{Pool: "p", Regions: []model.Region{"other"}})
	is.True(!ok)
	_, ok = tab.Pick(start, Query{Pool: "p", Regions: []model.Region{"r"}})
	is.True(ok)
}

// BenchmarkCapacityPick measures the selection for one request among 170
// endpoints with 40 peers.
func BenchmarkCapacityPick(b *testing.B) {
	tab := table(engines(170))
	for i := range 40 {
		loads := map[uint32]int{}
		for _, e := range engines(170)[i : i+100] {
			loads[EndpointHash(e.ID)] = 1
		}
		tab.UpdatePeerLoads(start, fmt.Sprint(i), loads)
	}
	b.ReportAllocs()
	for i := uint64(1); b.Loop(); i++ {
		c, _ := tab.Pick(start, Query{Pool: "p", Part: i % 1000, Key: i})
		tab.Complete(start, c.Endpoint.ID, Answered, 0)
	}
}

// Guards against a second prefill of a long prompt by a request that arrives
// while the first prefill is in progress, and against an unnecessary wait.
func TestRequestsWaitForPrefillInProgress(t *testing.T) {
	is := is.New(t)
	tab := table(engines(3))
	q := Query{Pool: "p", Part: 7, Tokens: 10_000}
	first, _ := tab.Pick(start, q)
	is.Equal(first.Wait, time.Duration(0))
	second, _ := tab.Pick(start.Add(50*time.Millisecond), q)
	is.Equal(second.Wait, 165*time.Millisecond)
	third, _ := tab.Pick(start.Add(time.Second), q)
	is.Equal(third.Wait, time.Duration(0))
	q.Part, q.Tokens = 8, 500
	tab.Pick(start, q)
	short, _ := tab.Pick(start, q)
	is.Equal(short.Wait, time.Duration(0))
}

// Guards against a repeated prefill of the first part of a prompt although another
// endpoint holds it.
func TestFirstPartIsTransferred(t *testing.T) {
	is := is.New(t)
	tab := table(engines(9))
	a, _ := tab.Pick(start, Query{Pool: "p", Part: 1, Base: 100})
	is.True(a.NewBase)
	for part := uint64(2); part < 20; part++ {
		c, _ := tab.Pick(start, Query{Pool: "p", Part: part, Base: 100})
		is.Equal(c.FetchFrom != "", c.NewBase)
		tab.Complete(start, c.Endpoint.ID, Answered, 0)
	}
}

// Guards against repeated prefill of prompts whose holder leaves: its cache can
// still be transferred for removedCacheTime after it is removed from the list.
func TestCachesOfRemovedEndpointsAreTransferred(t *testing.T) {
	is := is.New(t)
	list := engines(3)
	tab := table(list)
	first, _ := tab.Pick(start, Query{Pool: "p", Part: 7})
	var rest []Endpoint
	for i := range list {
		if list[i].ID != first.Endpoint.ID {
			rest = append(rest, list[i])
		}
	}
	tab.SetEndpoints(start, rest)
	next, _ := tab.Pick(start.Add(time.Second), Query{Pool: "p", Part: 7})
	is.Equal(next.FetchFrom, first.Endpoint.Address)
	tab.AddHolder(start, 8, EndpointHash(first.Endpoint.ID))
	late, _ := tab.Pick(start.Add(removedCacheTime+time.Second), Query{Pool: "p", Part: 8})
	is.Equal(late.FetchFrom, "")
}

// Guards against repeated prefill after a network partition: an endpoint that was
// unreachable for a while still has its cache.
func TestUnreachableEndpointsKeepTheirCache(t *testing.T) {
	is := is.New(t)
	tab := table(engines(3))
	first, _ := tab.Pick(start, Query{Pool: "p", Part: 7})
	tab.Complete(start, first.Endpoint.ID, Answered, 0)
	tab.recordStart(start, tab.endpoints[first.Endpoint.ID])
	tab.Complete(start, first.Endpoint.ID, Unreachable, 0)
	other, _ := tab.Pick(start, Query{Pool: "p", Part: 7})
	is.True(other.Endpoint.ID != first.Endpoint.ID)
	is.Equal(other.FetchFrom, "") // the holder is unreachable now
	is.True(slices.Contains(tab.holders.lookup(7), EndpointHash(first.Endpoint.ID)))
}

// Guards against too many requests to a cold endpoint from routers that have just
// started and received nothing from peers: the announcements in the store tell
// them how many routers there are.
func TestColdEndpointsAtRoutersThatHearNobody(t *testing.T) {
	is := is.New(t)
	const routers = 6
	sent := 0
	for range routers {
		tab := table(nil)
		tab.SetAnnounced(names(routers))
		tab.SetEndpoints(start, engines(1))
		for ms := 0; ms < 1000; ms += 10 {
			if _, ok := tab.Pick(start.Add(time.Duration(ms)*time.Millisecond), Query{Pool: "p"}); ok {
				sent++
			}
		}
	}
	is.True(sent <= 20)
}

// names returns the names of n routers.
func names(n int) (out []model.InstanceID) {
	for i := range n {
		out = append(out, model.InstanceID(fmt.Sprintf("router-%d", i)))
	}
	return out
}

// Guards against too many requests to a cold endpoint from a fleet that has more
// routers than the endpoint tolerates requests a second. If each router sends one
// request a second, the sum is too high: 21 of 26 routers did in the same second,
// where 20 are tolerated.
func TestColdEndpointsAtManyRouters(t *testing.T) {
	is := is.New(t)
	for _, routers := range []int{10, 22, 26, 301} {
		var tables []*Table
		for _, self := range names(routers) {
			tab := New(self, "dc-0")
			tab.SetPools(map[model.Pool]catalog.Pool{"p": {Name: "p", ColdTime: 3 * time.Second, ColdRate: 10, Engine: true}})
			tab.SetEndpoints(start, nil)
			if len(tables)%2 == 0 { // half of the routers have live peers, half only know the announcements
				for _, peer := range names(routers) {
					if peer != self {
						tab.UpdatePeerLoads(start, string(peer), nil)
					}
				}
			} else {
				tab.SetAnnounced(names(routers))
			}
			tab.SetEndpoints(start, engines(1)) // a new endpoint is cold
			tables = append(tables, tab)
		}
		for second := range 2 {
			sent := 0
			for ms := 0; ms < 1000; ms += 100 {
				now := start.Add(time.Duration(1001*second+ms) * time.Millisecond)
				for _, tab := range tables {
					if c, ok := tab.Pick(now, Query{Pool: "p"}); ok {
						sent++
						tab.Complete(now, c.Endpoint.ID, Answered, 0)
					}
				}
			}
			is.True(sent > 0)
			is.True(sent <= 10)
		}
	}
}

// Guards against requests to a version whose roll-out is ordered, and against a pool
// without endpoints once only that version is left.
func TestHeldVersionsGetNothing(t *testing.T) {
	is := is.New(t)
	list := engines(4)
	for i := range list {
		list[i].Version = "v1"
	}
	list[0].Version = "v2"
	tab := table(list)
	tab.SetHeldVersions(map[model.Pool]model.Version{"p": "v2"})
	for i := range 20 {
		c, ok := tab.Pick(start, Query{Pool: "p", Key: uint64(i)})
		is.True(ok)
		is.Equal(c.Endpoint.Version, model.Version("v1"))
	}
	c, ok := tab.Pick(start, Query{Pool: "p"})
	is.True(ok)
	is.Equal(c.Mean, 20.0/4) // operators bound the load relative to all endpoints of the pool
	tab.SetEndpoints(start, list[:1])
	c, ok = tab.Pick(start, Query{Pool: "p"})
	is.True(ok)
	is.Equal(c.Endpoint.Version, model.Version("v2"))
	tab.SetEndpoints(start, list)
	tab.SetHeldVersions(nil)
	met := map[model.Version]bool{}
	for i := range 20 {
		c, _ := tab.Pick(start, Query{Pool: "p", Key: uint64(i)})
		met[c.Endpoint.Version] = true
	}
	is.Equal(len(met), 2)
}

// Guards against requests to an endpoint that said in an answer that it leaves, while the
// list still has it as ready, and against one that stays out of use after its restart.
func TestEndpointsThatSayThatTheyLeaveGetNothing(t *testing.T) {
	is := is.New(t)
	list := engines(2)
	list[0].Started = 1000
	tab := table(list)
	is.True(tab.RecordLeaving(list[0].ID))
	is.True(!tab.RecordLeaving(list[0].ID))
	gets := func() (n int) {
		for i := range 20 {
			if c, ok := tab.Pick(start, Query{Pool: "p", Key: uint64(i)}); ok && c.Endpoint.ID == list[0].ID {
				n++
			}
		}
		return n
	}
	is.Equal(gets(), 0)
	tab.SetEndpoints(start, list) // the list still says that it is ready
	is.Equal(gets(), 0)
	list[0].Started = 2000
	tab.SetEndpoints(start, list)
	tab.SetEndpoints(start.Add(time.Minute), list) // no longer cold
	is.True(gets() > 0)
}

// Guards against requests, and fetches of prompts, to an endpoint that turned this router
// away, against a time that a shorter one ends, and against an absurd time that takes an
// endpoint out of use for good.
func TestEndpointsThatTurnARouterAwayGetNothing(t *testing.T) {
	is := is.New(t)
	list := engines(2)
	tab := table(list)
	tab.AddHolder(start, 7, EndpointHash(list[0].ID))
	is.Equal(tab.RecordTurnAway(start, list[0].ID, 10*time.Second), 10*time.Second)
	is.Equal(tab.RecordTurnAway(start, list[0].ID, time.Second), 10*time.Second)
	is.Equal(tab.TurnedAway(start, "p"), time.Duration(0))
	for i := range 20 {
		c, ok := tab.Pick(start.Add(9*time.Second), Query{Pool: "p", Part: 7, Key: uint64(i)})
		is.True(ok)
		is.Equal(c.Endpoint.ID, list[1].ID)
		is.Equal(c.FetchFrom, "")
	}
	is.Equal(tab.RecordTurnAway(start, list[1].ID, 365*24*time.Hour), maxTurnAway)
	_, ok := tab.Pick(start.Add(9*time.Second), Query{Pool: "p"})
	is.True(!ok)
	is.Equal(tab.TurnedAway(start.Add(9*time.Second), "p"), time.Second)
	c, ok := tab.Pick(start.Add(10*time.Second), Query{Pool: "p"})
	is.True(ok)
	is.Equal(c.Endpoint.ID, list[0].ID)
	list[1].Started = 2000
	old := list[1]
	old.Started = 1000
	tab = table([]Endpoint{list[0], old})
	tab.RecordTurnAway(start, old.ID, time.Minute)
	tab.SetEndpoints(start, list) // it has started again
	is.Equal(tab.TurnedAway(start, "p"), time.Duration(0))
}
