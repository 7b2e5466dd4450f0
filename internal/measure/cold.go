package measure

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/admit"
)

func coldScenarios() []Scenario {
	return []Scenario{
		{"cold/kauri", func(env Env) []Figure { return coldFigures(fleetSizes[0], env.Seed) }},
		{"cold/kalesa", func(env Env) []Figure { return coldFigures(fleetSizes[1], env.Seed) }},
	}
}

// coldRunTime is the length of the runs with cold endpoints.
const coldRunTime = 240 * time.Second

// coldCases returns the ways in which endpoints become cold. The fleet is not
// notified of any of them.
func coldCases() []churn {
	return []churn{
		{name: "one_by_one", apply: func(r *routingRun) {
			for i, en := range r.engines {
				r.at(epoch.Add(100*time.Second+time.Duration(i)*4*time.Second), func() { r.dropCache(en) })
			}
		}},
		{name: "all_at_start", apply: func(r *routingRun) {
			for _, en := range r.engines {
				r.at(epoch, func() { r.makeCold(en, 60*time.Second) })
			}
		}},
		{name: "all_at_once", apply: func(r *routingRun) {
			for _, en := range r.engines {
				r.at(epoch.Add(150*time.Second), func() { r.dropCache(en) })
			}
		}},
		{name: "restarts", apply: func(r *routingRun) {
			for i, en := range r.engines {
				r.at(epoch.Add(100*time.Second+time.Duration(i)*5*time.Second), func() { r.restart(en, 3*time.Second, true) })
			}
		}},
	}
}

// dropCache makes an engine lose its cache and become cold, without notice and
// without a restart.
func (r *routingRun) dropCache(en *simEngine) {
	en.cache = newPrefixCache(cacheLimit)
	r.makeCold(en, coldTime)
}

func coldFigures(size fleetSize, seed uint64) []Figure {
	cases := coldCases()
	with, without := make([]*routingRun, len(cases)), make([]*routingRun, len(cases))
	var g errgroup.Group // the runs share no state, so their order does not matter
	for i, c := range cases {
		g.Go(func() error { with[i] = coldRun(size, seed, c, admit.Disabled{}); return nil })
		g.Go(func() error { without[i] = coldRun(size, seed, c, admit.Disabled{ColdLimit: true}); return nil })
	}
	_ = g.Wait()
	var out []Figure
	for i, c := range cases {
		over, peak := with[i].overloads()
		overWithout, peakWithout := without[i].overloads()
		name := "cold/" + size.name + "/" + c.name
		out = append(out,
			Figure{Name: name + "/overloads", Value: float64(over), Unit: "engines", Relation: Equal,
				Baseline: fmt.Sprintf("without the limit %d of %d", overWithout, size.engines)},
			Figure{Name: name + "/peak", Value: peak, Unit: "of_limit", Relation: AtMost, Target: 1,
				Baseline: fmt.Sprintf("without the limit %.1f; refusals %d, callers that gave up %d of %d",
					peakWithout, with[i].stats.refused, with[i].stats.gaveUp, with[i].stats.arrived)})
	}
	return out
}

func coldRun(size fleetSize, seed uint64, c churn, disabled admit.Disabled) *routingRun {
	return shortRun(size, seed, c, method{name: "fleet", disabled: disabled}, coldRunTime)
}

// shortRun runs the load up to a given time.
func shortRun(size fleetSize, seed uint64, c churn, m method, end time.Duration) *routingRun {
	var load []turn
	for _, t := range turns(size, seed, c.surge) {
		if t.at < end {
			load = append(load, t)
		}
	}
	r := newRun(size, m, seed)
	r.recordWorkspaces(load)
	c.apply(r)
	r.start(load)
	return r
}

// overloads returns the number of engines whose pending prefill exceeded the
// cold limit while they were cold, and the highest ratio of pending prefill to
// the limit.
func (r *routingRun) overloads() (count int, peak float64) {
	for _, en := range r.engines {
		ratio := float64(en.coldPeak) / float64(poolLimits.ColdLimit)
		peak = max(peak, ratio)
		if ratio > 1 {
			count++
		}
	}
	return count, peak
}
