package choose

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Baseline is a plain method that the order of this package is compared with.
// It knows no return token, no slices and no plans.
type Baseline struct {
	Name    string
	Bounded bool // endpoints over their load bound are skipped
	Order   func(p *Pool, key string, n int) []Candidate
}

// Baselines returns the methods of the comparison.
func Baselines() []Baseline {
	return []Baseline{
		{Name: "modulo", Order: modulo},
		{Name: "ring", Order: ring},
		{Name: "rendezvous", Order: func(p *Pool, key string, n int) []Candidate { return rendezvous(p, key, n, false) }},
		{Name: "bounded_rendezvous", Bounded: true, Order: func(p *Pool, key string, n int) []Candidate { return rendezvous(p, key, n, true) }},
	}
}

func inUse(p *Pool) []Candidate {
	var out []Candidate
	for i := range p.Candidates {
		if c := &p.Candidates[i]; inService(nil, p, c) && takesWork(nil, p, c) {
			out = append(out, *c)
		}
	}
	return out
}

// modulo takes the endpoint at the hash modulo the number of endpoints.
func modulo(p *Pool, key string, n int) []Candidate {
	list := inUse(p)
	var out []Candidate
	for i := range min(n, len(list)) {
		at := (xxhash.Sum64String(key) + uint64(i)) % uint64(len(list))
		out = append(out, list[at])
	}
	return out
}

// ringPoints is the usual number of points for each endpoint of a hash ring.
const ringPoints = 100

// ring takes the endpoints clockwise from the hash of the key.
func ring(p *Pool, key string, n int) []Candidate {
	type point struct {
		hash uint64
		at   int
	}
	list := inUse(p)
	var points []point
	for i, c := range list {
		for k := range uint64(ringPoints) {
			points = append(points, point{mix(c.hash, k), i})
		}
	}
	slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	h := xxhash.Sum64String(key)
	start := sort.Search(len(points), func(i int) bool { return points[i].hash >= h })
	seen := map[int]bool{}
	var out []Candidate
	for k := 0; k < len(points) && len(out) < n; k++ {
		pt := points[(start+k)%len(points)]
		if !seen[pt.at] {
			seen[pt.at] = true
			out = append(out, list[pt.at])
		}
	}
	return out
}

// rendezvous takes the endpoints by falling hash of key and endpoint. With
// bounded, endpoints over their load bound come last.
func rendezvous(p *Pool, key string, n int, bounded bool) []Candidate {
	h := xxhash.Sum64String(key)
	list := inUse(p)
	rank := func(c Candidate) float64 {
		if bounded && c.OverBound {
			return math.Inf(-1)
		}
		return unit(mix(h, c.hash))
	}
	slices.SortStableFunc(list, func(a, b Candidate) int { return cmp.Compare(rank(b), rank(a)) })
	return list[:min(n, len(list))]
}
