// Package choose ranks the endpoints of a pool for a chat. Entries that know the
// same endpoints compute the same order without shared state.
//
// A query first applies the eligibility filters and then ranks the remaining
// endpoints. The baselines in baseline.go exist only for comparison.
package choose

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/hrw"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Candidate is an endpoint that may serve a request.
type Candidate struct {
	ID            model.EndpointID
	Address       string
	DataCentre    model.DataCentre
	Version       model.Version
	Weight        float64 // share of chats relative to the others; > 0
	LoadRatio     float64 // last known load over the mean; 0 if unknown
	OverBound     bool    // its last known answer was a refusal because of load
	OutOfService  bool    // its data centre is out of service
	Leaving       bool    // accepts no new work: leaving, down or in flap damping
	WithheldShare float64 // share of its chats, 0 to 1, that are withheld while its data centre returns to service
	ReclaimsChats bool    // its data centre returned to service less than ReclaimTime ago and reclaims its chats from their holders
	hash          uint64  // hash of ID
	token         uint64  // value of its return token
}

// Pool is an immutable set of candidates with precomputed values for queries.
type Pool struct {
	Candidates []Candidate // in order of ID
	Plans      []model.Plan
	byToken    map[uint64]int

	equalWeights bool
}

// NewPool returns a pool of candidates. It takes ownership of the slice.
func NewPool(plans []model.Plan, candidates []Candidate) *Pool {
	p := &Pool{Candidates: candidates, Plans: plans, byToken: make(map[uint64]int, len(candidates)), equalWeights: true}
	for i := range candidates {
		c := &candidates[i]
		c.hash, c.token = xxhash.Sum64String(string(c.ID)), tokenHash(c.ID)
		p.byToken[c.token] = i
		p.equalWeights = p.equalWeights && c.Weight == candidates[0].Weight
	}
	return p
}

// WithLoads returns a copy of p with the loads that the function load returns for
// each candidate. The copy shares everything but the candidates with p.
func (p *Pool) WithLoads(load func(model.EndpointID) (ratio float64, over bool)) *Pool {
	next := *p
	next.Candidates = slices.Clone(p.Candidates)
	for i := range next.Candidates {
		c := &next.Candidates[i]
		c.LoadRatio, c.OverBound = load(c.ID)
	}
	return &next
}

// Query holds the properties of a request that determine its order.
type Query struct {
	Key         string // model.Request.HashKey
	Chat        bool   // the request belongs to a chat, so the cache of its holder is preferred
	Plan        model.Plan
	Version     model.Version // empty means any
	ReturnToken string
}

// QueryOf returns the query of req.
func QueryOf(req *model.Request) Query {
	return Query{
		Key: req.HashKey(), Chat: req.Chat != "", Plan: req.Plan,
		Version: req.Version, ReturnToken: req.ReturnToken,
	}
}

// MaxCandidates bounds the length of an order. It is larger than the number of
// attempts of one request, to allow for endpoints that fail between attempts.
const MaxCandidates = 8

// class ranks groups of endpoints; within a class the score decides. A higher
// class comes first.
type class int8

const (
	overBound       class = iota // refused a request because of its load
	overBoundHolder              // the same, but it holds the chat's cache
	withinBound
	withinBoundHolder
	reclaimedHome // home of a chat that its data centre reclaims
)

// ranked is a candidate with its rank in an order.
type ranked struct {
	index int
	class class
	score float64
}

func (r ranked) before(o ranked) bool {
	return r.class > o.class || r.class == o.class && r.score > o.score
}

// Order appends up to n eligible candidates for q to out, best first: the holder
// of the chat, then the weighted rendezvous order. Endpoints known to be over
// their load bound come last. For a request without a chat, the less loaded of
// the first two candidates comes first.
func (p *Pool) Order(out []Candidate, q Query, n int) []Candidate {
	limit := min(n, MaxCandidates)
	n = max(limit, 2) // the load comparison needs two candidates
	var buf [MaxCandidates]ranked
	best := buf[:0]
	keyHash := xxhash.Sum64String(q.Key)
	holder := p.holder(q)
	for i := range p.Candidates {
		c := &p.Candidates[i]
		if !eligible(&q, p, c, keyHash, i == holder) {
			continue
		}
		r := ranked{index: i, class: withinBound, score: p.score(keyHash, c)}
		if c.OverBound {
			r.class = overBound
		}
		if i == holder {
			r.class++
		}
		best = insertSorted(best, r, n)
	}
	if holder >= 0 {
		best = p.moveHomeFirst(best, keyHash)
	}
	if !q.Chat && len(best) > 1 && best[0].class == best[1].class &&
		p.Candidates[best[1].index].LoadRatio < p.Candidates[best[0].index].LoadRatio {
		best[0], best[1] = best[1], best[0]
	}
	for _, r := range best[:min(limit, len(best))] {
		out = append(out, p.Candidates[r.index])
	}
	return out
}

