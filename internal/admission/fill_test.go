package admission

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Guards against capacity that a less urgent priority gets while a more urgent one lacks
// it, against more than the capacity, and against capacity that stays unused.
func TestFillServesPrioritiesInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var demand [Classes]float64
		for i := range demand {
			demand[i] = max(0, rapid.Float64Range(-5, 10).Draw(t, "demand"))
		}
		capacity := rapid.Float64Range(0, 150).Draw(t, "capacity")
		admitted := fill(demand, capacity)
		used := 0.0
		for i, share := range admitted {
			if share < 0 || share > 1 {
				t.Fatalf("share %v", share)
			}
			used += share * demand[i]
		}
		const rounding = 1e-9
		if used > capacity+rounding || used < min(capacity, sum(demand))-rounding {
			t.Fatalf("used %v of %v for %v", used, capacity, sum(demand))
		}
		for p := range Priorities - 1 {
			short := admitted[2*p] < 1-rounding || admitted[2*p+1] < 1-rounding
			if short && admitted[2*p+2]*demand[2*p+2]+admitted[2*p+3]*demand[2*p+3] > rounding {
				t.Fatalf("priority %d is served before %d: %v", p+1, p, admitted)
			}
		}
	})
}

// Guards against new requests that all wait behind returning ones, and against returning
// ones that get nothing.
func TestReturningRequestsGetHalfAtMost(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ returning, fresh, capacity, wantReturning, wantFresh float64 }{
		{returning: 10, fresh: 10, capacity: 10, wantReturning: 0.5, wantFresh: 0.5},
		{returning: 2, fresh: 10, capacity: 10, wantReturning: 1, wantFresh: 0.8},
		{returning: 20, fresh: 2, capacity: 10, wantReturning: 0.4, wantFresh: 1},
		{returning: 10, fresh: 10, capacity: 0},
	} {
		got := fill([Classes]float64{0: c.returning, 1: c.fresh}, c.capacity)
		is.Equal(got[0], c.wantReturning)
		is.Equal(got[1], c.wantFresh)
	}
}

// Guards against a division among workspaces that is not max-min: one that gets less than
// it asks for while another gets more, or capacity that is not used.
func TestWorkspacesShareByMaxMin(t *testing.T) {
	is := is.New(t)
	shares, others := divide(10, map[uint32]float64{1: 20, 2: 2}, 3, 3)
	is.Equal(shares, map[uint32]float64{1: 0.25, 2: 1})
	is.Equal(others, 1.0)
	shares, others = divide(10, map[uint32]float64{1: 20}, 20, 4)
	is.Equal(shares, map[uint32]float64{1: 0.1})
	is.Equal(others, 0.4)
	rapid.Check(t, func(t *rapid.T) {
		heavy := map[uint32]float64{}
		total := 0.0
		for i := range rapid.IntRange(0, 6).Draw(t, "heavy") {
			heavy[uint32(i)] = rapid.Float64Range(0.1, 50).Draw(t, "demand")
			total += heavy[uint32(i)]
		}
		rest := rapid.Float64Range(0, 50).Draw(t, "others")
		capacity := rapid.Float64Range(0.1, 100).Draw(t, "capacity")
		shares, others := divide(capacity, heavy, rest, 5)
		used := others * rest
		for w, d := range heavy {
			used += shares[w] * d
			for o, e := range heavy {
				if shares[w] < 1 && shares[o]*e > shares[w]*d+1e-6 {
					t.Fatalf("workspace %d gets %v of %v, %d gets %v", w, shares[w]*d, d, o, shares[o]*e)
				}
			}
		}
		if math.Abs(used-min(capacity, total+rest)) > 1e-6 {
			t.Fatalf("used %v of %v for %v", used, capacity, total+rest)
		}
	})
}

// loaded returns a controller with one pool under overload: all slots are taken.
func loaded(now time.Time) (*Controller, *pool) {
	c := New(func(time.Time, model.Pool) Load {
		return Load{Slots: 100, Taken: 100, Stated: true, Routers: 1, Interval: 150 * time.Millisecond}
	}, hashOf)
	c.pool(now, simPool)
	p := c.pool(now.Add(tick), simPool)
	return c, p
}

// Guards against callers that return together, later than they wait, or at another rate
// than that at which they can be served.
func TestRetryAfterFollowsTheAdmittedRate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c, p := loaded(now)
	is.True(p.active)
	p.admitted, p.rate = [Classes]float64{3: 0.5}, [Classes]float64{3: 40}
	r := Request{Pool: simPool, Route: "r", Priority: 1, Left: 3 * time.Second, Random: 0.5}
	for i := range 9 { // ten return in a second: half of the twenty that are admitted
		is.Equal(c.RetryAfter(now, r).Round(time.Millisecond), minReturn+time.Duration(i+1)*100*time.Millisecond)
	}
	is.True(c.RetryAfter(now, r) <= time.Second) // no place within a third of the time left
	r.Priority = 2                               // of which nothing is admitted
	is.Equal(c.RetryAfter(now, r), 800*time.Millisecond)
	r.Wait = 6 * time.Second // the caller has more time than the route
	is.Equal(c.RetryAfter(now, r), 1600*time.Millisecond)
}

