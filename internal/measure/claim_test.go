package measure

import (
	"log/slog"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/claim"
	"github.com/goldcrestturn/goldcrestturn/internal/entry"
	"github.com/goldcrestturn/goldcrestturn/internal/side"
)

// discardLogs drops the invariant violations that a run with a disabled
// mechanism logs.
func discardLogs(t *testing.T) {
	old := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Cleanup(func() { slog.SetDefault(old) })
}

func testEnv(t *testing.T) Env {
	return Env{Seed: 1, Bubble: func(f func()) { synctest.Test(t, func(*testing.T) { f() }) }}
}

// faultWorlds runs three worlds with the given faults.
func faultWorlds(env Env, faults []claimFault, disabled disabledMechanisms) claimTally {
	var sum claimTally
	for i := range uint64(3) {
		env.Bubble(func() { sum.add(newClaimRun(env.Seed+i, claimHistories, faults, disabled).run()) })
	}
	return sum
}

// Guards against a measurement that does not detect a second execution: without
// the read-back of the claim, calls with one key run twice.
func TestRunsOverOneAreSeenWithoutReadBack(t *testing.T) {
	is := is.New(t)
	faults := []claimFault{faultCallers, faultFleetNetwork}
	is.Equal(faultWorlds(testEnv(t), faults, disabledMechanisms{}).ranTwice, int64(0))
	discardLogs(t)
	disabled := disabledMechanisms{side: side.Disabled{Deduplicate: true, Claims: claim.Disabled{ReadBack: true}}}
	is.True(faultWorlds(testEnv(t), faults, disabled).ranTwice > 0)
}

// Guards against a measurement that does not detect a false "not run": without
// the void, an entry that ends its wait reports "not run" for calls that ran.
func TestFalseNotRunIsSeenWithoutVoid(t *testing.T) {
	is := is.New(t)
	faults := []claimFault{faultFleetNetwork, faultLogCalls, faultPause, faultOutage}
	is.Equal(faultWorlds(testEnv(t), faults, disabledMechanisms{}).falseNotRun, int64(0))
	is.True(faultWorlds(testEnv(t), faults, disabledMechanisms{entry: entry.Disabled{Void: true}}).falseNotRun > 0)
}

// Guards against a measurement that does not detect a wrong answer: without the
// relay's check, duplicate frames and frames of other requests reach the caller.
func TestWrongAnswersAreSeenWithoutFrameCheck(t *testing.T) {
	is := is.New(t)
	is.Equal(runAnswerWorlds(testEnv(t), 2, answerHistories, disabledMechanisms{}).wrong, int64(0))
	disabled := disabledMechanisms{entry: entry.Disabled{FrameCheck: true}}
	is.True(runAnswerWorlds(testEnv(t), 2, answerHistories, disabled).wrong > 0)
}

// Guards against a measurement that does not detect a request interrupted by a
// planned stop: without the drain, streams end together with their entry.
func TestCutsAreSeenWithoutDrain(t *testing.T) {
	is := is.New(t)
	is.Equal(runStopWorlds(testEnv(t), 1, stopHistories, disabledMechanisms{}).interrupted, int64(0))
	is.True(runStopWorlds(testEnv(t), 1, stopHistories, drainDisabled()).interrupted > 0)
}
