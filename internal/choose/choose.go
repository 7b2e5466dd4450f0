// Package choose orders the endpoints of a pool for a chat. Every entry that
// knows the same endpoints finds the same order without any shared table.
//
// A query passes the eligibility filters and then one order. The baselines in
// baseline.go exist only to be compared with.
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
	OverBound     bool    // last known to refuse for its load
	OutOfService  bool    // its data centre is out of service
	Leaving       bool    // it takes no new work
	WithheldShare float64 // share of the chats that a returning data centre does not have back yet, 0 to 1
	ReclaimsChats bool    // its data centre returned lately and gets its chats back from their holders
	hash          uint64  // of ID, worked out once
	token         uint64
}

// Pool is an immutable set of candidates with what each query needs of them
// worked out once.
type Pool struct {
	Candidates []Candidate // in order of ID
	Plans      []model.Plan
	byToken    map[uint64]int

	equalWeights bool
}

// NewPool returns a pool of candidates, which it keeps.
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

// WithLoads returns a pool whose candidates have the loads that load yields. It
// shares everything else with p and costs one copy of the candidates.
func (p *Pool) WithLoads(load func(model.EndpointID) (ratio float64, over bool)) *Pool {
	next := *p
	next.Candidates = slices.Clone(p.Candidates)
	for i := range next.Candidates {
		c := &next.Candidates[i]
		c.LoadRatio, c.OverBound = load(c.ID)
	}
	return &next
}

// Query is what the order of a request depends on.
type Query struct {
	Key         string // model.Request.HashKey
	Chat        bool   // the request belongs to a chat, so that caches matter
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

// MaxCandidates bounds the length of an order. It leaves room behind the hand-overs
// of one request for endpoints that fail in between.
const MaxCandidates = 8

// class puts groups of endpoints before others, whatever their score.
type class int8

const (
	overBound       class = iota // refused for its load a moment ago
	overBoundHolder              // the same, but it has the chat's cache
	open
	openHolder
	openHome // first in the order of a chat that its data centre gets back
)

// ranked is an entry of a partial order.
type ranked struct {
	index int
	class class
	score float64
}

func (r ranked) before(o ranked) bool {
	return r.class > o.class || r.class == o.class && r.score > o.score
}

// Order appends up to n candidates that may serve q to out, best first: the
// holder of the chat, then the weighted rendezvous order. Endpoints known to be
// over their load bound come last. A request without a chat goes to the less
// loaded of its first two.
func (p *Pool) Order(out []Candidate, q Query, n int) []Candidate {
	want := min(n, MaxCandidates)
	n = max(want, 2) // one alone cannot be compared
	var store [MaxCandidates]ranked
	best := store[:0]
	keyHash := xxhash.Sum64String(q.Key)
	holder := p.holder(q)
	for i := range p.Candidates {
		c := &p.Candidates[i]
		if !eligible(&q, p, c, keyHash, i == holder) {
			continue
		}
		r := ranked{index: i, class: open, score: p.score(keyHash, c)}
		if c.OverBound {
			r.class = overBound
		}
		if i == holder {
			r.class++
		}
		best = insert(best, r, n)
	}
	if holder >= 0 {
		best = p.reclaim(best, keyHash)
	}
	if !q.Chat && len(best) > 1 && best[0].class == best[1].class &&
		p.Candidates[best[1].index].LoadRatio < p.Candidates[best[0].index].LoadRatio {
		best[0], best[1] = best[1], best[0]
	}
	for _, r := range best[:min(want, len(best))] {
		out = append(out, p.Candidates[r.index])
	}
	return out
}

// reclaim puts the home of a chat before its present holder if the home's data
// centre returned lately. Otherwise a return would leave its engines without
// the chats that moved away, and the others with too many.
func (p *Pool) reclaim(best []ranked, keyHash uint64) []ranked {
	home := -1
	for i, r := range best {
		if home < 0 || p.score(keyHash, &p.Candidates[r.index]) > p.score(keyHash, &p.Candidates[best[home].index]) {
			home = i
		}
	}
	if home <= 0 || best[home].class != open || !p.Candidates[best[home].index].ReclaimsChats {
		return best
	}
	r := best[home]
	copy(best[1:home+1], best[:home])
	r.class = openHome
	best[0] = r
	return best
}

// Holder returns the candidate that the return token of q names, whether or not
// it takes work.
func (p *Pool) Holder(q Query) (Candidate, bool) {
	if i := p.holder(q); i >= 0 {
		return p.Candidates[i], true
	}
	return Candidate{}, false
}

// insert keeps best sorted with at most n items.
func insert(best []ranked, r ranked, n int) []ranked {
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

// Order returns all candidates with a weight in the rendezvous order of key.
// Parts of the fleet that need an order and no request use it.
func Order(key, returnToken string, candidates []Candidate) []Candidate {
	p := NewPool(nil, slices.Clone(candidates))
	keyHash, holder := xxhash.Sum64String(key), p.holder(Query{ReturnToken: returnToken})
	var list []ranked
	for i := range p.Candidates {
		if c := &p.Candidates[i]; c.Weight > 0 {
			r := ranked{index: i, class: open, score: p.score(keyHash, c)}
			if i == holder {
				r.class = openHolder
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

// score is -weight/ln(u) for a hash u of key and candidate in (0, 1), which
// makes the share of keys won proportional to the weight. With equal weights u
// itself gives the same order without the logarithm.
func (p *Pool) score(keyHash uint64, c *Candidate) float64 {
	u := unit(hrw.Score(keyHash, c.hash))
	if p.equalWeights {
		return u
	}
	return -c.Weight / math.Log(u)
}

// unit maps a hash to (0, 1).
func unit(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }

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
