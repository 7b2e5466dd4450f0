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

// defaultReturnTime is the time over which a data centre gets its chats back
// if its pool sets none.
const defaultReturnTime = 60 * time.Second

// derive works out the indexes that traffic reads from the configuration and
// the membership.
type derive struct{}

func (derive) Name() string { return "derive" }

func (derive) Apply(s *State, now time.Time, ev control.Event) bool {
	_, tick := ev.(control.Tick)
	if s.derived && !(tick && (s.firstTick.IsZero() || sliceOpens(s, now))) {
		return refreshLoads(s)
	}
	s.loadsStale = false
	deriveKeys(s)
	noteReturns(s, now, tick)
	derivePools(s, now)
	s.derived = true
	return true
}

// refreshLoads gives the candidates their newest loads. They change with most
// answers, so the rest of the index is kept.
func refreshLoads(s *State) bool {
	if !s.loadsStale {
		return false
	}
	s.loadsStale = false
	next := make(map[model.Pool]*choose.Pool, len(s.Candidates))
	for name, p := range s.Candidates {
		next[name] = p.WithLoads(func(id model.EndpointID) (float64, bool) {
			l := s.loads[id]
			return l.ratio, l.over
		})
	}
	s.Candidates = next
	return true
}

// sliceOpens reports whether the slices of a returning data centre change with
// time or its return is over.
func sliceOpens(s *State, now time.Time) bool {
	for _, since := range s.returning {
		d := now.Sub(since)
		if d <= longestReturn(s)+controlTick || d > longestReturn(s)+choose.ReclaimTime {
			return true
		}
	}
	return false
}

// deriveKeys indexes the workspaces. It runs only for a new configuration,
// since there are 16,000 of them at the target size.
func deriveKeys(s *State) {
	if s.keysOf == s.Config {
		return
	}
	s.Keys = make(map[string]model.Workspace, len(s.Config.Lists.Workspaces))
	for name, w := range s.Config.Lists.Workspaces {
		s.Keys[w.KeyHash] = name
	}
	s.keysOf = s.Config
}

// historyTime is how long after its first tick an entry takes the records that
// it reads for history. A data centre that came back in one of them returned
// before this process started.
const historyTime = 5 * time.Second

// noteReturns notes when a data centre came back into service and forgets it
// once every pool has given its chats back.
func noteReturns(s *State, now time.Time, tick bool) {
	if tick && s.firstTick.IsZero() {
		s.firstTick = now
	}
	settled := !s.firstTick.IsZero() && now.Sub(s.firstTick) >= historyTime
	for name, dc := range s.Config.Lists.DataCentres {
		if dc.State == lists.DataCentreOut {
			s.wasOut[name] = true
			delete(s.returning, name)
		} else if s.wasOut[name] {
			delete(s.wasOut, name)
			if settled {
				s.returning[name] = now
			}
		}
	}
	for name, since := range s.returning {
		if now.Sub(since) > longestReturn(s)+choose.ReclaimTime {
			delete(s.returning, name)
		}
	}
}

func longestReturn(s *State) time.Duration {
	longest := defaultReturnTime
	for _, p := range s.Config.Lists.Pools {
		longest = max(longest, p.ReturnTime)
	}
	return longest
}

// derivePools sorts the endpoints by pool: those that may get new work, and all
// of them as candidates with their marks, since a chat's cache may be on one
// that takes no new work.
func derivePools(s *State, now time.Time) {
	s.Entries = nil
	s.Pools = map[model.Pool][]member.Endpoint{}
	s.Addresses = map[model.Pool]map[model.EndpointID]string{}
	known := map[model.Pool][]choose.Candidate{}
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
			known[e.Pool] = append(known[e.Pool], c)
			if !c.Leaving && !c.OutOfService {
				s.Pools[e.Pool] = append(s.Pools[e.Pool], e)
			}
		}
	}
	s.Candidates = make(map[model.Pool]*choose.Pool, len(known))
	for name, list := range known {
		giveAllWithoutOthers(list)
		s.Candidates[name] = choose.NewPool(s.Config.Lists.Pools[name].Plans, list)
	}
}

func isOut(s *State, dc model.DataCentre) bool {
	return s.Config.Lists.DataCentres[dc].State == lists.DataCentreOut
}

// candidateOf returns the endpoint with its marks.
func candidateOf(s *State, e *member.Endpoint, now time.Time) choose.Candidate {
	load := s.loads[e.EndpointID()]
	c := choose.Candidate{
		ID: e.EndpointID(), Address: e.Address, DataCentre: e.DataCentre, Version: e.Version,
		Weight: 1, LoadRatio: load.ratio, OverBound: load.over, OutOfService: isOut(s, e.DataCentre), Leaving: !e.Usable(),
	}
	if since, ok := s.returning[e.DataCentre]; ok {
		returnTime := cmp.Or(s.Config.Lists.Pools[e.Pool].ReturnTime, defaultReturnTime)
		c.WithheldShare = max(0, 1-float64(now.Sub(since))/float64(returnTime))
		c.ReclaimsChats = true
	}
	return c
}

// giveAllWithoutOthers ends the slices if no other endpoint can serve the chats
// meanwhile.
func giveAllWithoutOthers(list []choose.Candidate) {
	if slices.ContainsFunc(list, func(c choose.Candidate) bool { return c.WithheldShare == 0 && !c.OutOfService && !c.Leaving }) {
		return
	}
	for i := range list {
		list[i].WithheldShare = 0
	}
}
