package place

import (
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Query describes the request for which Pick selects an endpoint.
type Query struct {
	Pool         model.Pool
	Part         uint64      // prompt part whose cache is to be reused; 0 if none
	Tokens       int         // of that part and those before it
	PromptTokens int         // of the whole prompt
	Kind         model.Route // kind of request, by which the times of answers are learned
	Base         uint64      // first prompt part, shared by prompts with different values of Part; 0 if none
	Key          uint64      // hash that breaks ties between endpoints of equal load, to spread requests without a holder
	Priority     int         // 0 is the most urgent
	Regions      []model.Region
	Excluded     []model.EndpointID // endpoints of earlier attempts
	Endpoint     model.EndpointID   // at which a slot was granted; empty if none
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
	Wait time.Duration
	// Uncached and Fetched are the numbers of prompt tokens that the endpoint is expected to
	// read and to fetch; Uncached is negative if that is not known.
	Uncached, Fetched int
	Cold              bool    // the endpoint has started lately
	Load              float64 // of the endpoint, without this request
	Mean              float64 // mean load of the usable endpoints of the pool
	Reason            Reason
	Remote            RemoteReason // empty if the endpoint is in the own data centre
	Spill             *SpillChange // nil if nothing changed
}

// Reason is why an endpoint was selected.
type Reason string

// The reasons of a choice.
const (
	HoldsPrompt   Reason = "holds_prompt"   // it holds the part
	HoldersLoaded Reason = "holders_loaded" // the holders are unavailable or over the load bound
	HoldersSlow   Reason = "holders_slow"   // the holders are slow, and reading or fetching the prompt elsewhere takes less time
	FirstUse      Reason = "first_use"      // the part has no known holder
	LeastLoad     Reason = "least_load"     // the request has no part
	GrantedSlot   Reason = "granted_slot"   // the router may use a slot of it
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
	// centre, unless a price decides which requests go there.
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
	expected := t.expect(now, q, mean)
	choice, remoteReason, spill := t.choose(now, q, expected, eligible, mean)
	if choice.endpointState == nil {
		return Choice{}, false
	}
	out := Choice{Endpoint: choice.Endpoint, Cold: now.Before(choice.coldUntil), Load: choice.load, Mean: mean, Reason: choice.reason, Spill: spill}
	if choice.DataCentre != t.home {
		out.Remote = remoteReason
	}
	t.recordStart(now, choice.endpointState)
	ofBase := false // the first part alone is transferred
	if q.Part != 0 {
		if !expected.active() || expected.times.fetchPays(now) {
			across := t.fetchAcrossPays(expected)
			out.FetchFrom = t.cacheSource(now, q.Part, choice.endpointState, all, across)
			if out.FetchFrom == "" && q.Base != 0 && choice.reason == FirstUse {
				out.FetchFrom = t.cacheSource(now, q.Base, choice.endpointState, all, across)
				ofBase = out.FetchFrom != ""
			}
		}
		if q.Base != 0 {
			out.NewBase = t.holders.add(now, q.Base, choice.hash)
		}
		out.NewHolder = t.holders.add(now, q.Part, choice.hash)
		if !out.NewHolder {
			out.Wait = max(0, expected.prefillTime(q.Tokens)-t.holders.age(now, q.Part, choice.hash))
		}
	}
	out.Uncached, out.Fetched = promptWork(q, out, ofBase)
	return out, true
}

// choose selects the endpoint at which a slot was granted if it is eligible, and otherwise
// one in a data centre that may take the request.
func (t *Table) choose(now time.Time, q Query, expected expectation, eligible []candidate, mean float64) (selection, RemoteReason, *SpillChange) {
	if i := slices.IndexFunc(eligible, func(c candidate) bool { return c.ID == q.Endpoint }); i >= 0 {
		return selection{eligible[i], GrantedSlot}, RemoteGranted, nil
	}
	eligible, reason, spill := t.localize(now, q, expected, eligible, mean, loadLimit(mean))
	return t.selectEndpoint(q, expected, eligible, loadLimit(mean)), reason, spill
}

const (
	// prefillRate is the number of prompt tokens that an engine of the first users
	// processes in a millisecond, reduced by a tenth for concurrent requests. It is
	// assumed for pools whose endpoints state no work time, and until answers of the
	// others tell their rate.
	prefillRate = 50
	// prefillStartup is the time until an engine starts on a request.
	prefillStartup = 15 * time.Millisecond
	// minWaitTokens is the prompt size above which a second prefill costs more than
	// waiting for the first.
	minWaitTokens = 1500
)

// prefillTime returns the estimated prefill time of a prompt, or 0 if it is too
// short to wait for.
func (e expectation) prefillTime(tokens int) time.Duration {
	if tokens < minWaitTokens {
		return 0
	}
	if e.active() {
		return time.Duration((e.times.base + float64(tokens)*e.times.perToken) * float64(time.Millisecond))
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
