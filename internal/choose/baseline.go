package choose

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/goldcrestturn/goldcrestturn/internal/hrw"
)

// Baseline is a plain method that the order of this package is compared with.
// It knows no return token, no slices and no plans.
type Baseline struct {
	Name    string
	Bounded bool // endpoints over their load bound are skipped
	Prepare func(p *Pool) Ordering
}

// Ordering returns the first n endpoints of a pool for a key.
type Ordering func(key string, n int) []Candidate

// Baselines returns the methods of the comparison.
func Baselines() []Baseline {
	return []Baseline{
		{Name: "modulo", Prepare: modulo},
		{Name: "ring", Prepare: ring},
		{Name: "rendezvous", Prepare: func(p *Pool) Ordering { return rendezvous(p, false) }},
		{Name: "bounded_rendezvous", Bounded: true, Prepare: func(p *Pool) Ordering { return rendezvous(p, true) }},
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
func modulo(p *Pool) Ordering {
	list := inUse(p)
	return func(key string, n int) []Candidate {
		var out []Candidate
		for i := range min(n, len(list)) {
			out = append(out, list[(xxhash.Sum64String(key)+uint64(i))%uint64(len(list))])
		}
		return out
	}
}

// ringPoints is the usual number of points for each endpoint of a hash ring.
const ringPoints = 100

type ringPoint struct {
	hash uint64
	at   int
}

// ring takes the endpoints clockwise from the hash of the key.
func ring(p *Pool) Ordering {
	list := inUse(p)
	var points []ringPoint
	for i, c := range list {
		for k := range uint64(ringPoints) {
			points = append(points, ringPoint{hrw.Score(c.hash, k), i})
		}
	}
	slices.SortFunc(points, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return func(key string, n int) []Candidate {
		h := xxhash.Sum64String(key)
		start := sort.Search(len(points), func(i int) bool { return points[i].hash >= h })
		var out []Candidate
		for k := 0; k < len(points) && len(out) < n; k++ {
			c := list[points[(start+k)%len(points)].at]
			if !slices.ContainsFunc(out, func(o Candidate) bool { return o.ID == c.ID }) {
				out = append(out, c)
			}
		}
		return out
	}
}

// rendezvous takes the endpoints by falling hash of key and endpoint. With
// bounded, endpoints over their load bound come last.
func rendezvous(p *Pool, bounded bool) Ordering {
	list := inUse(p)
	return func(key string, n int) []Candidate {
		h := xxhash.Sum64String(key)
		best := make([]ranked, 0, n+1)
		for i := range list {
			r := ranked{index: i, class: open, score: unit(hrw.Score(h, list[i].hash))}
			if bounded && list[i].OverBound {
				r.class = overBound
			}
			best = insert(best, r, n)
		}
		var out []Candidate
		for _, r := range best {
			out = append(out, list[r.index])
		}
		return out
	}
}
