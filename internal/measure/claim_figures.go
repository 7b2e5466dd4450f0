package measure

import (
	"fmt"
	"math"

	"github.com/goldcrestturn/goldcrestturn/internal/entry"
	"github.com/goldcrestturn/goldcrestturn/internal/side"
	"github.com/goldcrestturn/goldcrestturn/internal/standin"
)

// saturate bounds a count so that it prints the same on every run: the number
// of calls that a fault affects depends on the scheduling of goroutines.
func saturate(n int64, limit int64) float64 { return float64(min(n, limit)) }

// minFaultCount is the number of faults from which a kind counts as covered.
const minFaultCount = 20

func claimScenario(env Env) []Figure {
	sum := runClaimWorlds(env, claimWorlds, claimHistories, disabledMechanisms{})
	baseline := runClaimWorlds(env, 4, claimHistories, barrierDisabled())
	out := []Figure{
		{Name: "state/claims/histories", Value: float64(sum.histories), Unit: "keys"},
		{Name: "state/claims/runs_over_one", Value: float64(sum.ranTwice), Unit: "keys", Relation: Equal,
			Baseline: fmt.Sprintf("at least %g of %d without claims and deduplication", saturate(baseline.ranTwice, 5), baseline.histories)},
		{Name: "state/claims/false_not_run", Value: float64(sum.falseNotRun), Unit: "answers", Relation: Equal},
		{Name: "state/claims/wrong_answers", Value: float64(sum.wrong), Unit: "answers", Relation: Equal},
		{Name: "state/claims/keys_that_ran_share", Value: math.Floor(10*float64(sum.runs)/float64(sum.histories)) / 10, Unit: "at least"},
		{Name: "state/claims/owners_paused", Value: float64(sum.planned[faultPause]), Unit: "faults"},
		{Name: "state/claims/sides_replaced", Value: float64(sum.planned[faultReplace]), Unit: "faults"},
		{Name: "state/claims/log_outages", Value: float64(sum.planned[faultOutage]), Unit: "faults"},
		{Name: "state/claims/planned_stops", Value: float64(sum.planned[faultStop]), Unit: "faults"},
		{Name: "state/claims/appends_lost", Value: saturate(sum.lost, minFaultCount), Unit: "at least"},
		{Name: "state/claims/appends_late", Value: saturate(sum.late, minFaultCount), Unit: "at least"},
	}
	out = append(out, faultKinds("state/claims", sum.injected))
	return append(out, claimCost(env)...)
}

// faultKinds returns the number of kinds of network fault that were injected at
// least minFaultCount times.
func faultKinds(name string, injected [standin.FaultCount]int64) Figure {
	kinds := 0
	for _, n := range injected {
		if n >= minFaultCount {
			kinds++
		}
	}
	return Figure{Name: name + "/network_fault_kinds", Value: float64(kinds), Unit: fmt.Sprintf("of %d", standin.FaultCount)}
}

func barrierDisabled() disabledMechanisms {
	return disabledMechanisms{side: side.Disabled{Barrier: true, Deduplicate: true}}
}

// claimCost compares a run without faults with and without the barrier.
func claimCost(env Env) []Figure {
	var with, baseline claimTally
	env.Bubble(func() { with = newClaimRun(env.Seed, costCalls, nil, disabledMechanisms{}).run() })
	env.Bubble(func() { baseline = newClaimRun(env.Seed, costCalls, nil, barrierDisabled()).run() })
	ms := func(t claimTally) float64 {
		return math.Round(t.latency.Seconds() * 1000)
	}
	perSecond := math.Round(float64(with.appends) / (claimSpread).Seconds())
	return []Figure{
		{Name: "state/claims/latency", Value: ms(with), Unit: "ms", Baseline: fmt.Sprintf("%g ms without the barrier", ms(baseline))},
		{Name: "state/claims/appends", Value: perSecond, Unit: "1/s", Relation: AtMost, Target: appendBudget,
			Baseline: fmt.Sprintf("%g without the barrier; %d calls and their repeats in %s", saturate(baseline.appends, 1), costCalls, claimSpread)},
	}
}

const (
	costCalls    = 400
	appendBudget = 300 // appends a second of the whole fleet; the default of append_budget
)

func answerScenario(env Env) []Figure {
	sum := runAnswerWorlds(env, answerWorlds, answerHistories, disabledMechanisms{})
	baseline := runAnswerWorlds(env, 2, answerHistories, disabledMechanisms{entry: entry.Disabled{FrameCheck: true}})
	return []Figure{
		{Name: "state/answers/histories", Value: float64(sum.histories), Unit: "chats"},
		{Name: "state/answers/wrong_or_short", Value: float64(sum.wrong), Unit: "answers", Relation: Equal,
			Baseline: fmt.Sprintf("at least %g of %d without the relay's check", saturate(baseline.wrong, 5), baseline.histories)},
		{Name: "state/answers/unfinished", Value: float64(sum.unfinished), Unit: "chats", Relation: Equal},
		{Name: "state/answers/resumed_by_callers", Value: saturate(sum.resumed, 100), Unit: "at least"},
		{Name: "state/answers/sides_replaced", Value: float64(sum.planned[answerFaultReplace]), Unit: "faults"},
		{Name: "state/answers/slow_callers", Value: float64(sum.planned[answerFaultSlowCallers]), Unit: "callers"},
		faultKinds("state/answers", sum.injected),
	}
}

func stopScenario(env Env) []Figure {
	sum := runStopWorlds(env, stopWorlds, stopHistories, disabledMechanisms{})
	baseline := runStopWorlds(env, 2, stopHistories, drainDisabled())
	return []Figure{
		{Name: "state/stops/requests", Value: float64(sum.requests), Unit: "requests"},
		{Name: "state/stops/cut", Value: float64(sum.interrupted), Unit: "requests", Relation: Equal,
			Baseline: fmt.Sprintf("at least %g of %d without the drain", saturate(baseline.interrupted, 3), baseline.requests)},
		{Name: "state/stops/entries", Value: float64(sum.entries), Unit: "stops"},
		{Name: "state/stops/sides", Value: float64(sum.sides), Unit: "stops"},
		{Name: "state/stops/leaving_marks", Value: float64(sum.marks), Unit: "marks"},
		{Name: "state/stops/short_drains", Value: float64(sum.moved), Unit: "stops"},
	}
}

func drainDisabled() disabledMechanisms {
	return disabledMechanisms{side: side.Disabled{Drain: true}, entry: entry.Disabled{Drain: true}}
}
