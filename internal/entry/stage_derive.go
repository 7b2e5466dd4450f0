package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/member"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// derive works out the indexes that traffic reads from the configuration and
// the membership.
type derive struct{}

func (derive) Name() string { return "derive" }

func (derive) Apply(s *State, _ time.Time, _ control.Event) bool {
	if s.derived {
		return false
	}
	s.Keys = make(map[string]model.Workspace, len(s.Config.Lists.Workspaces))
	for name, w := range s.Config.Lists.Workspaces {
		s.Keys[w.KeyHash] = name
	}
	s.Entries = nil
	s.Pools = map[model.Pool][]member.Endpoint{}
	s.Addresses = map[model.Pool]map[model.EndpointID]string{}
	for _, e := range s.Members.All() {
		if e.Role == instances.RoleEndpoint {
			if s.Addresses[e.Pool] == nil {
				s.Addresses[e.Pool] = map[model.EndpointID]string{}
			}
			s.Addresses[e.Pool][e.EndpointID()] = e.Address
		}
		if e.Role == instances.RoleEntry && e.Usable() {
			s.Entries = append(s.Entries, e.ID)
		}
		out := s.Config.Lists.DataCentres[e.DataCentre].State == lists.Out
		if e.Role == instances.RoleEndpoint && e.Usable() && !out {
			s.Pools[e.Pool] = append(s.Pools[e.Pool], e)
		}
	}
	for _, list := range s.Pools {
		slices.SortFunc(list, func(a, b member.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	s.derived = true
	return true
}
