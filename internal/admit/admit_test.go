package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestturn/goldcrestturn/internal/invariant"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var limits = Limits{LoadMultiple: 1.5, Slots: 8, ColdLimit: 4000, WarmTime: time.Second}

func midJitter() float64 { return 0.5 }

func newWork(t Ticket, w string, units int64) Work {
	return Work{Ticket: t, Workspace: model.Workspace(w), Cost: model.Cost{Prefill: units}}
}

// warmController returns a controller with a fresh mean and the warm-up window of
// a warm endpoint.
func warmController(mean float64) *Controller {
	c := New(midJitter)
	c.SetLimits(limits)
	c.SetMean(Mean{PerEndpoint: mean, Endpoints: 10, MeasuredAt: start}, start.Add(-settleTime))
	c.warmup.size = limits.Slots
	return c
}

func isAdmitted(out []Decision, t Ticket) bool {
	for _, d := range out {
		if d.Ticket == t {
			return d.Refusal == nil
		}
	}
	return false
}

// Guards against sequences of events that violate the load bound, the cold limit
// or the gate, and against a load counter that drifts.
func TestLimitsHoldForRandomEvents(t *testing.T) {
	invariant.SetFatal(true)
	defer invariant.SetFatal(false)
	rapid.Check(t, func(t *rapid.T) {
		c, now := New(midJitter), start
		c.SetLimits(limits)
		for n := range rapid.IntRange(1, 120).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			ticket := Ticket(rapid.IntRange(1, 40).Draw(t, "ticket"))
			var out []Decision
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1:
				w := newWork(Ticket(1000+n), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"), int64(rapid.IntRange(1, 3000).Draw(t, "units")))
				w.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				out = c.Submit(now, w)
			case 2:
				out = c.FirstToken(now, ticket+1000)
			case 3:
				out = c.Done(now, ticket+1000)
			case 4:
				c.SetMean(Mean{PerEndpoint: rapid.Float64Range(0, 8000).Draw(t, "mean"), Endpoints: rapid.IntRange(0, 10).Draw(t, "n"), MeasuredAt: now}, now)
			case 5:
				c.MarkCold()
			case 6:
				c.SetGate(Gate{Leaving: rapid.Bool().Draw(t, "leaving"), DataCentreOut: rapid.Bool().Draw(t, "out")})
			}
			out = append(out, c.Step(now)...)
			seen := map[Ticket]bool{}
			for _, d := range out {
				if seen[d.Ticket] {
					t.Fatalf("ticket %d was decided twice", d.Ticket)
				}
				seen[d.Ticket] = true
			}
			if c.Load() < 0 || c.Unconfirmed() < 0 || c.Running() == 0 && c.Load() != 0 {
				t.Fatalf("load is %d with %d admitted requests", c.Load(), c.Running())
			}
		}
	})
}

// Guards against a load bound that ignores the pool mean. Without the bound the
// load exceeds it.
func TestLoadStaysWithinTheBound(t *testing.T) {
	is := is.New(t)
	before := invariant.Breaches(invariant.LoadBound)
	fill := func(c *Controller) int64 {
		for i := range 8 {
			c.FirstToken(start, Ticket(i))
			c.Submit(start, newWork(Ticket(i), "a", 1000))
		}
		return c.Load()
	}
	is.True(fill(warmController(1000)) <= 1500)
	off := warmController(1000)
	off.Disable(Disabled{Bound: true})
	is.True(fill(off) > 1500)
	is.Equal(invariant.Breaches(invariant.LoadBound), before)
}

// Guards against a stale mean that allows as much load as a fresh one, and
// against an unknown mean that allows none at all.
func TestStaleMeanIsScaledDown(t *testing.T) {
	is := is.New(t)
	c := warmController(6000)
	is.Equal(c.Bound(start.Add(MaxMeanAge)), 9000*(1-reportOverlap))
	is.Equal(c.Bound(start.Add(2*MaxMeanAge)), 4500*(1-reportOverlap))
	c.SetMean(Mean{}, start)
	is.True(isAdmitted(c.Submit(start, newWork(1, "a", 5000)), 1)) // an idle endpoint always takes one request
	is.True(!isAdmitted(c.Submit(start, newWork(2, "a", 1)), 2))
}

// Guards against the only endpoint of a pool being limited by its own load, and
// against a bound computed from the few endpoints that have reported to a new
// aggregator.
func TestMeanOfPartOfThePool(t *testing.T) {
	is := is.New(t)
	c := New(midJitter)
	c.SetLimits(limits)
	alone := Mean{PerEndpoint: 10, Endpoints: 1, MeasuredAt: start}
	c.SetMean(alone, start)
	is.Equal(c.Bound(start), 0.0) // other reports may still arrive
	is.Equal(c.Bound(start.Add(settleTime)), 15*(1-reportOverlap))
	is.True(c.Bound(start.Add(MaxMeanAge)) > 1e9)
	c = warmController(1000)
	few := Mean{PerEndpoint: 1000, Endpoints: 2, MeasuredAt: start}
	c.SetMean(few, start)
	is.Equal(c.Bound(start), 300*(1-reportOverlap)) // the eight missing endpoints count as idle
	few.MeasuredAt = start.Add(MaxMeanAge)
	c.SetMean(few, few.MeasuredAt)
	is.Equal(c.Bound(few.MeasuredAt), 1500*(1-reportOverlap)) // the pool has shrunk
}

