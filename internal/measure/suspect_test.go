package measure

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a suspect scenario that passes without crash notices: with all
// processes partitioned from the exchange, each entry learns only from its own
// failures, and more than 3 endpoints crash.
func TestCrashNoticesAreNeeded(t *testing.T) {
	worst := 0
	for seed := uint64(0); seed < 5 && worst <= exMaxCrashed; seed++ {
		synctest.Test(t, func(*testing.T) {
			c := suspectCase{poisons: 1, logDown: true, noExchange: true, crashTime: 5 * time.Millisecond}
			worst = max(worst, runSuspects(Env{Seed: seed}, exUsers[1], c).crashed)
		})
	}
	is.New(t).True(worst > exMaxCrashed)
}
