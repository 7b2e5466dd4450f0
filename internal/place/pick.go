package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/hrw"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Query describes the request for which Pick selects an endpoint.
type Query struct {
	Pool     model.Pool
	Part     uint64 // prompt part whose cache is to be reused; 0 if none
	Tokens   int    // of that part and those before it
	Base     uint64 // first prompt part, shared by prompts with different values of Part; 0 if none
	Key      uint64 // hash that breaks ties between endpoints of equal load, to spread requests without a holder
	Priority int    // 0 is the most urgent
	Regions  []model.Region
	Excluded []model.EndpointID // endpoints of earlier attempts
	// Position is the place of the request, above 0 and up to 1, in the order in which
	// requests move to a version that is rolled out. 0 means that it does not move.
	Position float64
}

// Choice is the endpoint selected for a request.
type Choice struct {
	Endpoint  Endpoint
	FetchFrom string // address of an endpoint from which to transfer the cache of the prompt; empty if none
	NewHolder bool   // the endpoint was not a holder of the part before
	NewBase   bool   // the endpoint was not a holder of the first part before
	// Wait is the estimated time until the endpoint has finished the prefill of the
	// part for another request. A request that arrives earlier repeats the prefill.
	Wait   time.Duration
	Cold   bool    // the endpoint has started lately
	Load   float64 // of the endpoint, without this request
	Mean   float64 // mean load of the usable endpoints of the pool
	Reason Reason
}

// Reason is why an endpoint was selected.
type Reason string

// The reasons of a choice.
const (
	HoldsPrompt   Reason = "holds_prompt"   // it holds the part
	HoldersLoaded Reason = "holders_loaded" // the holders are unavailable or over the load bound
	FirstUse      Reason = "first_use"      // the part has no known holder
	LeastLoad     Reason = "least_load"     // the request has no part
)

// Bounds on the load of an endpoint relative to the mean of its pool.
const (
	// loadFactor and loadSlack are below the operators' bound of twice the mean
	// plus 3, so that this bound is also met while load reports of other routers
	// are in transit.
	loadFactor = 1.85
	loadSlack  = 2.5
	// firstUseCandidates is how many endpoints, in the rendezvous order for a part,
	// are compared at most for its first use. With a single one the parts would be
	// spread unevenly.
	firstUseCandidates = 3
	// minCandidates and candidatesTimesPeers give the number of endpoints that are
	// compared if no holder may take a request. If many routers compared all of
	// them, all would choose the one that was least loaded in the last load reports,
	// and the more routers there are, the older are the reports.
	minCandidates        = 2
	candidatesTimesPeers = 36
	// remoteLoadPenalty is added to the load of endpoints outside the home data
	// centre.
	remoteLoadPenalty = 1.0
	// minEligibleShare is the share of the candidates that must not be in backoff.
	// If fewer are left, the failures are not those of single endpoints, and skipping
	// the endpoints in backoff would overload the others.
	minEligibleShare = 0.5
)

// loadLimit returns the load that an endpoint of a pool with the given mean load may
// reach.
func loadLimit(mean float64) float64 { return loadFactor*mean + loadSlack }

// candidate is an endpoint that may take the request.
type candidate struct {
	*endpointState
	load float64
}

// Pick selects an endpoint and counts the request as in flight there. The caller
// must call Complete once for each choice. Pick returns false if no endpoint may
// take the request.
func (t *Table) Pick(now time.Time, q Query) (Choice, bool) {
	all, eligible, mean := t.candidates(now, q)
	if len(eligible) == 0 {
		return Choice{}, false
	}
	choice := t.selectEndpoint(q, eligible, loadLimit(mean))
	if choice.endpointState == nil {
		return Choice{}, false
	}
	out := Choice{Endpoint: choice.Endpoint, Cold: now.Before(choice.coldUntil), Load: choice.load, Mean: mean, Reason: choice.reason}
	t.recordStart(now, choice.endpointState)
	if q.Part != 0 {
		out.FetchFrom = t.cacheSource(now, q.Part, choice.endpointState, all)
		if out.FetchFrom == "" && q.Base != 0 && choice.reason == FirstUse {
			out.FetchFrom = t.cacheSource(now, q.Base, choice.endpointState, all)
		}
		if q.Base != 0 {
			out.NewBase = t.holders.add(now, q.Base, choice.hash)
		}
		out.NewHolder = t.holders.add(now, q.Part, choice.hash)
		if !out.NewHolder {
			out.Wait = max(0, prefillTime(q.Tokens)-t.holders.age(now, q.Part, choice.hash))
		}
	}
	return out, true
}

const (
	// prefillRate is the number of prompt tokens that an engine of the first users
	// processes in a millisecond, reduced by a tenth for concurrent requests.
	prefillRate = 50
	// prefillStartup is the time until an engine starts on a request.
	prefillStartup = 15 * time.Millisecond
	// minWaitTokens is the prompt size above which a second prefill costs more than
	// waiting for the first.
	minWaitTokens = 1500
)

// prefillTime returns the estimated prefill time of a prompt, or 0 if it is too
// short to wait for.
func prefillTime(tokens int) time.Duration {
	if tokens < minWaitTokens {
		return 0
	}
	return prefillStartup + time.Duration(tokens)*time.Millisecond/prefillRate
}

