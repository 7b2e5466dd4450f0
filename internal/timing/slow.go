package timing

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Dimension is a property by which places are told apart.
type Dimension string

// The dimensions.
const (
	ByEndpoint   Dimension = "endpoint"
	ByDataCentre Dimension = "data_centre"
	ByVersion    Dimension = "version"
	ByRoute      Dimension = "route"
)

// Row is the sum of one key with its data centre.
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
	Mean      time.Duration // mean time of a request there
	Rest      time.Duration // mean time of the same routes elsewhere in the pool
	Excess    time.Duration // time above the rest, over all requests there
}

// minRequests is the number of requests below which a place is not named; a
// few slow requests say nothing about it.
const minRequests = 10

// Slowest returns the places with the most excess time, at most n. The same
// routes are compared with each other, so that an endpoint with costly routes
// does not look slow; a route is compared with all other routes of its pool.
func Slowest(rows []Row, n int) []Hotspot {
	var out []Hotspot
	for _, d := range []Dimension{ByEndpoint, ByDataCentre, ByVersion, ByRoute} {
		out = append(out, compare(rows, d)...)
	}
	slices.SortFunc(out, func(a, b Hotspot) int {
		return cmp.Or(cmp.Compare(b.Excess, a.Excess), cmp.Compare(rank(a.Dimension), rank(b.Dimension)), cmp.Compare(a.Name, b.Name))
	})
	return out[:min(n, len(out))]
}

// rank prefers the narrower place of two that explain the same excess.
func rank(d Dimension) int {
	return slices.Index([]Dimension{ByEndpoint, ByVersion, ByRoute, ByDataCentre}, d)
}

func name(r Row, d Dimension) string {
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

// scope is a set of rows that are compared with each other.
type scope struct {
	pool  model.Pool
	stage model.Stage
	route model.Route // empty where all routes are compared
}

type placeKey struct {
	pool  model.Pool
	stage model.Stage
	name  string
}

func compare(rows []Row, d Dimension) []Hotspot {
	total := map[scope]Sum{}
	own := map[placeKey]map[scope]Sum{}
	for _, r := range rows {
		s := scope{r.Pool, r.Stage, r.Route}
		if d == ByRoute {
			s.route = ""
		}
		k := placeKey{r.Pool, r.Stage, name(r, d)}
		if k.name == "" {
			continue
		}
		if own[k] == nil {
			own[k] = map[scope]Sum{}
		}
		total[s] = total[s].add(r.Sum)
		own[k][s] = own[k][s].add(r.Sum)
	}
	var out []Hotspot
	for k, parts := range own {
		if p, ok := place(k, d, parts, total); ok {
			out = append(out, p)
		}
	}
	return out
}

func place(k placeKey, d Dimension, parts, total map[scope]Sum) (Hotspot, bool) {
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
