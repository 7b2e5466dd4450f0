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

func testRollout() lists.Rollout {
	return lists.Rollout{Pool: "chat", Old: "v1", New: "v2", FirstShare: 0.05, Steps: 4, Start: start, Deadline: start.Add(time.Hour), State: lists.RolloutActive}
}

// Guards against a share that decreases, grows early or does not reach 1 by the
// deadline.
func TestShareGrowsToOneBeforeTheDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		r := testRollout()
		r.FirstShare = rapid.Float64Range(0, 1).Draw(t, "first")
		r.Steps = rapid.IntRange(1, 20).Draw(t, "steps")
		last, enough := 0.0, false
		for m := range 61 {
			enough = enough || rapid.Bool().Draw(t, "enough")
			share := Share(r, start.Add(time.Duration(m)*time.Minute), enough)
			is.True(share >= last)                    // never decreases
			is.True(m >= 30 || share <= r.FirstShare) // keeps the first share
			last = share
		}
		is.Equal(last, 1.0)
	})
}

// Guards against chats that change their version more than once in a rollout.
func TestChatMovesAtMostOnce(t *testing.T) {
	is := is.New(t)
	r := testRollout()
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

// Guards against a merged verdict that depends on the order of the merges.
func TestVerdictMergeIsOrderIndependent(t *testing.T) {
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

// addWindow adds one window of evidence with the given failure rates in percent.
func addWindow(e Evidence, route model.Route, newBad, oldBad int64) {
	e[Key{"r", "v2", route}] = e[Key{"r", "v2", route}].Add(Counts{Requests: 100, Failures: newBad})
	e[Key{"r", "v1", route}] = e[Key{"r", "v1", route}].Add(Counts{Requests: 1900, Failures: 19 * oldBad})
}

// Guards against a regression on one route that is hidden by the average over all
// routes.
func TestRegressionOnOneRouteIsDetected(t *testing.T) {
	is := is.New(t)
	j, e := NewJudge("r", testRollout()), Evidence{}
	for range 5 {
		addWindow(e, "good", 1, 1)
		addWindow(e, "bad", 20, 1)
		j.Observe(e, 0.1)
	}
	is.True(j.verdict.Suspended)
	is.Equal(j.verdict.Route, model.Route("bad"))
	is.Equal(j.verdict.Metric, MetricFailures)
}

// Guards against a rollback of the new version for failures of both versions.
func TestFailuresOfBothVersionsAreNotARegression(t *testing.T) {
	is := is.New(t)
	j, e := NewJudge("r", testRollout()), Evidence{}
	for w := range 20 {
		bad := int64(1)
		if w > 10 {
			bad = 40
		}
		addWindow(e, "chat", bad, bad)
		is.True(!j.Observe(e, 0.1).Suspended)
	}
}

// Guards against a late regression that has to outweigh all earlier evidence.
func TestLateRegressionIsDetectedSoon(t *testing.T) {
	is := is.New(t)
	j, e := NewJudge("r", testRollout()), Evidence{}
	for w := range 500 {
		addWindow(e, "chat", 1, 1)
		is.True(!j.Observe(e, float64(w)/1000).Suspended)
	}
	windows := 0
	for !j.Observe(e, 0.5).Suspended {
		addWindow(e, "chat", 20, 1)
		windows++
		is.True(windows < 10)
	}
}

// Guards against counts that a restarted side process reports from zero being
// treated as new events, and against a suspended verdict that is lifted.
func TestCounterResetsAreTolerated(t *testing.T) {
	is := is.New(t)
	j, e := NewJudge("r", testRollout()), Evidence{}
	for range 5 {
		addWindow(e, "chat", 30, 1)
		j.Observe(e, 0.1)
	}
	is.True(j.Observe(Evidence{}, 0.2).Suspended)
	j = NewJudge("r", testRollout())
	addWindow(e, "chat", 1, 1)
	j.Observe(e, 0.1)
	is.True(!NewJudge("r", testRollout()).Observe(Evidence{}, 0).Suspended)
}
