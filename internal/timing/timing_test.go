package timing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// testRows returns the times to first token of a pool with two data centres, two
// routes and 2,000 requests per endpoint. delay returns the additional time of
// the requests of a row.
func testRows(delay func(r Row) time.Duration) []Row {
	var out []Row
	for e := range 8 {
		for _, route := range []model.Route{"brief", "lookup"} {
			r := Row{DataCentre: model.DataCentre(fmt.Sprint("dc-", e%2)), Key: Key{
				Endpoint: model.EndpointID(fmt.Sprint("e", e)), Pool: "chat", Version: model.Version(fmt.Sprint("v", e/4)),
				Route: route, Stage: model.StageFirstToken,
			}}
			requests := 1000.0
			if route == "lookup" && e == 0 {
				requests = 10 // this endpoint has mostly the costly route
			}
			mean := 100 * time.Millisecond
			if route == "brief" {
				mean = 300 * time.Millisecond
			}
			r.Sum = Sum{requests, time.Duration(requests * float64(mean+delay(r)))}
			out = append(out, r)
		}
	}
	return out
}

// Guards against a slow endpoint, version or data centre that is not reported as
// a hotspot because a costly route is slower by nature.
func TestHotspotIsNamed(t *testing.T) {
	const extra = 80 * time.Millisecond
	for _, c := range []struct {
		d    Dimension
		name string
		slow func(r Row) bool
	}{
		{ByEndpoint, "e3", func(r Row) bool { return r.Endpoint == "e3" }},
		{ByVersion, "v1", func(r Row) bool { return r.Version == "v1" }},
		{ByDataCentre, "dc-1", func(r Row) bool { return r.DataCentre == "dc-1" }},
	} {
		is := is.New(t)
		hotspots := Slowest(testRows(func(r Row) time.Duration {
			if c.slow(r) {
				return extra
			}
			return 0
		}), 20)
		var first Hotspot
		for _, h := range hotspots {
			if h.Dimension != ByRoute { // the costly route is in the list as well
				first = h
				break
			}
		}
		is.Equal(first.Dimension, c.d)
		is.Equal(first.Name, c.name)
		is.Equal(first.Stage, model.StageFirstToken)
	}
}

// Guards against an endpoint that looks slow because it serves costly routes.
func TestCostlyRoutesDoNotMakeAnEndpointSlow(t *testing.T) {
	is := is.New(t)
	for _, h := range Slowest(testRows(func(Row) time.Duration { return 0 }), 20) {
		is.Equal(h.Dimension, ByRoute)
	}
}

// Guards against rows that are never dropped and sums that never decay.
func TestTableDecays(t *testing.T) {
	is := is.New(t)
	table, now := NewTable(), time.Unix(0, 0)
	table.Decay(now)
	table.Add(Sums{{Endpoint: "e"}: {Requests: 8, Time: 8 * time.Second}})
	table.Decay(now.Add(halfLife))
	is.Equal(table.Sums()[Key{Endpoint: "e"}].Requests, 4.0)
	table.Decay(now.Add(12 * halfLife))
	is.Equal(len(table.Sums()), 0)
}

// Guards against a counter that grows with the number of workspaces or loses the
// busy ones among many idle ones.
func TestCounterFindsBusiestWorkspaces(t *testing.T) {
	is := is.New(t)
	c := NewCounter()
	for i := range 50_000 {
		c.Add(model.Workspace(fmt.Sprint("quiet-", i%16_000)))
		c.Add(model.Workspace(fmt.Sprint("busy-", i%10)))
	}
	top := c.Top()
	for i := range 10 {
		is.True(top[model.Workspace(fmt.Sprint("busy-", i))])
	}
	is.True(len(c.counts) <= maxCounted)
}
