package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/choose"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/member"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// defaultReturnTime is the time over which a data centre gets its chats back after
// its return to service, if the pool sets none.
const defaultReturnTime = 60 * time.Second

// deriveRouting computes the indexes that traffic reads, from the configuration and
// the membership.
type deriveRouting struct{}

func (deriveRouting) Name() string { return "derive" }

func (deriveRouting) Apply(s *State, now time.Time, ev control.Event) bool {
	_, isTick := ev.(control.Tick)
	if s.derivedValid && !(isTick && (s.firstTick.IsZero() || returnInProgress(s, now))) {
		return refreshLoads(s)
	}
	s.candidatesStale = false
	deriveKeys(s)
	trackReturns(s, now, isTick)
	derivePools(s, now)
	s.derivedValid = true
	return true
}

// refreshLoads updates the loads of the candidates. Loads change with most answers,
// so the rest of the index is kept.
func refreshLoads(s *State) bool {
	if !s.candidatesStale {
		return false
	}
	s.candidatesStale = false
	next := make(map[model.Pool]*choose.Pool, len(s.Candidates))
	for name, p := range s.Candidates {
		next[name] = p.WithLoads(func(id model.EndpointID) (float64, bool) {
			l := s.loads[id]
			return l.ratio, l.overBound
		})
	}
	s.Candidates = next
	return true
}

// returnInProgress reports whether the share withheld from a returning data centre
// still changes with time, or trackReturns has to forget a return that has ended.
func returnInProgress(s *State, now time.Time) bool {
	for _, returned := range s.returnedAt {
		elapsed := now.Sub(returned)
		if elapsed <= longestReturnTime(s)+controlTick || elapsed > longestReturnTime(s)+choose.ReclaimTime {
			return true
		}
	}
	return false
}

// deriveKeys indexes the workspaces by key hash. It does so only for a new
// configuration, since there are 16,000 workspaces at the target size.
func deriveKeys(s *State) {
	if s.keysConfig == s.Config {
		return
	}
	s.Keys = make(map[string]model.Workspace, len(s.Config.Lists.Workspaces))
	for name, w := range s.Config.Lists.Workspaces {
		s.Keys[w.KeyHash] = name
	}
	s.keysConfig = s.Config
}

// startupHistoryTime is how long after its first tick an entry treats the records
// that it reads as history. A data centre that returns to service in one of them did
// so before this process started.
const startupHistoryTime = 5 * time.Second

// trackReturns records when a data centre returned to service and forgets it once
// every pool has given its chats back.
func trackReturns(s *State, now time.Time, isTick bool) {
	if isTick && s.firstTick.IsZero() {
		s.firstTick = now
	}
	historyRead := !s.firstTick.IsZero() && now.Sub(s.firstTick) >= startupHistoryTime
	for name, dc := range s.Config.Lists.DataCentres {
		if dc.State == lists.DataCentreOut {
			s.outOfService[name] = true
			delete(s.returnedAt, name)
		} else if s.outOfService[name] {
			delete(s.outOfService, name)
			if historyRead {
				s.returnedAt[name] = now
			}
		}
	}
	for name, since := range s.returnedAt {
		if now.Sub(since) > longestReturnTime(s)+choose.ReclaimTime {
			delete(s.returnedAt, name)
		}
	}
}

// longestReturnTime returns the longest return time of any pool.
func longestReturnTime(s *State) time.Duration {
	longest := defaultReturnTime
	for _, p := range s.Config.Lists.Pools {
		longest = max(longest, p.ReturnTime)
	}
	return longest
}

// derivePools groups the endpoints by pool: those that take new work, and all of
// them as candidates with their load and state, since the cache of a chat may be on
// an endpoint that takes no new work.
func derivePools(s *State, now time.Time) {
	s.Entries = nil
	s.Pools = map[model.Pool][]member.Endpoint{}
	s.Addresses = map[model.Pool]map[model.EndpointID]string{}
	candidates := map[model.Pool][]choose.Candidate{}
	for _, e := range s.Members.Sorted() {
		switch {
		case e.Role == instances.RoleEntry && e.Usable():
			s.Entries = append(s.Entries, e.ID)
		case e.Role == instances.RoleEndpoint:
			if s.Addresses[e.Pool] == nil {
				s.Addresses[e.Pool] = map[model.EndpointID]string{}
			}
			s.Addresses[e.Pool][e.EndpointID()] = e.Address
			c := candidateOf(s, &e, now)
			candidates[e.Pool] = append(candidates[e.Pool], c)
			if !c.Leaving && !c.OutOfService {
				s.Pools[e.Pool] = append(s.Pools[e.Pool], e)
			}
		}
	}
	s.Candidates = make(map[model.Pool]*choose.Pool, len(candidates))
	for name, list := range candidates {
		endReturnsWithoutAlternative(list)
		s.Candidates[name] = choose.NewPool(s.Config.Lists.Pools[name].Plans, list)
	}
}

func isOutOfService(s *State, dc model.DataCentre) bool {
	return s.Config.Lists.DataCentres[dc].State == lists.DataCentreOut
}

// candidateOf returns the candidate for an endpoint, with its load and state.
func candidateOf(s *State, e *member.Endpoint, now time.Time) choose.Candidate {
	load := s.loads[e.EndpointID()]
	c := choose.Candidate{
		ID: e.EndpointID(), Address: e.Address, DataCentre: e.DataCentre, Version: e.Version,
		Weight: 1, LoadRatio: load.ratio, OverBound: load.overBound, OutOfService: isOutOfService(s, e.DataCentre), Leaving: !e.Usable(),
	}
	if since, ok := s.returnedAt[e.DataCentre]; ok {
		returnTime := cmp.Or(s.Config.Lists.Pools[e.Pool].ReturnTime, defaultReturnTime)
		c.WithheldShare = max(0, 1-float64(now.Sub(since))/float64(returnTime))
		c.ReclaimsChats = true
	}
	return c
}

// endReturnsWithoutAlternative sets all withheld shares to 0 if there is no other
// endpoint that could serve the withheld chats.
func endReturnsWithoutAlternative(candidates []choose.Candidate) {
	if slices.ContainsFunc(candidates, func(c choose.Candidate) bool { return c.WithheldShare == 0 && !c.OutOfService && !c.Leaving }) {
		return
	}
	for i := range candidates {
		candidates[i].WithheldShare = 0
	}
}
