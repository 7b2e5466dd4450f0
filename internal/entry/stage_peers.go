package entry

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// derivePeers works out which processes of the region take part in the control
// exchange. It stands before derive, whose mark tells that a source changed.
type derivePeers struct{ settings Settings }

func (derivePeers) Name() string { return "derive_peers" }

func (st derivePeers) Apply(s *State, _ time.Time, _ control.Event) bool {
	if s.derived {
		return false
	}
	centres := s.Config.Lists.DataCentres
	s.peers = s.Members.PeersOf(func(dc model.DataCentre) bool {
		c, known := centres[dc]
		return !known || c.Region == st.settings.Region
	})
	return true
}
