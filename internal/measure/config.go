package measure

import (
	"fmt"
	"runtime"

	"golang.org/x/sync/errgroup"
)

func configScenarios() []Scenario {
	return []Scenario{
		{Name: "config/history", Run: configHistories},
		{Name: "config/time", Run: configTimes},
	}
}

// configUser is the size of the fleet of one of the first users.
type configUser struct {
	name           string
	entries, sides int
}

var configUsers = []configUser{{"kauri", 3, 13}, {"kalesa", 4, 24}}

// historyShards is the number of shards into which the histories of a user are
// split. The shards run in parallel, with the same result for the same seed.
const historyShards = 20

// configHistories runs the random histories of both users.
func configHistories(env Env) []Figure {
	var out []Figure
	for u, user := range configUsers {
		c := runSharded(env.Seed+uint64(u)<<32, user, historiesPerUser, historyOptions{})
		out = append(out, c.figures("config/history/"+user.name)...)
	}
	return out
}

func runSharded(seed uint64, user configUser, n int, options historyOptions) historyCount {
	counts := make([]historyCount, historyShards)
	var g errgroup.Group
	g.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	for i := range counts {
		g.Go(func() error {
			counts[i] = runHistories(seed+uint64(i)<<16, user.entries, user.sides, n/historyShards, options)
			return nil
		})
	}
	_ = g.Wait()
	var sum historyCount
	for _, c := range counts {
		sum.add(c)
	}
	return sum
}

func (c *historyCount) add(o historyCount) {
	c.histories += o.histories
	c.operations += o.operations
	c.records += o.records
	c.snapshots += o.snapshots
	c.races += o.races
	c.lostAnswers += o.lostAnswers
	c.restarts += o.restarts
	c.outages += o.outages
	c.restartsInOutage += o.restartsInOutage
	c.trims += o.trims
	c.gaps += o.gaps
	c.foundings += o.foundings
	c.pauses += o.pauses
	c.badRecords += o.badRecords
	c.twoFaults += o.twoFaults
	c.reverts += o.reverts
	c.unrecoverable += o.unrecoverable
	c.different += o.different
	c.doubleWinners += o.doubleWinners
	c.unconfigured += o.unconfigured
}

func (c historyCount) figures(prefix string) []Figure {
	var out []Figure
	info := func(name string, n int) {
		out = append(out, Figure{Name: prefix + "/" + name, Value: float64(n), Unit: "count"})
	}
	zero := func(name string, n int) {
		baseline := fmt.Sprintf("%d operations, %d restarts, %d outages", c.operations, c.restarts, c.outages)
		out = append(out, Figure{Name: prefix + "/" + name, Value: float64(n), Unit: "count", Relation: Equal, Baseline: baseline})
	}
	info("histories", c.histories)
	info("operations", c.operations)
	info("records", c.records)
	info("snapshots", c.snapshots)
	info("races", c.races)
	info("lost_answers", c.lostAnswers)
	info("restarts", c.restarts)
	info("restarts_in_outage", c.restartsInOutage)
	info("outages", c.outages)
	info("trims", c.trims)
	info("gaps", c.gaps)
	info("histories_that_needed_founding", c.foundings)
	info("pauses", c.pauses)
	info("bad_records", c.badRecords)
	info("steps_with_two_faults", c.twoFaults)
	info("restarts_no_source_could_tell", c.unrecoverable)
	zero("reverts", c.reverts)
	zero("different", c.different)
	zero("second_winners", c.doubleWinners)
	zero("unstarted", c.unconfigured)
	return out
}