// moveHomeFirst moves the home of a chat, its first endpoint in the rendezvous
// order, before the current holder if the home reclaims its chats. Without this,
// the engines of a data centre that returned to service would not get back the
// chats that moved away, and those of other data centres would keep too many.
func (p *Pool) moveHomeFirst(best []ranked, keyHash uint64) []ranked {
	home := -1
	for i, r := range best {
		if home < 0 || p.score(keyHash, &p.Candidates[r.index]) > p.score(keyHash, &p.Candidates[best[home].index]) {
			home = i
		}
	}
	if home <= 0 || best[home].class != withinBound || !p.Candidates[best[home].index].ReclaimsChats {
		return best
	}
	r := best[home]
	copy(best[1:home+1], best[:home])
	r.class = reclaimedHome
	best[0] = r
	return best
}

// Holder returns the candidate that the return token of q names, whether or not
// it is eligible.
func (p *Pool) Holder(q Query) (Candidate, bool) {
	if i := p.holder(q); i >= 0 {
		return p.Candidates[i], true
	}
	return Candidate{}, false
}

// insertSorted inserts r into the sorted slice best and keeps at most n items.
func insertSorted(best []ranked, r ranked, n int) []ranked {
	at := len(best)
	for at > 0 && r.before(best[at-1]) {
		at--
	}
	if at >= n {
		return best
	}
	if len(best) < n {
		best = append(best, ranked{})
	}
	copy(best[at+1:], best[at:])
	best[at] = r
	return best
}

// holder returns the index of the candidate that the return token names, or -1.
func (p *Pool) holder(q Query) int {
	if q.ReturnToken == "" {
		return -1
	}
	h, err := strconv.ParseUint(q.ReturnToken, 16, 64)
	if err != nil {
		return -1
	}
	if i, ok := p.byToken[h]; ok {
		return i
	}
	return -1
}

// Order returns all candidates with a positive weight: the endpoint that the return
// token names first, the others in the rendezvous order for key. It is for code that
// needs an order but has no request.
func Order(key, returnToken string, candidates []Candidate) []Candidate {
	p := NewPool(nil, slices.Clone(candidates))
	keyHash, holder := xxhash.Sum64String(key), p.holder(Query{ReturnToken: returnToken})
	var list []ranked
	for i := range p.Candidates {
		if c := &p.Candidates[i]; c.Weight > 0 {
			r := ranked{index: i, class: withinBound, score: p.score(keyHash, c)}
			if i == holder {
				r.class = withinBoundHolder
			}
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.class, a.class), cmp.Compare(b.score, a.score))
	})
	out := make([]Candidate, 0, len(list))
	for _, r := range list {
		out = append(out, p.Candidates[r.index])
	}
	return out
}

// score returns -weight/ln(u), where u is the hash of key and candidate mapped to
// (0, 1). With it a candidate comes first for a share of the keys proportional to
// its weight. With equal weights, u itself gives the same order without the
// logarithm.
func (p *Pool) score(keyHash uint64, c *Candidate) float64 {
	u := unitInterval(hrw.Score(keyHash, c.hash))
	if p.equalWeights {
		return u
	}
	return -c.Weight / math.Log(u)
}

// unitInterval maps a hash to the open interval (0, 1).
func unitInterval(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }

func tokenHash(id model.EndpointID) uint64 {
	return xxhash.Sum64String("return-token\x00" + string(id))
}

// ReturnToken returns the opaque return token of an endpoint.
func ReturnToken(id model.EndpointID) string {
	const width = 16
	s := strconv.FormatUint(tokenHash(id), 16)
	for len(s) < width {
		s = "0" + s
	}
	return s
}
