package measure

import (
	"fmt"
	"math"

	"github.com/goldcrestturn/goldcrestturn/internal/entry"
	"github.com/goldcrestturn/goldcrestturn/internal/side"
	"github.com/goldcrestturn/goldcrestturn/internal/standin"
)

// saturate bounds a count so that it prints the same on every run: how many
// faults meet a call depends on the scheduling of goroutines.
func saturate(n int64, limit int64) float64 { return float64(min(n, limit)) }

// manyFaults is the count from which a kind of fault is taken as well covered.
const manyFaults = 20

func claimScenario(env Env) []Figure {
	sum := runClaimWorlds(env, claimWorlds, claimHistories, without{})
	plain := runClaimWorlds(env, 4, claimHistories, noBarrier())
	out := []Figure{
		{Name: "state/claims/histories", Value: float64(sum.histories), Unit: "keys"},
		{Name: "state/claims/runs_over_one", Value: float64(sum.twice), Unit: "keys", Relation: Equal,
			Baseline: fmt.Sprintf("at least %g of %d without claims and deduplication", saturate(plain.twice, 5), plain.histories)},
		{Name: "state/claims/false_not_run", Value: float64(sum.falseNot), Unit: "answers", Relation: Equal},
		{Name: "state/claims/wrong_answers", Value: float64(sum.wrong), Unit: "answers", Relation: Equal},
		{Name: "state/claims/keys_that_ran_share", Value: math.Floor(10*float64(sum.runs)/float64(sum.histories)) / 10, Unit: "at least"},
		{Name: "state/claims/owners_paused", Value: float64(sum.planned[faultPause]), Unit: "faults"},
		{Name: "state/claims/sides_replaced", Value: float64(sum.planned[faultReplace]), Unit: "faults"},
		{Name: "state/claims/log_outages", Value: float64(sum.planned[faultOutage]), Unit: "faults"},
		{Name: "state/claims/planned_stops", Value: float64(sum.planned[faultStop]), Unit: "faults"},
		{Name: "state/claims/appends_lost", Value: saturate(sum.lost, manyFaults), Unit: "at least"},
		{Name: "state/claims/appends_late", Value: saturate(sum.late, manyFaults), Unit: "at least"},
	}
	out = append(out, faultKinds("state/claims", sum.injected))
	return append(out, claimCost(env)...)
}

// faultKinds is the number of kinds of network fault that came often.
func faultKinds(name string, injected [standin.FaultCount]int64) Figure {
	kinds := 0
	for _, n := range injected {
		if n >= manyFaults {
			kinds++
		}
	}
	return Figure{Name: name + "/network_fault_kinds", Value: float64(kinds), Unit: fmt.Sprintf("of %d", standin.FaultCount)}
}

func noBarrier() without {
	return without{side: side.Disabled{Barrier: true, Deduplicate: true}}
}

// claimCost compares a run without faults with and without the barrier.
func claimCost(env Env) []Figure {
	var with, plain claimTally
	env.Bubble(func() { with = newClaimRun(env.Seed, costCalls, nil, without{}).run() })
	env.Bubble(func() { plain = newClaimRun(env.Seed, costCalls, nil, noBarrier()).run() })
	ms := func(t claimTally) float64 {
		return math.Round(t.latency.Seconds() * 1000)
	}
	perSecond := math.Round(float64(with.appends) / (claimSpread).Seconds())
	return []Figure{
		{Name: "state/claims/latency", Value: ms(with), Unit: "ms", Baseline: fmt.Sprintf("%g ms without the barrier", ms(plain))},
		{Name: "state/claims/appends", Value: perSecond, Unit: "1/s", Relation: AtMost, Target: appendBudget,
			Baseline: fmt.Sprintf("%g without the barrier; %d calls and their repeats in %s", saturate(plain.appends, 1), costCalls, claimSpread)},
	}
}

const (
	costCalls    = 400
	appendBudget = 300 // appends a second of the whole fleet, the default of append_budget
)

func answerScenario(env Env) []Figure {
	sum := runAnswerWorlds(env, answerWorlds, answerHistories, without{})
	plain := runAnswerWorlds(env, 2, answerHistories, without{entry: entry.Disabled{FrameCheck: true}})
	return []Figure{
		{Name: "state/answers/histories", Value: float64(sum.histories), Unit: "chats"},
		{Name: "state/answers/wrong_or_short", Value: float64(sum.wrong), Unit: "answers", Relation: Equal,
			Baseline: fmt.Sprintf("at least %g of %d without the relay's check", saturate(plain.wrong, 5), plain.histories)},
		{Name: "state/answers/unfinished", Value: float64(sum.unfinished), Unit: "chats", Relation: Equal},
		{Name: "state/answers/resumed_by_callers", Value: saturate(sum.resumed, 100), Unit: "at least"},
		{Name: "state/answers/sides_replaced", Value: float64(sum.planned[answerReplace]), Unit: "faults"},
		{Name: "state/answers/slow_callers", Value: float64(sum.planned[answerSlow]), Unit: "callers"},
		faultKinds("state/answers", sum.injected),
	}
}

func stopScenario(env Env) []Figure {
	sum := runStopWorlds(env, stopWorlds, stopHistories, without{})
	plain := runStopWorlds(env, 2, stopHistories, withoutDrain())
	return []Figure{
		{Name: "state/stops/requests", Value: float64(sum.requests), Unit: "requests"},
		{Name: "state/stops/cut", Value: float64(sum.cut), Unit: "requests", Relation: Equal,
			Baseline: fmt.Sprintf("at least %g of %d without the drain", saturate(plain.cut, 3), plain.requests)},
		{Name: "state/stops/entries", Value: float64(sum.entries), Unit: "stops"},
		{Name: "state/stops/sides", Value: float64(sum.sides), Unit: "stops"},
		{Name: "state/stops/leaving_marks", Value: float64(sum.marks), Unit: "marks"},
		{Name: "state/stops/short_drains", Value: float64(sum.moved), Unit: "stops"},
	}
}

func withoutDrain() without {
	return without{side: side.Disabled{Drain: true}, entry: entry.Disabled{Drain: true}}
}
