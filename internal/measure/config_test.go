package measure

import (
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
)

// Guards against zeros that hold whatever the code does: each safeguard is
// removed in turn, and the same histories must then show what it prevents.
func TestHistoriesFailWithoutTheirSafeguards(t *testing.T) {
	const n = 60
	run := func(m config.Mechanism) historyCount {
		return runSharded(1, configUsers[0], n, historyFaults{without: m})
	}
	c := run("")
	is.New(t).Equal([]int{c.reverts, c.different, c.winners, c.unstarted}, []int{0, 0, 0, 0})
	for _, removed := range []struct {
		mechanism config.Mechanism
		shows     func(historyCount) int
	}{
		{config.BaseRule, func(c historyCount) int { return c.winners }},
		{config.ProofRule, func(c historyCount) int { return c.different }},
		{config.Monotone, func(c historyCount) int { return c.reverts }},
		{config.ListCheck, func(c historyCount) int { return c.different }},
		{config.GapCheck, func(c historyCount) int { return c.different + c.unstarted }},
	} {
		t.Run(string(removed.mechanism), func(t *testing.T) {
			c := run(removed.mechanism)
			t.Logf("%+v", c)
			is.New(t).True(removed.shows(c) > 0)
		})
	}
}
