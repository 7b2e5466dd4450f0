package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

var start = time.Unix(1_000_000, 0)

const ws = model.Workspace("ws")

// Guards against grants beyond burst + rate * elapsed time, for any sequence of
// borrow requests.
func TestHomeGrantsWithinItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, p := NewHome(), Plan{Rate: 1000, Burst: 2000}
		now, granted := start, int64(0)
		for range rapid.IntRange(1, 100).Draw(t, "wishes") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "gap")))
			need := rapid.Int64Range(1, 2000).Draw(t, "need")
			want := rapid.Int64Range(0, 5000).Draw(t, "want")
			g := h.Borrow(now, ws, p, want, need)
			if g.Units != 0 && g.Units < need {
				t.Fatalf("granted %d units, at least %d are needed", g.Units, need)
			}
			if g.Units == 0 && g.RetryAfter <= 0 {
				t.Fatalf("refusal without a retry time")
			}
			granted += g.Units
			if most := 2000 + 1000*now.Sub(start).Seconds() + 1; float64(granted) > most {
				t.Fatalf("granted %d units, at most %f are allowed", granted, most)
			}
		}
	})
}

// Guards against a request whose cost exceeds the burst and which therefore never
// runs, or is not charged.
func TestRequestOverTheBurstRunsAndIsCharged(t *testing.T) {
	is := is.New(t)
	h, p := NewHome(), Plan{Rate: 100, Burst: 200}
	is.Equal(h.Borrow(start, ws, p, 500, 500).Units, int64(500))
	is.Equal(h.Borrow(start.Add(time.Second), ws, p, 1, 1).Units, int64(0)) // in debt
	is.Equal(h.Borrow(start.Add(4*time.Second), ws, p, 1, 1).Units, int64(1))
}

// spendsAfterIdle reports whether borrowed units can still be spent after an
// idle time.
func spendsAfterIdle(expires bool, idle time.Duration) bool {
	l := NewLeases()
	l.expires = expires
	l.Credit(start, ws, 1000)
	return l.Spend(start.Add(idle), ws, 1000)
}

// Guards against unused leases that accumulate and are spent on top of a full
// bucket, which is possible if they do not expire.
func TestUnusedLeaseExpires(t *testing.T) {
	is := is.New(t)
	is.True(spendsAfterIdle(true, leaseTTL-1))
	is.True(!spendsAfterIdle(true, leaseTTL))
	is.True(spendsAfterIdle(false, time.Hour)) // fails without the expiry
}

// Guards against lease sizes that do not follow the recent use, and against
// refills for idle workspaces.
func TestLeaseSizeFollowsUse(t *testing.T) {
	is := is.New(t)
	l := NewLeases()
	is.Equal(l.BorrowAmount(start, ws, 50), int64(50)) // at least one request
	for i := range 100 {
		l.Spend(start.Add(time.Duration(i)*10*time.Millisecond), ws, 10)
	}
	now := start.Add(time.Second)
	amount := l.BorrowAmount(now, ws, 10)
	is.True(amount > 500 && amount < 1000) // 1000 units in the last second
	any := func(model.Workspace) bool { return true }
	is.Equal(len(l.Refills(now, any)), 1)
	is.Equal(len(l.Refills(now.Add(10*time.Second), any)), 0)
}

// Guards against entries that together admit more than the limit while they
// cannot reach the home entry, and against a local share too small to admit any
// request.
func TestLocalSharesAddUpToOneLimit(t *testing.T) {
	is := is.New(t)
	const entries = 4
	p := Plan{Rate: 1000, Burst: 2000}
	admitted := int64(0)
	for range entries {
		l := NewLeases()
		for i := range 10_000 {
			admitted += l.SpendLocal(start.Add(time.Duration(i)*time.Millisecond), ws, p, entries, 10).Units
		}
	}
	is.True(admitted <= 2000+10*1000 && admitted > 11_000)
	is.True(NewLeases().SpendLocal(start, ws, p, entries, 1500).Units == 1500) // over the share's burst
}

// Guards against tables that keep the buckets and leases of idle workspaces.
func TestIdleBucketsAreDropped(t *testing.T) {
	is := is.New(t)
	h, l, p := NewHome(), NewLeases(), Plan{Rate: 1000, Burst: 2000}
	for i := range 100 {
		name := model.Workspace(fmt.Sprint(i))
		h.Borrow(start, name, p, 100, 100)
		l.Spend(start, name, 100)
		l.Credit(start, name, 100)
	}
	h.Sweep(start)
	l.Sweep(start)
	is.Equal([]int{h.Len(), l.Len()}, []int{100, 100})
	h.Sweep(start.Add(time.Minute))
	l.Sweep(start.Add(time.Minute))
	is.Equal([]int{h.Len(), l.Len()}, []int{0, 0})
}

// Guards against spent units that become available again when the plan changes.
func TestPlanChangeKeepsUse(t *testing.T) {
	is := is.New(t)
	h := NewHome()
	h.Borrow(start, ws, Plan{Rate: 100, Burst: 1000}, 1000, 1000)
	is.Equal(h.Borrow(start, ws, Plan{Rate: 200, Burst: 1000}, 100, 100).Units, int64(0))
	is.Equal(h.Borrow(start.Add(time.Second), ws, Plan{Rate: 200, Burst: 1000}, 200, 200).Units, int64(200))
}
