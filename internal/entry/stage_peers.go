package entry

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// derivePeers computes which processes of the region take part in the control
// exchange. It runs before deriveRouting, which sets derivedValid: until then, a
// false derivedValid shows that the configuration or the membership changed.
type derivePeers struct{ settings Settings }

func (derivePeers) Name() string { return "derive_peers" }

func (st derivePeers) Apply(s *State, _ time.Time, _ control.Event) bool {
	if s.derivedValid {
		return false
	}
	centres := s.Config.Lists.DataCentres
	s.peers = s.Members.PeersOf(func(dc model.DataCentre) bool {
		c, known := centres[dc]
		return !known || c.Region == st.settings.Region
	})
	return true
}