// Guards against more unconfirmed work than the cold limit when the engine
// becomes cold under load without notice. Without the limit there is more.
func TestUnconfirmedWorkIsLimited(t *testing.T) {
	is := is.New(t)
	fill := func(c *Controller) int64 {
		for i := range 8 {
			c.Submit(start, newWork(Ticket(i), "a", 1500))
		}
		return c.Unconfirmed()
	}
	is.Equal(fill(warmController(100000)), int64(3000))
	off := warmController(100000)
	off.Disable(Disabled{ColdLimit: true})
	breaches := invariant.Breaches(invariant.ColdLimit)
	is.True(fill(off) > limits.ColdLimit)
	is.True(invariant.Breaches(invariant.ColdLimit) > breaches)
}

// Guards against a warm-up window that ignores late first tokens, does not grow
// again or grows to its full size at once.
func TestWarmupWindowShrinksAndGrows(t *testing.T) {
	is := is.New(t)
	c, now := warmController(100000), start
	c.Submit(now, newWork(1, "a", 10))
	now = now.Add(limits.WarmTime + time.Millisecond)
	c.Step(now)
	is.Equal(c.Window(), 1) // detected before the token arrives
	c.FirstToken(now, 1)
	is.Equal(c.Window(), 1) // one late token counts once
	var windows []int
	for i := range 7 {
		c.Submit(now, newWork(Ticket(10+i), "a", 10))
		c.FirstToken(now, Ticket(10+i))
		windows = append(windows, c.Window())
	}
	is.Equal(windows, []int{2, 4, 5, 6, 7, 8, 8})
}

// Guards against work that is admitted or stays queued while the gate is closed.
// Without the gate the invariant check reports it.
func TestClosedGateRefusesNewWork(t *testing.T) {
	is := is.New(t)
	for _, g := range []struct {
		gate   Gate
		reason model.Reason
	}{
		{Gate{DataCentreOut: true}, model.ReasonDataCentreOut},
		{Gate{Leaving: true}, model.ReasonLeaving},
		{Gate{Draining: true, Leaving: true}, model.ReasonDraining},
	} {
		c := warmController(100)
		is.True(isAdmitted(c.Submit(start, newWork(1, "a", 100)), 1))
		is.Equal(len(c.Submit(start, newWork(2, "a", 100))), 0) // queued
		c.SetGate(g.gate)
		out := c.Step(start)
		is.Equal(len(out), 1)
		is.Equal(out[0].Refusal.Reason, g.reason)
		is.Equal(c.Submit(start, newWork(3, "a", 1))[0].Refusal.Reason, g.reason)
		c.Done(start, 1)
		c.Disable(Disabled{Gate: true})
		breaches := invariant.Breaches(invariant.DataCentreOut) + invariant.Breaches(invariant.LeavingNoWork)
		is.True(isAdmitted(c.Submit(start, newWork(4, "a", 1)), 4))
		is.True(invariant.Breaches(invariant.DataCentreOut)+invariant.Breaches(invariant.LeavingNoWork) > breaches)
	}
}

// Guards against refusals without a load ratio, or with the same retry time for
// all callers.
func TestRefusalsCarryLoadRatioAndJitter(t *testing.T) {
	is := is.New(t)
	c := warmController(1000)
	values := []float64{0, 0.999}
	c.rand = func() float64 { v := values[0]; values = values[1:]; return v }
	c.Submit(start, newWork(1, "a", 1200))
	c.Submit(start, newWork(2, "a", 900))
	c.Submit(start, newWork(3, "a", 900))
	out := c.Step(start.Add(QueueWait))
	is.Equal(len(out), 2)
	is.Equal(out[0].Refusal.LoadRatio, 1.2)
	is.True(out[0].Refusal.RetryAfter != out[1].Refusal.RetryAfter)
}

// Guards against a surge of one workspace that displaces the requests of others
// from the queue or delays them. Without fairness they are displaced.
func TestSurgeLeavesHeadroomForOthers(t *testing.T) {
	is := is.New(t)
	surge := func(d Disabled) (position int) {
		c := warmController(1000)
		c.Disable(d)
		c.Submit(start, newWork(1, "surge", 1400))
		for i := range 100 {
			c.Submit(start, newWork(Ticket(100+i), "surge", 100))
		}
		c.Submit(start, newWork(2, "other", 100))
		for i, it := range c.queue.items {
			if it.Ticket == 2 {
				return i
			}
		}
		return -1
	}
	is.Equal(surge(Disabled{}), 1) // behind one request of the surge
	is.Equal(surge(Disabled{Fairness: true}), -1)
}

// Guards against work of a lower priority that is admitted before work of a
// higher one.
func TestHigherPriorityIsAdmittedFirst(t *testing.T) {
	is := is.New(t)
	c := warmController(1000)
	c.Submit(start, newWork(1, "a", 1400))
	c.Submit(start, newWork(2, "a", 1400))
	high := newWork(3, "b", 1500)
	high.Priority = 1
	c.Submit(start, high)
	out := c.Done(start, 1)
	is.Equal(len(out), 1)
	is.Equal(out[0].Ticket, Ticket(3))
}

// BenchmarkCapacityAdmit measures admission, first token and end of one request
// while 64 others run.
func BenchmarkCapacityAdmit(b *testing.B) {
	c := New(midJitter)
	c.SetLimits(Limits{LoadMultiple: 1e6, Slots: 512, ColdLimit: 1 << 40, WarmTime: time.Second})
	c.SetMean(Mean{PerEndpoint: 1e6, Endpoints: 10, MeasuredAt: start}, start.Add(-settleTime))
	for i := range 64 {
		c.Submit(start, newWork(Ticket(i), fmt.Sprint(i%16), 100))
		c.FirstToken(start, Ticket(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		t := Ticket(1000 + i)
		c.Submit(start, newWork(t, "a", 100))
		c.FirstToken(start, t)
		c.Done(start, t)
	}
}
