package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/locality"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// between sums the samples from one time to another.
func (r unevenResult) between(from, to time.Duration) (sum fleetSample, lowest, highest float64) {
	lowest = 1
	var pair fleetSample
	for i, s := range r.sampled {
		if s.at <= from || s.at > to {
			continue
		}
		sum.sent, sum.sentRemote = sum.sent+s.sent, sum.sentRemote+s.sentRemote
		sum.localFirst, sum.localAnswer = sum.localFirst+s.localFirst, sum.localAnswer+s.localAnswer
		sum.remoteFirst, sum.remoteAnswer = sum.remoteFirst+s.remoteFirst, sum.remoteAnswer+s.remoteAnswer
		pair.sent, pair.sentRemote = pair.sent+s.sent, pair.sentRemote+s.sentRemote
		if i%2 == 1 { // half a second has requests enough
			lowest, highest = min(lowest, pair.share()), max(highest, pair.share())
			pair = fleetSample{}
		}
	}
	return sum, lowest, highest
}

// share is the share of the requests that went to other data centres.
func (s fleetSample) share() float64 { return float64(s.sentRemote) / float64(max(1, s.sent)) }

// slower is how much longer the callers of the first data centre wait than the others.
func (s fleetSample) slower() float64 {
	return float64(s.localFirst) / float64(s.localAnswer) / (float64(s.remoteFirst) / float64(s.remoteAnswer))
}

// Guards against a data centre whose callers wait although others have capacity, with four
// times its load or 60 in 100 of its engines gone, against requests that swing to other data
// centres and back, since all routers see the same old loads, against requests that stay
// there once the own capacity is back, and against more bytes between data centres in calm
// than with a comparison by load. The targets, from three seconds after the trouble begins or
// ends: callers of that data centre wait at most a quarter longer than others; the share that
// is sent swings by at most 0.3, of which the variation of 150 requests in half a second is
// half; afterwards it is within 0.1 of that before. Without shares, callers wait longer where
// the load is four times; engines that are gone are made up for by cache holders elsewhere.
func TestOverloadedDataCentresSpill(t *testing.T) {
	const maxSlower, maxSwing, maxLeft, maxReadAgain, settled = 1.25, 0.3, 0.1, 0.02, 3 * time.Second
	for _, f := range []unevenFleet{
		{load: 4, surge: 4}, {load: 3, surge: 4, gone: 0.6}, {load: 6, gone: 0.6},
	} {
		t.Run(fmt.Sprintf("load %v, surge %v, gone %v", f.load, f.surge, f.gone), func(t *testing.T) {
			is := is.New(t)
			f.routers, f.engines, f.stated = 28, 24, true
			f.from, f.to, f.calmAfter = 4*time.Second, 10*time.Second, 5*time.Second
			byLoad := simulateUneven(f, 1)
			f.price = locality.Price{PerGB: 10_000, Link: 3 * time.Millisecond}
			r := simulateUneven(f, 1)
			f.noSpill = true
			off := simulateUneven(f, 1)
			calm, _, _ := r.between(2*time.Second, f.from)
			trouble, low, high := r.between(f.from+settled, f.to)
			after, _, _ := r.between(f.to+settled, f.to+f.calmAfter)
			unmoved, _, _ := off.between(f.from+settled, f.to)
			t.Logf("share sent: calm %.2f, trouble %.2f to %.2f, after %.2f; waits longer: %.2f times, without shares %.2f; bytes in calm %d, by load %d; over the bound %.4f; reuse %.4f, by load %.4f; %v", calm.share(),
				low, high, after.share(), trouble.slower(), unmoved.slower(), r.calmBytes, byLoad.calmBytes, r.overShare(), r.reuse(), byLoad.reuse(), r.remote)
			is.True(trouble.slower() <= maxSlower && trouble.slower() >= 1/maxSlower)
			is.True(high-low <= maxSwing)
			is.True(after.share() <= calm.share()+maxLeft)
			is.True(r.calmBytes <= byLoad.calmBytes)
			is.True(r.overShare() <= maxOverShare)
			is.True(r.reuse() >= byLoad.reuse()-maxReadAgain)
			if f.surge > 0 {
				is.True(unmoved.slower() > maxSlower)
			}
		})
	}
}

// Guards against engines above the load bound because a price that no request is worth keeps
// all requests in an overloaded data centre. Without shares, routers send there until each sees
// from old reports that the load limit is reached.
func TestLoadBoundHoldsAtAnyPrice(t *testing.T) {
	for _, f := range []unevenFleet{
		{load: 3, surge: 4}, {load: 1, surge: 4, gone: 0.6}, {load: 2, gone: 0.6, slowShare: 0.25, slowFactor: 4},
	} {
		f.routers, f.engines, f.stated, f.price = 46, 53, true, locality.Price{PerGB: 1e9, Link: time.Second}
		r := simulateUneven(f, 1)
		f.noSpill = true
		off := simulateUneven(f, 1)
		t.Logf("surge %v gone %v: %d requests, %.4f over the bound, without shares %.4f, %v", f.surge, f.gone, r.arrivals, r.overShare(), off.overShare(), r.remote)
		is.New(t).True(r.overShare() <= maxOverShare)
		if f.surge > 0 {
			is.New(t).True(off.overShare() > maxOverShare)
		}
	}
}

