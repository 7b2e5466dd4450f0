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

// Guards against grants over rate times time plus burst, for any wishes.
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
				t.Fatalf("granted %d of %d needed units", g.Units, need)
			}
			if g.Units == 0 && g.RetryAfter <= 0 {
				t.Fatalf("a refusal without a time to retry")
			}
			granted += g.Units
			if most := 2000 + 1000*now.Sub(start).Seconds() + 1; float64(granted) > most {
				t.Fatalf("granted %d of at most %f", granted, most)
			}
		}
	})
}

// Guards against a request over the burst that never runs, or runs for free.
func TestRequestOverTheBurstRunsAndIsPaid(t *testing.T) {
	is := is.New(t)
	h, p := NewHome(), Plan{Rate: 100, Burst: 200}
	is.Equal(h.Borrow(start, ws, p, 500, 500).Units, int64(500))
	is.Equal(h.Borrow(start.Add(time.Second), ws, p, 1, 1).Units, int64(0)) // in debt
	is.Equal(h.Borrow(start.Add(4*time.Second), ws, p, 1, 1).Units, int64(1))
}

// spare returns the units that an entry still holds after a pause.
func spare(lapses bool, after time.Duration) bool {
	w := NewLeases()
	w.lapses = lapses
	w.Credit(start, ws, 1000)
	return w.Spend(start.Add(after), ws, 1000)
}

// Guards against batches that pile up unused and are spent on top of a full
// bucket. Without the lapse they can.
func TestUnusedBatchLapses(t *testing.T) {
	is := is.New(t)
	is.True(spare(true, lapseTime-1))
	is.True(!spare(true, lapseTime))
	is.True(spare(false, time.Hour)) // the mechanism is needed
}

// Guards against batches that do not follow the recent use, and against calls
// for workspaces that are not in use.
func TestBatchFollowsUse(t *testing.T) {
	is := is.New(t)
	w := NewLeases()
	is.Equal(w.BorrowAmount(start, ws, 50), int64(50)) // at least one request
	for i := range 100 {
		w.Spend(start.Add(time.Duration(i)*10*time.Millisecond), ws, 10)
	}
	now := start.Add(time.Second)
	wish := w.BorrowAmount(now, ws, 10)
	is.True(wish > 500 && wish < 1000) // 1000 units in the last second
	any := func(model.Workspace) bool { return true }
	is.Equal(len(w.Refills(now, any)), 1)
	is.Equal(len(w.Refills(now.Add(10*time.Second), any)), 0)
}

// Guards against entries that together admit more than one limit while they
// cannot reach the home, and against a share that lets nobody through.
func TestLocalSharesAddUpToOneLimit(t *testing.T) {
	is := is.New(t)
	const entries = 4
	p := Plan{Rate: 1000, Burst: 2000}
	admitted := int64(0)
	for range entries {
		w := NewLeases()
		for i := range 10_000 {
			admitted += w.SpendLocal(start.Add(time.Duration(i)*time.Millisecond), ws, p, entries, 10).Units
		}
	}
	is.True(admitted <= 2000+10*1000 && admitted > 11_000)
	is.True(NewLeases().SpendLocal(start, ws, p, entries, 1500).Units == 1500) // over the share's burst
}

// Guards against tables that keep idle workspaces.
func TestIdleBucketsAreDropped(t *testing.T) {
	is := is.New(t)
	h, w, p := NewHome(), NewLeases(), Plan{Rate: 1000, Burst: 2000}
	for i := range 100 {
		name := model.Workspace(fmt.Sprint(i))
		h.Borrow(start, name, p, 100, 100)
		w.Spend(start, name, 100)
		w.Credit(start, name, 100)
	}
	h.Sweep(start)
	w.Sweep(start)
	is.Equal([]int{h.Len(), w.Len()}, []int{100, 100})
	h.Sweep(start.Add(time.Minute))
	w.Sweep(start.Add(time.Minute))
	is.Equal([]int{h.Len(), w.Len()}, []int{0, 0})
}

// Guards against the loss of the used units when the plan changes.
func TestPlanChangeKeepsUse(t *testing.T) {
	is := is.New(t)
	h := NewHome()
	h.Borrow(start, ws, Plan{Rate: 100, Burst: 1000}, 1000, 1000)
	is.Equal(h.Borrow(start, ws, Plan{Rate: 200, Burst: 1000}, 100, 100).Units, int64(0))
	is.Equal(h.Borrow(start.Add(time.Second), ws, Plan{Rate: 200, Burst: 1000}, 200, 200).Units, int64(200))
}
