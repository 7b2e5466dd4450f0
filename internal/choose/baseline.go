package choose

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/goldcrestturn/goldcrestturn/internal/hrw"
)

// Baseline is a common selection method with which the order of this package is
// compared. It ignores return tokens, withheld shares and plans.
type Baseline struct {
	Name    string
	Bounded bool // endpoints over their load bound come last
	Prepare func(p *Pool) Ordering
}

// Ordering returns up to n endpoints of a pool for a key, best first.
type Ordering func(key string, n int) []Candidate

// Baselines returns all baseline methods.
func Baselines() []Baseline {
	return []Baseline{
		{Name: "modulo", Prepare: modulo},
		{Name: "ring", Prepare: ring},
		{Name: "rendezvous", Prepare: func(p *Pool) Ordering { return rendezvous(p, false) }},
		{Name: "bounded_rendezvous", Bounded: true, Prepare: func(p *Pool) Ordering { return rendezvous(p, true) }},
	}
}

func usable(p *Pool) []Candidate {
	var out []Candidate
	for i := range p.Candidates {
		if c := &p.Candidates[i]; inService(nil, p, c) && acceptsWork(nil, p, c) {
			out = append(out, *c)
		}
	}
	return out
}

// modulo selects the endpoint at the hash of the key modulo the number of
// endpoints, and then those after it.
func modulo(p *Pool) Ordering {
	list := usable(p)
	return func(key string, n int) []Candidate {
		var out []Candidate
		for i := range min(n, len(list)) {
			out = append(out, list[(xxhash.Sum64String(key)+uint64(i))%uint64(len(list))])
		}
		return out
	}
}

// pointsPerEndpoint is a usual number of points for each node of a consistent hash
// ring.
const pointsPerEndpoint = 100

type ringPoint struct {
	hash  uint64
	index int
}

// ring selects the endpoints clockwise from the hash of the key on a consistent
// hash ring.
func ring(p *Pool) Ordering {
	list := usable(p)
	var points []ringPoint
	for i, c := range list {
		for k := range uint64(pointsPerEndpoint) {
			points = append(points, ringPoint{hrw.Score(c.hash, k), i})
		}
	}
	slices.SortFunc(points, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return func(key string, n int) []Candidate {
		h := xxhash.Sum64String(key)
		start := sort.Search(len(points), func(i int) bool { return points[i].hash >= h })
		var out []Candidate
		for k := 0; k < len(points) && len(out) < n; k++ {
			c := list[points[(start+k)%len(points)].index]
			if !slices.ContainsFunc(out, func(o Candidate) bool { return o.ID == c.ID }) {
				out = append(out, c)
			}
		}
		return out
	}
}

// rendezvous selects the endpoints by descending score of key and endpoint. With
// bounded, endpoints over their load bound come last.
func rendezvous(p *Pool, bounded bool) Ordering {
	list := usable(p)
	return func(key string, n int) []Candidate {
		h := xxhash.Sum64String(key)
		best := make([]ranked, 0, n+1)
		for i := range list {
			r := ranked{index: i, class: withinBound, score: unitInterval(hrw.Score(h, list[i].hash))}
			if bounded && list[i].OverBound {
				r.class = overBound
			}
			best = insertSorted(best, r, n)
		}
		var out []Candidate
		for _, r := range best {
			out = append(out, list[r.index])
		}
		return out
	}
}
