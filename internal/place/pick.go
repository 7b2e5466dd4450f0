package place

import (
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/hrw"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Query describes the request to place.
type Query struct {
	Pool     model.Pool
	Part     uint64 // the shared prompt part that decides reuse; 0 if none
	Tokens   int    // of that part and those before it
	Base     uint64 // the first prompt part, which prompts of several parts share; 0 if none
	Key      uint64 // hash that spreads requests without a known holder
	Regions  []model.Region
	Excluded []model.EndpointID // endpoints that had the request already
}

// Choice is the endpoint for a request.
type Choice struct {
	Endpoint  Endpoint
	FetchFrom string // address of an endpoint whose cache holds the prompt; empty if none
	NewHolder bool   // the endpoint did not hold the part before
	NewBase   bool   // the same for the first part
	// Wait is the time until the endpoint has read the part for another request.
	// A request that arrives earlier reads it once more.
	Wait   time.Duration
	Load   float64
	Mean   float64
	Reason Reason
}

// Reason says why an endpoint was chosen.
type Reason string

// The reasons of a choice.
const (
	HoldsPrompt   Reason = "holds_prompt"
	HoldersLoaded Reason = "holders_loaded"
	FirstUse      Reason = "first_use"
	LeastLoad     Reason = "least_load"
)

// Bounds on the load of an endpoint relative to the mean of its pool.
const (
	// loadFactor and loadSlack keep an endpoint below the operators' bound of
	// twice the mean and 3 more while counts of other entries are under way.
	loadFactor = 1.85
	loadSlack  = 2.5
	// firstChoices is how many endpoints of a part's own order compete for its
	// first use. One alone would leave the parts unevenly spread.
	firstChoices = 3
	// remoteCost is the load that a request in the home data centre outweighs.
	remoteCost = 1.0
	// minOpenShare is the part of a pool that must be free of pauses; with fewer
	// the failures are not those of single endpoints, and passing them over
	// would crowd the others.
	minOpenShare = 0.5
)

// candidate is an endpoint that may take the request.
type candidate struct {
	*spot
	load float64
}

// Pick chooses an endpoint and counts the request as in flight there. Each
// choice is followed by one call of Ended. It reports false if no endpoint may
// take the request.
func (t *Table) Pick(now time.Time, q Query) (Choice, bool) {
	all, open, mean := t.candidates(now, q)
	if len(open) == 0 {
		return Choice{}, false
	}
	limit := loadFactor*mean + loadSlack
	choice := t.choose(q, open, limit)
	if choice.spot == nil {
		return Choice{}, false
	}
	out := Choice{Endpoint: choice.Endpoint, Load: choice.load, Mean: mean, Reason: choice.reason}
	t.started(now, choice.spot)
	if q.Part != 0 {
		out.FetchFrom = t.source(now, q.Part, choice.spot, all)
		if out.FetchFrom == "" && q.Base != 0 && choice.reason == FirstUse {
			out.FetchFrom = t.source(now, q.Base, choice.spot, all)
		}
		if q.Base != 0 {
			out.NewBase = t.holders.add(now, q.Base, choice.hash)
		}
		out.NewHolder = t.holders.add(now, q.Part, choice.hash)
		if !out.NewHolder {
			out.Wait = max(0, readTime(q.Tokens)-t.holders.age(now, q.Part, choice.hash))
		}
	}
	return out, true
}

const (
	// readRate is the prompt tokens that an engine of the first users reads in a
	// millisecond, less a tenth for the requests beside.
	readRate = 50
	// readStart is the time until an engine begins with a request.
	readStart = 15 * time.Millisecond
	// waitTokens is the size from which reading twice costs more than the wait.
	waitTokens = 1500
)

// readTime returns the time that an engine takes to read a prompt.
func readTime(tokens int) time.Duration {
	if tokens < waitTokens {
		return 0
	}
	return readStart + time.Duration(tokens)*time.Millisecond/readRate
}

// candidates returns the endpoints that may be used at all, those of them that
// are open for this request, and the mean load of the former.
func (t *Table) candidates(now time.Time, q Query) (all, open []candidate, mean float64) {
	t.expirePeers(now)
	total := 0.0
	var paused []candidate
	for _, s := range t.usable(q.Pool) {
		c := candidate{s, t.load(s)}
		total += c.load
		all = append(all, c)
		if t.evacuated[s.DataCentre] || !allowed(q.Regions, s.Region) || slices.Contains(q.Excluded, s.ID) || !t.coldAllows(now, s) {
			continue
		}
		if s.health.pausing(now) {
			paused = append(paused, c)
			continue
		}
		open = append(open, c)
	}
	if len(all) > 0 {
		mean = total / float64(len(all))
	}
	if float64(len(open)) < minOpenShare*float64(len(open)+len(paused)) {
		for _, c := range paused {
			if !c.health.down || len(open) == 0 {
				open = append(open, c)
			}
		}
	}
	return all, open, mean
}

func allowed(regions []model.Region, r model.Region) bool {
	return len(regions) == 0 || slices.Contains(regions, r)
}

type chosen struct {
	candidate
	reason Reason
}

func (t *Table) choose(q Query, open []candidate, limit float64) chosen {
	if q.Part == 0 {
		return chosen{t.least(q, open), LeastLoad}
	}
	holders := t.holders.of(q.Part)
	held := slices.DeleteFunc(slices.Clone(open), func(c candidate) bool {
		return !slices.Contains(holders, c.hash) || c.load+1 > limit
	})
	if len(held) > 0 {
		return chosen{t.least(q, held), HoldsPrompt}
	}
	room := slices.DeleteFunc(slices.Clone(open), func(c candidate) bool { return c.load+1 > limit })
	if len(room) == 0 {
		room = open
	}
	if len(holders) > 0 {
		return chosen{t.least(q, room), HoldersLoaded}
	}
	slices.SortStableFunc(room, func(a, b candidate) int {
		if order(q.Part, a.hash) > order(q.Part, b.hash) {
			return -1
		}
		return 1
	})
	return chosen{t.least(q, room[:min(len(room), firstChoices)]), FirstUse}
}

// least returns the candidate with the least load, where the home data centre
// counts a little and the order of the key decides ties.
func (t *Table) least(q Query, list []candidate) candidate {
	cost := func(c candidate) float64 {
		if c.DataCentre != t.home {
			return c.load + remoteCost
		}
		return c.load
	}
	best := list[0]
	for _, c := range list[1:] {
		d := cost(c) - cost(best)
		if d < 0 || d == 0 && order(q.Key, c.hash) > order(q.Key, best.hash) {
			best = c
		}
	}
	return best
}

// source returns the address of an endpoint whose cache holds the part, if the
// chosen one does not hold it.
func (t *Table) source(now time.Time, part uint64, to *spot, all []candidate) string {
	holders := t.holders.of(part)
	if slices.Contains(holders, to.hash) {
		return ""
	}
	best, from := -1, ""
	for _, c := range all {
		if !slices.Contains(holders, c.hash) || c.health.down {
			continue
		}
		rank := 0
		if c.DataCentre == to.DataCentre {
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

// lingerTime is how long an endpoint that left the list may still hand over its
// cache. It serves for a while after its entry is gone.
const lingerTime = 2500 * time.Millisecond

// leavingSource returns the holder that left last, if it may still be there.
func (t *Table) leavingSource(now time.Time, holders []uint32) string {
	var best *spot
	for _, h := range holders {
		s := t.byHash[h]
		if s == nil || s.health.down || !s.listed && now.Sub(s.missing) > lingerTime {
			continue
		}
		if best == nil || s.listed && !best.listed || s.missing.After(best.missing) {
			best = s
		}
	}
	if best == nil {
		return ""
	}
	return best.Address
}

// order is the rendezvous order of endpoints for a key, the same at every entry.
func order(key uint64, endpoint uint32) uint64 { return hrw.Score(key, uint64(endpoint)) }
