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

// quiet drops the breaches that a run without a mechanism logs.
func quiet(t *testing.T) {
	old := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Cleanup(func() { slog.SetDefault(old) })
}

func testEnv(t *testing.T) Env {
	return Env{Seed: 1, Bubble: func(f func()) { synctest.Test(t, func(*testing.T) { f() }) }}
}

// faultWorlds runs three worlds with the given faults.
func faultWorlds(env Env, faults []claimFault, wo without) claimTally {
	var sum claimTally
	for i := range uint64(3) {
		env.Bubble(func() { sum.add(newClaimRun(env.Seed+i, claimHistories, faults, wo).run()) })
	}
	return sum
}

// Guards against a measurement that cannot see a second run: without the
// reading back of the claim, calls with one key run twice.
func TestRunsOverOneAreSeenWithoutReadBack(t *testing.T) {
	is := is.New(t)
	faults := []claimFault{faultCallers, faultFleetNet}
	is.Equal(faultWorlds(testEnv(t), faults, without{}).twice, int64(0))
	quiet(t)
	off := without{side: side.Disabled{Deduplicate: true, Claims: claim.Disabled{ReadBack: true}}}
	is.True(faultWorlds(testEnv(t), faults, off).twice > 0)
}

// Guards against a measurement that cannot see a false "not run": without the
// void, an entry that gives up says it of calls that ran.
func TestFalseNotRunIsSeenWithoutVoid(t *testing.T) {
	is := is.New(t)
	faults := []claimFault{faultFleetNet, faultLogCalls, faultPause, faultOutage}
	is.Equal(faultWorlds(testEnv(t), faults, without{}).falseNot, int64(0))
	is.True(faultWorlds(testEnv(t), faults, without{entry: entry.Disabled{Void: true}}).falseNot > 0)
}

// Guards against a measurement that cannot see a wrong answer: without the
// relay's check, frames of other requests and duplicates reach the caller.
func TestWrongAnswersAreSeenWithoutFrameCheck(t *testing.T) {
	is := is.New(t)
	is.Equal(runAnswerWorlds(testEnv(t), 2, answerHistories, without{}).wrong, int64(0))
	off := without{entry: entry.Disabled{FrameCheck: true}}
	is.True(runAnswerWorlds(testEnv(t), 2, answerHistories, off).wrong > 0)
}

// Guards against a measurement that cannot see a request that a planned stop
// cuts: without the drain, streams end with their entry.
func TestCutsAreSeenWithoutDrain(t *testing.T) {
	is := is.New(t)
	is.Equal(runStopWorlds(testEnv(t), 1, stopHistories, without{}).cut, int64(0))
	is.True(runStopWorlds(testEnv(t), 1, stopHistories, withoutDrain()).cut > 0)
}
