package place

import (
	"cmp"
	"slices"

	"github.com/goldcrestturn/goldcrestturn/internal/hrw"
)

type selection struct {
	candidate
	reason Reason
}

// selectEndpoint selects the best holder of the part whose load is within the limit. If
// there is none, it selects the best of a few candidates: the first ones, in the
// rendezvous order for the part, of the eligible endpoints within the limit, or of all
// eligible endpoints if none is within it. For a request without a part the order is that
// for the request. The best endpoint is the least loaded one or, where endpoints state
// their work time, the one with the least expected time.
func (t *Table) selectEndpoint(q Query, expected expectation, eligible []candidate, limit float64) selection {
	withinLimit := slices.DeleteFunc(slices.Clone(eligible), func(c candidate) bool { return c.load+1 > limit })
	if len(withinLimit) == 0 {
		withinLimit = eligible
	}
	if q.Part == 0 {
		best, _ := t.best(q, expected, t.compared(q.Key, withinLimit), expected.own)
		return selection{best, LeastLoad}
	}
	holders := t.holders.lookup(q.Part)
	holding := slices.DeleteFunc(slices.Clone(eligible), func(c candidate) bool {
		return !slices.Contains(holders, c.hash) || c.load+1 > limit
	})
	if len(holding) > 0 {
		best, cost := t.best(q, expected, holding, expected.own)
		if other, ok := t.insteadOfHolder(q, expected, best, cost, withinLimit, holders); ok {
			return selection{other, HoldersSlow}
		}
		return selection{best, HoldsPrompt}
	}
	if len(holders) > 0 {
		best, _ := t.best(q, expected, t.compared(q.Part, withinLimit), expected.own+expected.shared)
		return selection{best, HoldersLoaded}
	}
	best, _ := t.best(q, expected, firstInOrder(q.Part, withinLimit, min(firstUseCandidates, t.candidateCount())), expected.own+expected.shared)
	return selection{best, FirstUse}
}

// insteadOfHolder returns an endpoint that does not hold the part and whose expected time,
// with that for moving or reading the prompt, is less than that of the best holder. It
// compares endpoints only if that holder stays slow or all its slots are taken: while holders
// work as usual, reading shared parts again is the largest avoidable cost. It takes the
// first candidates in the order of the part, so that all routers move it to the same ones.
func (t *Table) insteadOfHolder(q Query, expected expectation, holder candidate, cost float64, withinLimit []candidate, holders []uint32) (candidate, bool) {
	if !expected.active() {
		return candidate{}, false
	}
	if !expected.lasting(holder.endpointState) && !holder.full() {
		return candidate{}, false
	}
	others := slices.DeleteFunc(slices.Clone(withinLimit), func(c candidate) bool { return slices.Contains(holders, c.hash) })
	if len(others) == 0 {
		return candidate{}, false
	}
	best, otherCost := t.best(q, expected, t.compared(q.Part, others), expected.own)
	if best.full() { // reading the prompt would delay the requests that wait there
		return candidate{}, false
	}
	move := readWeight * expected.movePrompt(!holder.health.down && (holder.DataCentre == best.DataCentre || t.fetchAcrossPays(expected))) * expected.slowness(best.endpointState)
	return best, otherCost+move < cost
}

// candidateCount returns the number of endpoints that are compared if no holder may
// take a request.
func (t *Table) candidateCount() int {
	return max(minCandidates, candidatesTimesPeers/max(1, len(t.peers)))
}

// compared returns the endpoints that are compared if no holder may take a request: a few
// and those with a stated limit. Each router has a share of its own of a limit, so routers
// that compare all of these do not send to them more than they take.
func (t *Table) compared(key uint64, list []candidate) []candidate {
	few := firstInOrder(key, list, t.candidateCount())
	for _, c := range list {
		if c.limit != nil && !slices.ContainsFunc(few, func(o candidate) bool { return o.endpointState == c.endpointState }) {
			few = append(few, c)
		}
	}
	return few
}

// firstInOrder returns the first n of the list in the rendezvous order for a key. n is small,
// so it inserts them into a short list rather than sorting all.
func firstInOrder(key uint64, list []candidate, n int) []candidate {
	n = min(len(list), n)
	first, scores := make([]candidate, 0, n+1), make([]uint64, 0, n+1)
	for _, c := range list {
		score := rendezvousScore(key, c.hash)
		if len(first) == n && (n == 0 || score <= scores[n-1]) {
			continue
		}
		i, _ := slices.BinarySearchFunc(scores, score, func(a, b uint64) int { return cmp.Compare(b, a) })
		first, scores = slices.Insert(first, i, c), slices.Insert(scores, i, score)
		first, scores = first[:min(len(first), n)], scores[:min(len(scores), n)]
	}
	return first
}

// best returns the candidate with the least cost and this cost: the expected time in ms of
// a request for which it reads so many prompt tokens, or the load if the pool has no
// expectation. Both apply remoteLoadPenalty if no price is set. The rendezvous order for the
// key of the request breaks ties.
func (t *Table) best(q Query, expected expectation, list []candidate, uncached int) (candidate, float64) {
	cost := func(c candidate) float64 {
		load := c.load
		if c.DataCentre != t.home && !t.price.Enabled() {
			load += remoteLoadPenalty
		}
		if expected.active() {
			return expected.time(c, load, uncached)
		}
		return load
	}
	best, least := list[0], cost(list[0])
	for _, c := range list[1:] {
		d := cost(c)
		if d < least || d == least && rendezvousScore(q.Key, c.hash) > rendezvousScore(q.Key, best.hash) {
			best, least = c, d
		}
	}
	return best, least
}

// rendezvousScore returns the score of an endpoint in the rendezvous order for a
// key; the highest comes first. It is the same at every router.
func rendezvousScore(key uint64, endpoint uint32) uint64 { return hrw.Score(key, uint64(endpoint)) }
