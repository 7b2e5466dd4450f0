package side

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/choose"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// maxWarmChats bounds the chats for which a side plans transfers. 600 transfers fit in
// a drain timeout of 60 s; the rest covers longer drains.
const maxWarmChats = 2048

// transferState is the part of the control state for planning cache transfers.
type transferState struct {
	warmChats        map[string]time.Time // chats that ran here, by cache key, with the time of the last first frame
	transfersPlanned bool                 // the transfers have been planned since admission closed
}

// planTransfers plans the cache transfers of warm chats once the endpoint takes no new
// work.
type planTransfers struct {
	settings Settings
	kv       *kvTransfers
}

func (planTransfers) Name() string { return "plan_moves" }

func (st planTransfers) Apply(s *State, now time.Time, ev control.Event) bool {
	if ev, ok := ev.(workStarted); ok && ev.cacheKey != "" && st.kv.store != nil {
		if s.warmChats == nil {
			s.warmChats = map[string]time.Time{}
		}
		s.warmChats[ev.cacheKey] = now
		if len(s.warmChats) > 2*maxWarmChats {
			for _, chat := range byRecency(s.warmChats)[maxWarmChats:] {
				delete(s.warmChats, chat)
			}
		}
	}
	closed := s.Admission.Closed()
	if closed == s.transfersPlanned {
		return false
	}
	s.transfersPlanned = closed
	if closed && len(s.warmChats) > 0 {
		select {
		case st.kv.planned <- st.plan(s):
		default: // earlier transfers are still in the queue
		}
	}
	return false
}

// byRecency returns the chats, most recently used first.
func byRecency(warmChats map[string]time.Time) []string {
	out := make([]string, 0, len(warmChats))
	for chat := range warmChats {
		out = append(out, chat)
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(warmChats[b].Compare(warmChats[a]), cmp.Compare(a, b)) })
	return out
}

// plan returns the transfers to the endpoints that the entries will choose next.
func (st planTransfers) plan(s *State) []kvTransfer {
	var candidates []choose.Candidate
	for id, e := range s.Members.All() {
		outOfService := s.Config.Lists.DataCentres[e.DataCentre].State == lists.DataCentreOut
		if e.Role == instances.RoleEndpoint && e.Pool == st.settings.Pool && id != st.settings.Instance {
			candidates = append(candidates, choose.Candidate{ID: model.EndpointID(id), Address: e.Address, Version: e.Version, Weight: 1, OutOfService: outOfService, Leaving: !e.Usable()})
		}
	}
	pool := choose.NewPool(nil, candidates)
	var transfers []kvTransfer
	for _, chat := range byRecency(s.warmChats)[:min(len(s.warmChats), maxWarmChats)] {
		if targets := pool.Order(nil, choose.Query{Key: chat, Chat: true}, 1); len(targets) > 0 {
			transfers = append(transfers, kvTransfer{chat, targets[0].Address})
		}
	}
	return transfers
}
