package side

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// foldMembers keeps the instance list.
type foldMembers struct{}

func (foldMembers) Name() string { return "fold_members" }

func (foldMembers) Apply(s *State, now time.Time, ev control.Event) bool {
	list, ok := ev.(listChanged)
	if _, tick := ev.(control.Tick); tick {
		s.Members.Step(now)
	}
	if !ok {
		return false
	}
	s.Members.ApplyList(list.changes, now)
	s.peersOf = nil
	return true
}

// derivePeers works out which processes of the region take part in the control
// exchange.
type derivePeers struct{ settings Settings }

func (derivePeers) Name() string { return "derive_peers" }

func (st derivePeers) Apply(s *State, _ time.Time, _ control.Event) bool {
	if s.peersOf == s.Config {
		return false
	}
	s.peersOf = s.Config
	centres := s.Config.Lists.DataCentres
	s.peers = s.Members.PeersOf(func(dc model.DataCentre) bool {
		c, known := centres[dc]
		return !known || c.Region == st.settings.Region
	})
	return true
}
