package side

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// mergeMembers keeps the membership from the instance list.
type mergeMembers struct{}

func (mergeMembers) Name() string { return "fold_members" }

func (mergeMembers) Apply(s *State, now time.Time, ev control.Event) bool {
	list, ok := ev.(listChanged)
	if _, tick := ev.(control.Tick); tick {
		s.Members.Step(now)
	}
	if !ok {
		return false
	}
	s.Members.ApplyList(list.changes, now)
	s.peersConfig = nil
	return true
}

// derivePeers computes which processes of the region take part in the control
// exchange.
type derivePeers struct{ settings Settings }

func (derivePeers) Name() string { return "derive_peers" }

func (st derivePeers) Apply(s *State, _ time.Time, _ control.Event) bool {
	if s.peersConfig == s.Config {
		return false
	}
	s.peersConfig = s.Config
	centres := s.Config.Lists.DataCentres
	s.peers = s.Members.PeersOf(func(dc model.DataCentre) bool {
		c, known := centres[dc]
		return !known || c.Region == st.settings.Region
	})
	return true
}
