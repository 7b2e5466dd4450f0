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

// coldEnd is the length of the runs with cold endpoints.
const coldEnd = 240 * time.Second

// coldCases are ways in which endpoints become cold. None of them tells the
// fleet.
func coldCases() []churn {
	return []churn{
		{name: "one_by_one", apply: func(r *routingRun) {
			for i, en := range r.engines {
				r.at(epoch.Add(100*time.Second+time.Duration(i)*4*time.Second), func() { r.dropCache(en) })
			}
		}},
		{name: "all_at_start", apply: func(r *routingRun) {
			for _, en := range r.engines {
				r.at(epoch, func() { r.turnCold(en, 60*time.Second) })
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

// dropCache makes an engine cold with no notice while it goes on working.
func (r *routingRun) dropCache(en *simEngine) {
	en.cache = newPrefixCache(cacheLimit)
	r.turnCold(en, coldTime)
}

func coldFigures(size fleetSize, seed uint64) []Figure {
	cases := coldCases()
	with, without := make([]*routingRun, len(cases)), make([]*routingRun, len(cases))
	var g errgroup.Group // the runs share nothing, so their order does not matter
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
					peakWithout, with[i].stats.refused, with[i].stats.given, with[i].stats.arrived)})
	}
	return out
}

func coldRun(size fleetSize, seed uint64, c churn, s admit.Disabled) *routingRun {
	return shortRun(size, seed, c, method{name: "fleet", switches: s}, coldEnd)
}

// shortRun runs the first part of a load.
func shortRun(size fleetSize, seed uint64, c churn, m method, end time.Duration) *routingRun {
	var load []turn
	for _, t := range turns(size, seed, c.surge) {
		if t.at < end {
			load = append(load, t)
		}
	}
	r := newRun(size, m, seed)
	r.noteWorkspaces(load)
	c.apply(r)
	r.start(load)
	return r
}

// overloads returns the number of engines that had more to compute while cold
// than a cold one bears, and the highest amount over what it bears.
func (r *routingRun) overloads() (count int, peak float64) {
	for _, en := range r.engines {
		of := float64(en.coldPeak) / float64(poolLimits.ColdLimit)
		peak = max(peak, of)
		if of > 1 {
			count++
		}
	}
	return count, peak
}
