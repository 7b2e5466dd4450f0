package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func sample() lists.Rollout {
	return lists.Rollout{Pool: "chat", Old: "v1", New: "v2", FirstShare: 0.05, Steps: 4, Start: start, Deadline: start.Add(time.Hour), State: lists.RolloutActive}
}

// Guards against a share that falls back, grows early or misses the deadline.
func TestShareGrowsToOneBeforeTheDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		r := sample()
		r.FirstShare = rapid.Float64Range(0, 1).Draw(t, "first")
		r.Steps = rapid.IntRange(1, 20).Draw(t, "steps")
		last, enough := 0.0, false
		for m := range 61 {
			enough = enough || rapid.Bool().Draw(t, "enough")
			share := Share(r, start.Add(time.Duration(m)*time.Minute), enough)
			is.True(share >= last)                    // never falls
			is.True(m >= 30 || share <= r.FirstShare) // holds the first share
			last = share
		}
		is.Equal(last, 1.0)
	})
}

// Guards against chats that change their version more than once.
func TestChatMovesAtMostOnce(t *testing.T) {
	is := is.New(t)
	r := sample()
	for c := range 200 {
		moves, newer := 0, false
		for m := range 61 {
			now := UsesNew("r", fmt.Sprint(c), Share(r, start.Add(time.Duration(m)*time.Minute), true))
			if now != newer {
				moves++
			}
			newer = now
		}
		is.Equal(moves, 1)
	}
}

// Guards against a verdict that depends on the order in which processes learn it.
func TestVerdictJoinIsOrderFree(t *testing.T) {
	gen := rapid.Custom(func(t *rapid.T) Verdict {
		return Verdict{
			Suspended:      rapid.Bool().Draw(t, "suspended"),
			EnoughEvidence: rapid.Bool().Draw(t, "enough"),
			Route:          model.Route(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route")),
			New:            Counts{Failures: rapid.Int64Range(0, 3).Draw(t, "failures")},
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		a, b, c := gen.Draw(t, "a"), gen.Draw(t, "b"), gen.Draw(t, "c")
		left, right := a.Merge(b).Merge(c), c.Merge(a.Merge(b).Merge(a))
		is.Equal(left.Suspended, right.Suspended)
		is.Equal(left.EnoughEvidence, right.EnoughEvidence)
		is.Equal(left.Reason(), right.Reason())
		is.Equal(left.Evidence(), right.Evidence())
	})
}

// grow adds one window of evidence with the given fault rates in per cent.
func grow(e Evidence, route model.Route, newBad, oldBad int64) {
	e[Key{"r", "v2", route}] = e[Key{"r", "v2", route}].Add(Counts{Requests: 100, Failures: newBad})
	e[Key{"r", "v1", route}] = e[Key{"r", "v1", route}].Add(Counts{Requests: 1900, Failures: 19 * oldBad})
}

// Guards against a fault on one route that is averaged away by good routes.
func TestFaultOnOneRouteIsFound(t *testing.T) {
	is := is.New(t)
	j, e := NewJudge("r", sample()), Evidence{}
	for range 5 {
		grow(e, "good", 1, 1)
		grow(e, "bad", 20, 1)
		j.Observe(e, 0.1)
	}
	is.True(j.verdict.Suspended)
	is.Equal(j.verdict.Route, model.Route("bad"))
	is.Equal(j.verdict.Metric, MetricFailures)
}

// Guards against blaming the new version for a fault that hits both versions.
func TestCommonFaultIsNotBlamedOnTheNewVersion(t *testing.T) {
	is := is.New(t)
	j, e := NewJudge("r", sample()), Evidence{}
	for w := range 20 {
		bad := int64(1)
		if w > 10 {
			bad = 40
		}
		grow(e, "chat", bad, bad)
		is.True(!j.Observe(e, 0.1).Suspended)
	}
}

// Guards against a late fault that has to outweigh the whole good record.
func TestLateFaultIsFoundSoon(t *testing.T) {
	is := is.New(t)
	j, e := NewJudge("r", sample()), Evidence{}
	for w := range 500 {
		grow(e, "chat", 1, 1)
		is.True(!j.Observe(e, float64(w)/1000).Suspended)
	}
	windows := 0
	for !j.Observe(e, 0.5).Suspended {
		grow(e, "chat", 20, 1)
		windows++
		is.True(windows < 10)
	}
}

// Guards against evidence that a restarted side process reports anew being
// taken for new events, and against a latch that opens again.
func TestRestartOfCountsDoesNoHarm(t *testing.T) {
	is := is.New(t)
	j, e := NewJudge("r", sample()), Evidence{}
	for range 5 {
		grow(e, "chat", 30, 1)
		j.Observe(e, 0.1)
	}
	is.True(j.Observe(Evidence{}, 0.2).Suspended)
	j = NewJudge("r", sample())
	grow(e, "chat", 1, 1)
	j.Observe(e, 0.1)
	is.True(!NewJudge("r", sample()).Observe(Evidence{}, 0).Suspended)
}