// candidates returns all usable endpoints of the pool, those that are eligible
// for this request, and the mean load of all and of those of a held version: operators
// bound the load relative to all endpoints of a pool. Endpoints that take no request now
// because of a limit that they stated do not count for the mean. Endpoints in backoff are
// eligible only if the share of the others is below minEligibleShare.
func (t *Table) candidates(now time.Time, q Query) (all, eligible []candidate, mean float64) {
	t.expirePeers(now)
	members, others := t.side(now, q, t.inPool(q.Pool))
	total := t.totalLoad(now, members.held)
	counted := len(members.held)
	var inBackoff []candidate
	for _, s := range members.usable {
		if now.Before(s.turnedAwayUntil) {
			continue // the mean load is that of the endpoints that remain
		}
		c := candidate{s, t.load(now, s)}
		all = append(all, c)
		if t.limitWait(now, s) > 0 {
			continue
		}
		total += c.load
		counted++
		if t.evacuated[s.DataCentre] || !allowed(q.Regions, s.Region) || slices.Contains(q.Excluded, s.ID) || !t.coldLimitAllows(now, s) {
			continue
		}
		if s.health.inBackoff(now) {
			inBackoff = append(inBackoff, c)
			continue
		}
		eligible = append(eligible, c)
	}
	if counted > 0 {
		mean = total / float64(counted)
	}
	if float64(len(eligible)) < minEligibleShare*float64(len(eligible)+len(inBackoff)) {
		for _, c := range inBackoff {
			if !c.health.down || len(eligible) == 0 {
				eligible = append(eligible, c)
			}
		}
	}
	if t.reservedForMoreUrgent(members.usable, eligible, q.Priority) {
		eligible = nil
	}
	if others && len(eligible) == 0 {
		q.Position = 0
		return t.candidates(now, q)
	}
	return all, eligible, mean
}

func allowed(regions []model.Region, r model.Region) bool {
	return len(regions) == 0 || slices.Contains(regions, r)
}

type selection struct {
	candidate
	reason Reason
}

// selectEndpoint selects the least loaded holder of the part whose load is within
// the limit. If there is none, it selects the least loaded of a few candidates: the
// first ones, in the rendezvous order for the part, of the eligible endpoints within
// the limit, or of all eligible endpoints if none is within it. For a request
// without a part the order is that for the request.
func (t *Table) selectEndpoint(q Query, eligible []candidate, limit float64) selection {
	withinLimit := slices.DeleteFunc(slices.Clone(eligible), func(c candidate) bool { return c.load+1 > limit })
	if len(withinLimit) == 0 {
		withinLimit = eligible
	}
	if q.Part == 0 {
		return selection{t.leastLoaded(q, t.compared(q.Key, withinLimit)), LeastLoad}
	}
	holders := t.holders.lookup(q.Part)
	holding := slices.DeleteFunc(slices.Clone(eligible), func(c candidate) bool {
		return !slices.Contains(holders, c.hash) || c.load+1 > limit
	})
	if len(holding) > 0 {
		return selection{t.leastLoaded(q, holding), HoldsPrompt}
	}
	if len(holders) > 0 {
		return selection{t.leastLoaded(q, t.compared(q.Part, withinLimit)), HoldersLoaded}
	}
	return selection{t.leastLoaded(q, firstInOrder(q.Part, withinLimit, min(firstUseCandidates, t.candidateCount()))), FirstUse}
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

// firstInOrder returns the first n of the list in the rendezvous order for a key.
func firstInOrder(key uint64, list []candidate, n int) []candidate {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Compare(rendezvousScore(key, b.hash), rendezvousScore(key, a.hash))
	})
	return list[:min(len(list), n)]
}

// leastLoaded returns the candidate with the least load, with remoteLoadPenalty
// applied. The rendezvous order for the key of the request breaks ties.
func (t *Table) leastLoaded(q Query, list []candidate) candidate {
	cost := func(c candidate) float64 {
		if c.DataCentre != t.home {
			return c.load + remoteLoadPenalty
		}
		return c.load
	}
	best := list[0]
	for _, c := range list[1:] {
		d := cost(c) - cost(best)
		if d < 0 || d == 0 && rendezvousScore(q.Key, c.hash) > rendezvousScore(q.Key, best.hash) {
			best = c
		}
	}
	return best
}

// cacheSource returns the address of an endpoint from which target can transfer
// the cache of the part. It returns "" if target is a holder itself or no source is
// known. It prefers usable endpoints, and among them those in the data centre of
// target.
func (t *Table) cacheSource(now time.Time, part uint64, target *endpointState, all []candidate) string {
	holders := t.holders.lookup(part)
	if slices.Contains(holders, target.hash) {
		return ""
	}
	best, from := -1, ""
	for _, c := range all {
		if !slices.Contains(holders, c.hash) || c.health.down {
			continue
		}
		rank := 0
		if c.DataCentre == target.DataCentre {
			rank = 1
		}
		if rank > best {
			best, from = rank, c.Address
		}
	}
	if from == "" {
		from = t.leavingSource(now, holders)
	}
	return from
}

// removedCacheTime is how long the cache of an endpoint that is missing from the
// list may still be transferred. The process keeps serving for a while after its
// record is removed.
const removedCacheTime = 2500 * time.Millisecond

// leavingSource returns the address of a holder that gets no new requests but may
// still serve its cache: one that is listed, such as a draining endpoint, or one that
// left the list at most removedCacheTime ago. Of several that left, it returns the
// last.
func (t *Table) leavingSource(now time.Time, holders []uint32) string {
	var best *endpointState
	for _, h := range holders {
		s := t.byHash[h]
		if s == nil || s.health.down || now.Before(s.turnedAwayUntil) || !s.listed && now.Sub(s.missingSince) > removedCacheTime {
			continue
		}
		if best == nil || s.listed && !best.listed || s.missingSince.After(best.missingSince) {
			best = s
		}
	}
	if best == nil {
		return ""
	}
	return best.Address
}

// rendezvousScore returns the score of an endpoint in the rendezvous order for a
// key; the highest comes first. It is the same at every router.
func rendezvousScore(key uint64, endpoint uint32) uint64 { return hrw.Score(key, uint64(endpoint)) }
