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

// maxWarmChats bounds the chats that a side process remembers. 600 moves fit in
// a drain time of 60 s; the rest covers longer drains.
const maxWarmChats = 2048

// moveState is what the moves of caches are planned from.
type moveState struct {
	warm    map[string]time.Time // chats that ran here, with the time of their last start
	planned bool                 // the moves of the present leave are under way
}

// planMoves plans the copies of warm chats once the endpoint takes no new work.
type planMoves struct {
	settings Settings
	kv       *kvMover
}

func (planMoves) Name() string { return "plan_moves" }

func (st planMoves) Apply(s *State, now time.Time, ev control.Event) bool {
	if ev, ok := ev.(workStarted); ok && ev.chat != "" && st.kv.store != nil {
		if s.warm == nil {
			s.warm = map[string]time.Time{}
		}
		s.warm[ev.chat] = now
		if len(s.warm) > 2*maxWarmChats {
			for _, chat := range byRecency(s.warm)[maxWarmChats:] {
				delete(s.warm, chat)
			}
		}
	}
	leaves := s.Admission.Closed()
	if leaves == s.planned {
		return false
	}
	s.planned = leaves
	if leaves && len(s.warm) > 0 {
		select {
		case st.kv.moves <- st.plan(s):
		default: // earlier moves are still under way
		}
	}
	return false
}

// byRecency returns the chats, the most recent first.
func byRecency(warm map[string]time.Time) []string {
	out := make([]string, 0, len(warm))
	for chat := range warm {
		out = append(out, chat)
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(warm[b].Compare(warm[a]), cmp.Compare(a, b)) })
	return out
}

// plan returns the moves to the endpoints that the entries will choose next.
func (st planMoves) plan(s *State) []kvMove {
	var list []choose.Candidate
	for id, e := range s.Members.All() {
		out := s.Config.Lists.DataCentres[e.DataCentre].State == lists.DataCentreOut
		if e.Role == instances.RoleEndpoint && e.Pool == st.settings.Pool && id != st.settings.Instance {
			list = append(list, choose.Candidate{ID: model.EndpointID(id), Address: e.Address, Version: e.Version, Weight: 1, OutOfService: out, Leaving: !e.Usable()})
		}
	}
	pool := choose.NewPool(nil, list)
	var moves []kvMove
	for _, chat := range byRecency(s.warm)[:min(len(s.warm), maxWarmChats)] {
		if to := pool.Order(nil, choose.Query{Key: chat, Chat: true}, 1); len(to) > 0 {
			moves = append(moves, kvMove{chat, to[0].Address})
		}
	}
	return moves
}
