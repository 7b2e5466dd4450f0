package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/limit"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// homeBackoff is how long an entry uses the local share after it could not reach a
// home entry, so that its requests do not each wait for the call to fail.
const homeBackoff = 2 * time.Second

// decideLimit decides whether requests are within their workspace's limit.
type decideLimit struct{ self model.InstanceID }

func (decideLimit) Name() string { return "spend" }

func (st decideLimit) Apply(s *State, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case spendRequest:
		st.decide(s, now, ev)
	case borrowDone:
		st.applyBorrow(s, now, ev)
	case control.Tick:
		if len(s.borrowing) == 0 {
			s.leases.Sweep(now)
		}
	}
	return false
}

// decide answers r at once, makes its goroutine borrow, or lets it wait for a borrow
// in progress.
func (st decideLimit) decide(s *State, now time.Time, r spendRequest) {
	if r.plan.Rate <= 0 {
		r.Reply(spendDecision{allowed: true})
		return
	}
	home := s.homeOf(r.workspace)
	if home == "" || home == st.self {
		g := s.homeBuckets.Borrow(now, r.workspace, r.plan, r.cost, r.cost)
		r.Reply(spendDecision{allowed: g.Units > 0, retryAfter: g.RetryAfter})
		return
	}
	waiting, pending := s.borrowing[r.workspace]
	switch {
	case s.leases.Spend(now, r.workspace, r.cost):
		r.Reply(spendDecision{allowed: true})
	case now.Before(s.homeRetryAt[home]):
		st.spendLocalShare(s, now, r)
	case pending && len(waiting) < maxWaitingRequests:
		s.borrowing[r.workspace] = append(waiting, r)
	case pending:
		r.Reply(spendDecision{retryAfter: time.Second})
	default:
		r.Reply(st.startBorrow(s, now, r, home))
	}
}

// maxCachedHomes bounds the cache of homes. It has room for all workspaces of the
// target size.
const maxCachedHomes = 16_000

// homeOf returns the home entry of a workspace. It caches the result until the
// entries change, since finding the home among 370 entries takes 15 us.
func (s *exchangeState) homeOf(ws model.Workspace) model.InstanceID {
	if s.homesPeers != s.peers || len(s.homes) >= maxCachedHomes {
		s.homesPeers = s.peers
		clear(s.homes)
	}
	home, known := s.homes[ws]
	if !known {
		home = limit.HomeOf(ws, s.peers.Entries)
		s.homes[ws] = home
	}
	return home
}

// maxWaitingRequests bounds the requests of one workspace that wait for a borrow.
const maxWaitingRequests = 256

// maxLeaseRequests bounds the workspaces served by one borrow.
const maxLeaseRequests = 64

// startBorrow returns the decision that makes the request's goroutine borrow for its
// own workspace and for all others of the same home whose lease runs low.
func (st decideLimit) startBorrow(s *State, now time.Time, r spendRequest, home model.InstanceID) spendDecision {
	s.borrowing[r.workspace] = nil
	requests := []leaseRequest{{r.workspace, s.leases.BorrowAmount(now, r.workspace, r.cost), r.cost}}
	refills := s.leases.Refills(now, func(ws model.Workspace) bool {
		return ws != r.workspace && s.homeOf(ws) == home
	})
	for ws, want := range refills {
		requests = append(requests, leaseRequest{ws, want, 0})
	}
	slices.SortFunc(requests[1:], func(a, b leaseRequest) int { return cmp.Compare(a.workspace, b.workspace) })
	return spendDecision{address: s.peers.Address(home), home: home, leaseRequests: requests[:min(len(requests), maxLeaseRequests)]}
}

// spendLocalShare answers r by the local share of the limit, which is used while the
// home cannot be reached.
func (st decideLimit) spendLocalShare(s *State, now time.Time, r spendRequest) spendDecision {
	g := s.leases.SpendLocal(now, r.workspace, r.plan, len(s.peers.Entries), r.cost)
	decision := spendDecision{allowed: g.Units > 0, retryAfter: g.RetryAfter}
	r.Reply(decision)
	return decision
}

// applyBorrow credits the granted units and answers the request that borrowed and
// those that waited for it. The first waiting request that the units do not cover
// borrows again, and the ones after it wait for that; if nothing was granted, they are
// refused.
func (st decideLimit) applyBorrow(s *State, now time.Time, d borrowDone) {
	waiting := s.borrowing[d.request.workspace]
	delete(s.borrowing, d.request.workspace)
	if len(d.grants) == 0 {
		s.homeRetryAt[d.home] = now.Add(homeBackoff)
		d.Reply(st.spendLocalShare(s, now, d.request))
		for _, r := range waiting {
			st.spendLocalShare(s, now, r)
		}
		return
	}
	for i, l := range d.leaseRequests {
		s.leases.Credit(now, l.workspace, d.grants[i].Units)
	}
	if s.leases.SpendAfterBorrow(now, d.request.workspace, d.request.cost) {
		d.Reply(spendDecision{allowed: true})
	} else {
		d.Reply(spendDecision{retryAfter: d.grants[0].RetryAfter})
	}
	for i, r := range waiting {
		switch {
		case s.leases.SpendAfterBorrow(now, r.workspace, r.cost):
			r.Reply(spendDecision{allowed: true})
		case d.grants[0].Units == 0:
			r.Reply(spendDecision{retryAfter: d.grants[0].RetryAfter})
		default:
			r.Reply(st.startBorrow(s, now, r, d.home))
			s.borrowing[r.workspace] = waiting[i+1:]
			return
		}
	}
}

// lendUnits grants cost units of the workspaces whose home this entry is.
type lendUnits struct{}

func (lendUnits) Name() string { return "lend" }

func (lendUnits) Apply(s *State, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case lendRequest:
		grants := make([]limit.Grant, len(ev.leaseRequests))
		for i, l := range ev.leaseRequests {
			plan := s.Config.Lists.Plans[s.Config.Lists.Workspaces[l.workspace].Plan]
			if plan.Rate > 0 {
				grants[i] = s.homeBuckets.Borrow(now, l.workspace, limit.Plan{Rate: plan.Rate, Burst: plan.Burst}, l.want, l.need)
			}
		}
		ev.Reply(grants)
	case control.Tick:
		s.homeBuckets.Sweep(now)
	}
	return false
}
