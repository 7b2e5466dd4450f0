package measure

import (
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
)

// Guards against figures that are zero whatever the code does: with each
// mechanism disabled in turn, the same histories must show the failure that the
// mechanism prevents.
func TestHistoriesFailWithoutTheirMechanisms(t *testing.T) {
	const n = 60
	run := func(m config.Mechanism) historyCount {
		return runSharded(1, configUsers[0], n, historyOptions{disabled: m})
	}
	c := run("")
	is.New(t).Equal([]int{c.reverts, c.different, c.doubleWinners, c.unconfigured}, []int{0, 0, 0, 0})
	for _, disabled := range []struct {
		mechanism config.Mechanism
		failures  func(historyCount) int
	}{
		{config.BaseRule, func(c historyCount) int { return c.doubleWinners }},
		{config.ProofRule, func(c historyCount) int { return c.different }},
		{config.Monotone, func(c historyCount) int { return c.reverts }},
		{config.ListCheck, func(c historyCount) int { return c.different }},
		{config.GapCheck, func(c historyCount) int { return c.different + c.unconfigured }},
	} {
		t.Run(string(disabled.mechanism), func(t *testing.T) {
			c := run(disabled.mechanism)
			t.Logf("%+v", c)
			is.New(t).True(disabled.failures(c) > 0)
		})
	}
}
