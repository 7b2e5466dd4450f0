package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/limit"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// homeDownTime is how long an entry uses the local share after its home could
// not be reached, so that its requests do not each wait for the call to fail.
const homeDownTime = 2 * time.Second

// spend decides whether requests are within their workspace's limit.
type spend struct{ self model.InstanceID }

func (spend) Name() string { return "spend" }

func (st spend) Apply(s *State, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case spendRequest:
		st.request(s, now, ev)
	case borrowDone:
		st.borrowed(s, now, ev)
	case control.Tick:
		if len(s.borrowing) == 0 {
			s.wallets.Sweep(now)
		}
	}
	return false
}

func (st spend) request(s *State, now time.Time, r spendRequest) {
	if r.plan.Rate <= 0 {
		r.Reply(spendVerdict{allowed: true})
		return
	}
	home := s.homeOf(r.workspace)
	if home == "" || home == st.self {
		g := s.home.Borrow(now, r.workspace, r.plan, r.cost, r.cost)
		r.Reply(spendVerdict{allowed: g.Units > 0, retryAfter: g.RetryAfter})
		return
	}
	waiting, pending := s.borrowing[r.workspace]
	switch {
	case s.wallets.Spend(now, r.workspace, r.cost):
		r.Reply(spendVerdict{allowed: true})
	case now.Before(s.homeDown[home]):
		st.local(s, now, r)
	case pending && len(waiting) < maxWaiting:
		s.borrowing[r.workspace] = append(waiting, r)
	case pending:
		r.Reply(spendVerdict{retryAfter: time.Second})
	default:
		r.Reply(st.borrow(s, now, r, home))
	}
}

// maxHomes bounds the homes that are remembered: all workspaces of the target
// size.
const maxHomes = 16_000

// homeOf returns the home of a workspace. It remembers it until the entries
// change, since finding it among 370 entries takes 15 us.
func (s *exchangeState) homeOf(ws model.Workspace) model.InstanceID {
	if s.homesOf != s.peers || len(s.homes) >= maxHomes {
		s.homesOf = s.peers
		clear(s.homes)
	}
	home, known := s.homes[ws]
	if !known {
		home = limit.HomeOf(ws, s.peers.Entries)
		s.homes[ws] = home
	}
	return home
}

// maxWaiting bounds the requests of one workspace that wait for a borrow.
const maxWaiting = 256

// maxWishes bounds the workspaces served by one borrow.
const maxWishes = 64

// borrow returns the verdict that makes the request's goroutine borrow, for its
// own workspace and all others of the same home that run low.
func (st spend) borrow(s *State, now time.Time, r spendRequest, home model.InstanceID) spendVerdict {
	s.borrowing[r.workspace] = nil
	wishes := []wish{{r.workspace, s.wallets.BorrowAmount(now, r.workspace, r.cost), r.cost}}
	low := s.wallets.Refills(now, func(ws model.Workspace) bool {
		return ws != r.workspace && s.homeOf(ws) == home
	})
	for ws, want := range low {
		wishes = append(wishes, wish{ws, want, 0})
	}
	slices.SortFunc(wishes[1:], func(a, b wish) int { return cmp.Compare(a.workspace, b.workspace) })
	return spendVerdict{address: s.peers.Address(home), home: home, wishes: wishes[:min(len(wishes), maxWishes)]}
}

func (st spend) local(s *State, now time.Time, r spendRequest) spendVerdict {
	g := s.wallets.SpendLocal(now, r.workspace, r.plan, len(s.peers.Entries), r.cost)
	v := spendVerdict{allowed: g.Units > 0, retryAfter: g.RetryAfter}
	r.Reply(v)
	return v
}

func (st spend) borrowed(s *State, now time.Time, d borrowDone) {
	waiting := s.borrowing[d.request.workspace]
	delete(s.borrowing, d.request.workspace)
	if len(d.grants) == 0 {
		s.homeDown[d.home] = now.Add(homeDownTime)
		d.Reply(st.local(s, now, d.request))
		for _, r := range waiting {
			st.local(s, now, r)
		}
		return
	}
	for i, w := range d.wishes {
		s.wallets.Credit(now, w.workspace, d.grants[i].Units)
	}
	if s.wallets.SpendRetry(now, d.request.workspace, d.request.cost) {
		d.Reply(spendVerdict{allowed: true})
	} else {
		d.Reply(spendVerdict{retryAfter: d.grants[0].RetryAfter})
	}
	for i, r := range waiting {
		switch {
		case s.wallets.SpendRetry(now, r.workspace, r.cost):
			r.Reply(spendVerdict{allowed: true})
		case d.grants[0].Units == 0:
			r.Reply(spendVerdict{retryAfter: d.grants[0].RetryAfter})
		default:
			r.Reply(st.borrow(s, now, r, d.home))
			s.borrowing[r.workspace] = waiting[i+1:]
			return
		}
	}
}

// lend grants units of the workspaces whose home this entry is.
type lend struct{}

func (lend) Name() string { return "lend" }

func (lend) Apply(s *State, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case lendRequest:
		grants := make([]limit.Grant, len(ev.wishes))
		for i, w := range ev.wishes {
			plan := s.Config.Lists.Plans[s.Config.Lists.Workspaces[w.workspace].Plan]
			if plan.Rate > 0 {
				grants[i] = s.home.Borrow(now, w.workspace, limit.Plan{Rate: plan.Rate, Burst: plan.Burst}, w.want, w.need)
			}
		}
		ev.Reply(grants)
	case control.Tick:
		s.home.Sweep(now)
	}
	return false
}
