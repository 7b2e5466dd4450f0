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

// limitState is a state with entries of which "self" is not the home of "ws".
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

func spendOf(cost int64) spendRequest {
	return spendRequest{Deferred: control.NewDeferred[spendVerdict](), workspace: "ws", pool: "chat", cost: cost, plan: limit.Plan{Rate: 1000, Burst: 1000}}
}

// Guards against requests that never get an answer because the borrow that they
// wait for failed, was refused or gave too little.
func TestEverySpendIsAnswered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, st, now := limitState(), spend{"self"}, time.Unix(1_000_000, 0)
		var asked []spendRequest
		answers := map[int]spendVerdict{}
		var borrows []spendVerdict
		collect := func() {
			for i, r := range asked {
				select {
				case v := <-r.ReplyChan():
					answers[i] = v
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
			d := borrowDone{Question: control.NewQuestion[spendVerdict](), request: spendOf(v.wishes[0].need), home: v.home, wishes: v.wishes}
			if units := rapid.Int64Range(-1, 500).Draw(t, "granted"); units >= 0 {
				for range v.wishes {
					d.grants = append(d.grants, limit.Grant{Units: units, RetryAfter: time.Second})
				}
			}
			st.Apply(s, now, d)
			d.SendReply()
			if v := <-d.ReplyChan(); v.address != "" {
				t.Fatal("a borrow led to another one of the same request")
			}
			collect()
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(borrows) > 0 && rapid.Bool().Draw(t, "finish") {
				finish()
				continue
			}
			r := spendOf(rapid.Int64Range(1, 300).Draw(t, "cost"))
			asked = append(asked, r)
			st.Apply(s, now, r)
			now = now.Add(10 * time.Millisecond)
			collect()
		}
		for len(borrows) > 0 {
			finish()
		}
		if len(answers) != len(asked) {
			t.Fatalf("%d of %d requests were answered", len(answers), len(asked))
		}
		if len(s.borrowing) != 0 {
			t.Fatal("a borrow is still marked as pending")
		}
	})
}

// Guards against requests that each wait for an unreachable home.
func TestLocalShareWhileHomeIsDown(t *testing.T) {
	is := is.New(t)
	s, st, now := limitState(), spend{"self"}, time.Unix(1_000_000, 0)
	r := spendOf(100)
	st.Apply(s, now, r)
	v := <-r.ReplyChan()
	is.True(v.address != "")
	d := borrowDone{Question: control.NewQuestion[spendVerdict](), request: r, home: v.home, wishes: v.wishes}
	st.Apply(s, now, d)
	d.SendReply()
	is.True((<-d.ReplyChan()).allowed) // from the local share
	next := spendOf(100)
	st.Apply(s, now, next)
	is.True((<-next.ReplyChan()).allowed) // at once
	over := spendOf(250)
	st.Apply(s, now, over)
	refused := <-over.ReplyChan()
	is.True(!refused.allowed && refused.retryAfter > 0 && refused.address == "")
	later := spendOf(100)
	st.Apply(s, now.Add(homeDownTime), later)
	is.True((<-later.ReplyChan()).address != "") // the home is tried again
}