// Guards against requests that leave their data centre without need, stay in one whose
// endpoints may not take them, or read a prompt again that a holder elsewhere has.
func TestRequestsStayInTheirDataCentre(t *testing.T) {
	is := is.New(t)
	list := engines(9) // three in each of dc-0, dc-1 and dc-2
	tab := table(list)
	tab.SetLocality(locality.Price{PerGB: 1000, Link: 3 * time.Millisecond})
	for i := range 12 {
		c, _ := tab.Pick(start, Query{Pool: "p", Key: uint64(i) << 40})
		is.Equal(c.Endpoint.DataCentre, model.DataCentre("dc-0"))
		is.Equal(c.Remote, RemoteReason(""))
		tab.Complete(start, c.Endpoint.ID, Answered, 0)
	}
	tab.AddHolder(start, 7, EndpointHash("i-1"))
	long, _ := tab.Pick(start, Query{Pool: "p", Part: 7, Tokens: 10_000, PromptTokens: 10_100})
	is.Equal(long.Endpoint.ID, model.EndpointID("i-1"))
	is.Equal(long.Remote, RemoteHolder)
	tab.AddHolder(start, 8, EndpointHash("i-1"))
	short, _ := tab.Pick(start, Query{Pool: "p", Part: 8, Tokens: 50, PromptTokens: 100})
	is.Equal(short.Endpoint.DataCentre, model.DataCentre("dc-0"))
	tab.SetEvacuated(map[model.DataCentre]bool{"dc-0": true})
	c, _ := tab.Pick(start, Query{Pool: "p"})
	is.Equal(c.Remote, RemoteNone)
	tab.SetEvacuated(nil)
	tab.SetLocality(locality.Price{})
	tab.Pick(start, Query{Pool: "p", Excluded: []model.EndpointID{"i-0", "i-3", "i-6"}})
	c, _ = tab.Pick(start, Query{Pool: "p", Excluded: []model.EndpointID{"i-0", "i-3", "i-6"}})
	is.Equal(c.Remote, RemoteLoad)
}

// Guards against prompt caches that are sent between data centres although their bytes cost
// more than reading the prompt again.
func TestCachesOfOtherDataCentresHaveAPrice(t *testing.T) {
	is := is.New(t)
	fetches := func(p locality.Price) bool {
		tab := table(engines(9))
		tab.SetLocality(p)
		tab.AddHolder(start, 7, EndpointHash("i-1"))
		tab.endpoints["i-1"].health.backoffUntil = at(1000)
		c, _ := tab.Pick(start, Query{Pool: "p", Part: 7, Tokens: 5000, PromptTokens: 5100, Excluded: []model.EndpointID{"i-4", "i-7"}})
		return c.FetchFrom != ""
	}
	is.True(fetches(locality.Price{}))
	is.True(fetches(locality.Price{PerGB: 1000}))
	is.True(fetches(locality.Price{PerGB: 100, CacheToken: 100_000}))   // 0.01 ms a token, of 0.02 ms for reading it
	is.True(!fetches(locality.Price{PerGB: 1000, CacheToken: 100_000})) // 0.1 ms
}

// Guards against services, whose endpoints state neither load nor work time, that keep all
// requests in a data centre whose slots are taken while others are idle.
func TestServicesSpill(t *testing.T) {
	is := is.New(t)
	list := engines(6) // two in each data centre
	for i := range list {
		list[i].Slots = 6
	}
	tab := table(list)
	tab.SetLocality(locality.Price{PerGB: 1000, Link: 3 * time.Millisecond})
	rng := rand.New(rand.NewPCG(1, 1))
	remote := 0
	for ms := range 3000 {
		if ms%150 == 0 { // another router of the same data centre has most requests
			tab.UpdatePeerLoads(at(ms), "other", map[uint32]int{EndpointHash("i-0"): 7, EndpointHash("i-3"): 7, EndpointHash("i-1"): 2, EndpointHash("i-2"): 2, EndpointHash("i-4"): 2, EndpointHash("i-5"): 2})
			tab.SetPeerDataCentre("other", "dc-0")
		}
		if ms%20 != 0 {
			continue
		}
		c, ok := tab.Pick(at(ms), Query{Pool: "p", Kind: "k", Key: rng.Uint64()})
		is.True(ok)
		if ms >= 1000 && c.Remote == RemoteSpill {
			remote++
		}
		took := 60 * time.Millisecond * time.Duration(1+int(c.Load)/6)
		tab.RecordAnswerTime(at(ms), c.Endpoint.ID, AnswerTime{Kind: "k", Load: c.Load, Bytes: 2000, FirstEvent: took, Whole: took})
		tab.Complete(at(ms), c.Endpoint.ID, Answered, 0)
	}
	t.Logf("%d of 100 requests spilled", remote)
	is.True(remote > 10)
}

// BenchmarkCapacityPickByPrice measures BenchmarkCapacityPickByTime with a price of requests
// to other data centres.
func BenchmarkCapacityPickByPrice(b *testing.B) {
	tab := table(engines(170))
	tab.SetLocality(locality.Price{PerGB: 1000, Link: 3 * time.Millisecond})
	for _, e := range engines(170) {
		tab.RecordStatedLoad(start, e.ID, StatedLoad{Running: 5, Slots: 128, WorkTime: 1, Known: true})
	}
	b.ReportAllocs()
	for i := uint64(1); b.Loop(); i++ {
		c, _ := tab.Pick(start.Add(time.Duration(i)*time.Millisecond), Query{Pool: "p", Part: i % 1000, Tokens: 700, PromptTokens: 800, Key: i << 40})
		tab.Complete(start, c.Endpoint.ID, Answered, 0)
	}
}
