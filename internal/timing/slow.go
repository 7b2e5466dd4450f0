package timing

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Dimension is a property by which the requests of a pool are grouped.
type Dimension string

// The dimensions.
const (
	ByEndpoint   Dimension = "endpoint"
	ByDataCentre Dimension = "data_centre"
	ByVersion    Dimension = "version"
	ByRoute      Dimension = "route"
)

// Row is the sum of one key, and the data centre of its endpoint.
type Row struct {
	Key
	DataCentre model.DataCentre
	Sum
}

// Hotspot is a part of a pool that spends more time in a stage than the rest.
type Hotspot struct {
	Pool      model.Pool
	Stage     model.Stage
	Dimension Dimension
	Name      string
	Requests  float64
	Mean      time.Duration // mean time of a request in this part
	Rest      time.Duration // mean time of the same routes in the rest of the pool
	Excess    time.Duration // total time above Rest of all requests in this part
}

// minRequests is the minimum number of requests of a hotspot; a few slow requests
// are not significant.
const minRequests = 10

// Slowest returns the hotspots with the most excess time, at most n. Requests are
// compared with those of the same route, so that an endpoint with costly routes
// does not look slow; a route is compared with all other routes of its pool.
func Slowest(rows []Row, n int) []Hotspot {
	var out []Hotspot
	for _, d := range []Dimension{ByEndpoint, ByDataCentre, ByVersion, ByRoute} {
		out = append(out, hotspotsBy(rows, d)...)
	}
	slices.SortFunc(out, func(a, b Hotspot) int {
		return cmp.Or(cmp.Compare(b.Excess, a.Excess), cmp.Compare(dimensionRank(a.Dimension), dimensionRank(b.Dimension)), cmp.Compare(a.Name, b.Name))
	})
	return out[:min(n, len(out))]
}

// dimensionRank orders hotspots with the same excess. The narrower one comes
// first.
func dimensionRank(d Dimension) int {
	return slices.Index([]Dimension{ByEndpoint, ByVersion, ByRoute, ByDataCentre}, d)
}

func dimensionValue(r Row, d Dimension) string {
	switch d {
	case ByEndpoint:
		return string(r.Endpoint)
	case ByDataCentre:
		return string(r.DataCentre)
	case ByVersion:
		return string(r.Version)
	}
	return string(r.Route)
}

// scope identifies the rows that are compared with each other.
type scope struct {
	pool  model.Pool
	stage model.Stage
	route model.Route // empty if all routes are compared
}

type hotspotKey struct {
	pool  model.Pool
	stage model.Stage
	name  string
}

func hotspotsBy(rows []Row, d Dimension) []Hotspot {
	total := map[scope]Sum{}
	byValue := map[hotspotKey]map[scope]Sum{}
	for _, r := range rows {
		s := scope{r.Pool, r.Stage, r.Route}
		if d == ByRoute {
			s.route = ""
		}
		k := hotspotKey{r.Pool, r.Stage, dimensionValue(r, d)}
		if k.name == "" {
			continue
		}
		if byValue[k] == nil {
			byValue[k] = map[scope]Sum{}
		}
		total[s] = total[s].add(r.Sum)
		byValue[k][s] = byValue[k][s].add(r.Sum)
	}
	var out []Hotspot
	for k, parts := range byValue {
		if h, ok := newHotspot(k, d, parts, total); ok {
			out = append(out, h)
		}
	}
	return out
}

func newHotspot(k hotspotKey, d Dimension, parts, total map[scope]Sum) (Hotspot, bool) {
	var all Sum
	var expected time.Duration
	compared := 0.0
	for s, sum := range parts {
		rest := total[s].sub(sum)
		if rest.Requests < 1 {
			continue
		}
		all = all.add(sum)
		compared += sum.Requests
		expected += time.Duration(float64(rest.Mean()) * sum.Requests)
	}
	if compared < minRequests || all.Time <= expected {
		return Hotspot{}, false
	}
	return Hotspot{
		Pool: k.pool, Stage: k.stage, Dimension: d, Name: k.name, Requests: compared,
		Mean: all.Mean(), Rest: time.Duration(float64(expected) / compared), Excess: all.Time - expected,
	}, true
}