// Guards against requests that are sent on under overload although their answers cannot
// come before their deadline, and against an estimate that refuses all for ever.
func TestRequestsThatWouldBeTooLateAreRefused(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c, p := loaded(now)
	*p.times("r") = routeTimes{service: 2, work: 2, first: 0.3, at: now}
	r := Request{Pool: simPool, Route: "r", Left: time.Second}
	is.Equal(c.Decide(now, r).Reason, TooLate)
	r.Left = 5 * time.Second
	is.True(c.Decide(now, r).Reason != TooLate)
	r.Left = time.Second
	is.True(c.Decide(now.Add(2*estimateLifetime), r).Reason != TooLate)
}

// Guards against second attempts that take the capacity of first ones.
func TestRetriesGoBehindFirstAttempts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c, p := loaded(now)
	p.admitted = [Classes]float64{0: 1, 1: 1, 2: 1, 3: 0.5}
	is.True(c.AllowRetry(now, simPool, 0))
	is.True(!c.AllowRetry(now, simPool, 1))
	is.True(!c.AllowRetry(now, simPool, 2))
	c.SetEnabled(false)
	is.True(c.AllowRetry(now, simPool, 2))
}

// Guards against a router that counts requests as late after it was frozen, and refuses
// for it when it wakes up, or goes by reports from before.
func TestFrozenRouterStartsAnew(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := New(func(time.Time, model.Pool) Load {
		return Load{Slots: 100, Taken: 60, Stated: true, Routers: 2, Live: 1, Interval: 150 * time.Millisecond}
	}, hashOf)
	p := c.pool(now, simPool)
	for range 30 {
		is.True(c.Decide(now, Request{Pool: simPool, Route: "r", Left: time.Minute, Target: 500 * time.Millisecond}).Admit)
	}
	c.Hear(now, "peer", []Report{{Pool: p.hash, Overloaded: true, Demand: [Classes]float64{1: 1000}}})
	now = now.Add(10 * time.Second)
	is.True(c.Decide(now, Request{Pool: simPool, Route: "r", Left: time.Minute}).Admit)
	is.Equal(p.late, 0.0)
	is.Equal(len(p.peers), 0)
	is.True(!p.active)
}

// Guards against refusals at plain services, whose room is not known: their callers wait
// instead, which was worth more to those of a deployment that pays half for a late answer.
func TestPlainServicesAreNotRefused(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	load := func(time.Time, model.Pool) Load { return Load{Slots: 6, Taken: 60, Routers: 1} }
	for plain, reason := range map[bool]Reason{true: LoadUnknown, false: LessUrgent} {
		c, last := New(load, hashOf), Decision{}
		for range 60 {
			now = now.Add(tick)
			last = c.Decide(now, Request{Pool: simPool, Route: "r", Left: time.Minute, Plain: plain})
		}
		is.Equal(last.Admit, plain)
		is.Equal(last.Reason, reason)
	}
}

// Guards against a router that takes only a part of a pool that its peers do not use, and
// against one that takes the part of peers whose demand is low and not reported.
func TestSharesFollowTheDemandOfAllPeers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	live := 1
	load := func(time.Time, model.Pool) Load {
		return Load{Slots: 100, Taken: 95, Stated: true, Routers: 2, Live: live, Interval: 150 * time.Millisecond}
	}
	idle := func(time.Time, model.Pool) Load {
		return Load{Slots: 100, Routers: 2, Live: 1, Interval: 150 * time.Millisecond}
	}
	a, b := New(load, hashOf), New(idle, hashOf)
	run := func(each func()) {
		for range 60 {
			now = now.Add(tick)
			a.Decide(now, Request{Pool: simPool, Route: "r", Left: time.Minute})
			each()
		}
	}
	run(func() { a.Reports(now) })
	is.Equal(a.pool(now, simPool).share, 1.0) // the peer is heard and reports nothing
	run(func() {
		if b.Decide(now, Request{Pool: simPool, Route: "r", Left: time.Minute}).Admit {
			b.End(now, b.last, Answered)
		}
		b.Hear(now, "a", a.Reports(now))
		a.Hear(now, "b", b.Reports(now))
	})
	half := a.pool(now, simPool).share
	is.True(math.Abs(half-0.5) < 0.05) // b reports since a does
	live = 0
	run(func() { a.Reports(now) })
	is.Equal(a.pool(now, simPool).share, half) // cut off: the last share holds
}
