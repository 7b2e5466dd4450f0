package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/limit"
	"github.com/goldcrestturn/goldcrestturn/internal/member"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// limitState returns a state with four entries. "self" is none of them, so it is not
// the home of "ws".
func limitState() *State {
	s := &State{exchangeState: newExchangeState()}
	t := member.NewTable()
	for i := range 4 {
		id := model.InstanceID(fmt.Sprint("entry-", i))
		t.ApplyList(instances.Changes{Instances: []instances.Instance{{ID: id, Role: instances.RoleEntry, Control: string(id), Status: instances.Live}}}, time.Time{})
	}
	s.peers = t.PeersOf(func(model.DataCentre) bool { return true })
	return s
}

func newSpendRequest(cost int64) spendRequest {
	return spendRequest{Deferred: control.NewDeferred[spendDecision](), workspace: "ws", pool: "chat", cost: cost, plan: limit.Plan{Rate: 1000, Burst: 1000}}
}

// Guards against requests that never get an answer because the borrow that they wait
// for failed, was refused or granted too little.
func TestEverySpendRequestIsAnswered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, st, now := limitState(), decideLimit{"self"}, time.Unix(1_000_000, 0)
		var sent []spendRequest
		decisions := map[int]spendDecision{}
		var borrows []spendDecision
		collect := func() {
			for i, r := range sent {
				select {
				case v := <-r.ReplyChan():
					decisions[i] = v
					if v.address != "" {
						borrows = append(borrows, v)
					}
				default:
				}
			}
		}
		finish := func() {
			v := borrows[0]
			borrows = borrows[1:]
			d := borrowDone{Question: control.NewQuestion[spendDecision](), request: newSpendRequest(v.leaseRequests[0].need), home: v.home, leaseRequests: v.leaseRequests}
			if units := rapid.Int64Range(-1, 500).Draw(t, "granted"); units >= 0 {
				for range v.leaseRequests {
					d.grants = append(d.grants, limit.Grant{Units: units, RetryAfter: time.Second})
				}
			}
			st.Apply(s, now, d)
			d.SendReply()
			if v := <-d.ReplyChan(); v.address != "" {
				t.Fatal("the result of a borrow made the same request borrow again")
			}
			collect()
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(borrows) > 0 && rapid.Bool().Draw(t, "finish") {
				finish()
				continue
			}
			r := newSpendRequest(rapid.Int64Range(1, 300).Draw(t, "cost"))
			sent = append(sent, r)
			st.Apply(s, now, r)
			now = now.Add(10 * time.Millisecond)
			collect()
		}
		for len(borrows) > 0 {
			finish()
		}
		if len(decisions) != len(sent) {
			t.Fatalf("%d of %d requests were answered", len(decisions), len(sent))
		}
		if len(s.borrowing) != 0 {
			t.Fatal("a borrow is still marked as pending")
		}
	})
}

// Guards against requests that each wait for the call to an unreachable home entry.
func TestLocalShareWhileHomeIsDown(t *testing.T) {
	is := is.New(t)
	s, st, now := limitState(), decideLimit{"self"}, time.Unix(1_000_000, 0)
	r := newSpendRequest(100)
	st.Apply(s, now, r)
	decision := <-r.ReplyChan()
	is.True(decision.address != "")
	failed := borrowDone{Question: control.NewQuestion[spendDecision](), request: r, home: decision.home, leaseRequests: decision.leaseRequests}
	st.Apply(s, now, failed)
	failed.SendReply()
	is.True((<-failed.ReplyChan()).allowed) // from the local share
	next := newSpendRequest(100)
	st.Apply(s, now, next)
	is.True((<-next.ReplyChan()).allowed) // without a call to the home
	overShare := newSpendRequest(250)
	st.Apply(s, now, overShare)
	refused := <-overShare.ReplyChan()
	is.True(!refused.allowed && refused.retryAfter > 0 && refused.address == "")
	afterBackoff := newSpendRequest(100)
	st.Apply(s, now.Add(homeBackoff), afterBackoff)
	is.True((<-afterBackoff.ReplyChan()).address != "") // after the backoff, the home is tried again
}
