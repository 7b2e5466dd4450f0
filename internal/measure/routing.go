package measure

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/admit"
	"github.com/goldcrestturn/goldcrestturn/internal/choose"
)

// Targets of docs/design.md, section 2.
const (
	reuseSteady = 0.95 // of the ideal, without churn
	reuseChurn  = 0.85 // of the ideal, during churn
	// maxWaitOfOthers bounds the 99th percentile of the time to admission for
	// workspaces that do not surge. It is half of the target for the time to the
	// first token.
	maxWaitOfOthers = 360 * time.Millisecond
)

func routingScenarios() []Scenario {
	return slices.Concat([]Scenario{
		{"routing/kauri", func(env Env) []Figure { return routingFigures(fleetSizes[0], env.Seed) }},
		{"routing/kalesa", func(env Env) []Figure { return routingFigures(fleetSizes[1], env.Seed) }},
	}, coldScenarios(), centreScenarios())
}

// methods returns the fleet, the ideal and the baselines, in this order.
func methods(disabled admit.Disabled) []method {
	out := []method{{name: "fleet", disabled: disabled}, {name: "ideal", ideal: true}}
	for _, b := range choose.Baselines() {
		out = append(out, method{name: b.Name, baseline: &b})
	}
	return out
}

// comparison holds one run of each method, all with the same load and churn.
type comparison struct{ runs []*routingRun }

func compare(size fleetSize, seed uint64, c churn, ms []method) comparison {
	load := turns(size, seed, c.surge)
	out := comparison{runs: make([]*routingRun, len(ms))}
	var g errgroup.Group // the runs share no state, so their order does not matter
	for i, m := range ms {
		g.Go(func() error {
			r := newRun(size, m, seed)
			r.recordWorkspaces(load)
			r.surge = c.surge
			c.apply(r)
			r.start(load)
			out.runs[i] = r
			return nil
		})
	}
	_ = g.Wait()
	return out
}

// reuse returns the fraction of prompt units that were in the cache.
func (r *routingRun) reuse() float64 { return float64(r.stats.cached) / float64(r.stats.prompt) }

func (c comparison) fleet() *routingRun { return c.runs[0] }

// ofIdeal returns the reuse of run i relative to that of the ideal.
func (c comparison) ofIdeal(i int) float64 { return c.runs[i].reuse() / c.runs[1].reuse() }

// baselines formats the reuse of the baselines relative to that of the ideal and
// their highest load relative to the bound.
func (c comparison) baselines() string {
	var parts []string
	for i, r := range c.runs[2:] {
		parts = append(parts, fmt.Sprintf("%s %.3f (load %.1f)", r.method.name, c.ofIdeal(i+2), r.observer.worst))
	}
	return strings.Join(parts, ", ")
}

func routingFigures(size fleetSize, seed uint64) []Figure {
	name := func(s string) string { return "routing/" + size.name + "/" + s }
	ms := methods(admit.Disabled{})
	steady := compare(size, seed, churn{name: "steady", apply: func(*routingRun) {}}, ms)
	out := []Figure{{Name: name("reuse_steady"), Value: steady.ofIdeal(0), Unit: "of_ideal", Relation: AtLeast, Target: reuseSteady, Baseline: steady.baselines()}}
	out = append(out, lowLoadFigure(name("reuse_low_load"), size, seed, ms))
	worst := steady.fleet().observer.worst
	total := make([]float64, len(ms)) // by method: sum of the reuse of all churns
	var churnCount float64
	lost, notBeaten := 0, 0
	for _, ch := range churns() {
		c := compare(size, seed, ch, ms)
		out = append(out, Figure{Name: name("reuse_" + ch.name), Value: c.ofIdeal(0), Unit: "of_ideal", Relation: AtLeast, Target: reuseChurn, Baseline: c.baselines()})
		for i, r := range c.runs {
			total[i] += r.reuse()
		}
		churnCount++
		worst = max(worst, c.fleet().observer.worst)
		lost += c.fleet().lost()
		switch ch.name {
		case "leave_return":
			out = append(out,
				Figure{Name: name("refused_leave_return"), Value: float64(c.fleet().stats.refused), Unit: "refusals", Baseline: fmt.Sprintf("of %d requests; callers that gave up %d", c.fleet().stats.answered, c.fleet().stats.gaveUp)},
				Figure{Name: name("lost_leave_return"), Value: float64(c.fleet().lost()), Unit: "requests", Relation: Equal},
				Figure{Name: name("moved_chats"), Value: float64(c.fleet().stats.exported), Unit: "chats", Baseline: fmt.Sprintf("pulled on demand %d", c.fleet().stats.transferred)})
		case "surge":
			out = append(out, surgeFigures(name, c.fleet(), size, seed, ch)...)
		}
	}
	over := compare(size, seed, overCapacity(), ms)
	out = append(out, Figure{Name: name("reuse_surge_over_capacity"), Value: over.ofIdeal(0), Unit: "of_ideal", Relation: AtLeast, Target: reuseChurn, Baseline: over.baselines()})
	best := slices.Max(total[2:])
	for _, t := range total[2:] {
		if t >= total[0] {
			notBeaten++
		}
	}
	return append(out,
		Figure{Name: name("reuse_churn"), Value: total[0] / total[1], Unit: "of_ideal", Relation: AtLeast, Target: reuseChurn, Baseline: totals(ms, total)},
		Figure{Name: name("churn_lead"), Value: (total[0] - best) / churnCount, Unit: "reuse", Baseline: "over the best baseline"},
		Figure{Name: name("churn_baselines_not_beaten"), Value: float64(notBeaten), Unit: "methods", Relation: Equal},
		Figure{Name: name("load_over_bound"), Value: worst, Unit: "ratio", Relation: AtMost, Target: 1},
		Figure{Name: name("lost_churn"), Value: float64(lost), Unit: "requests", Relation: Equal})
}

// lowLoadFigure returns the reuse with about 2 running requests an engine. With
// such a low mean load the bound makes many chats overflow to another engine.
func lowLoadFigure(name string, size fleetSize, seed uint64, ms []method) Figure {
	size.rate /= 9
	size.chats /= 9
	c := compare(size, seed, churn{name: "low_load", apply: func(*routingRun) {}}, ms)
	return Figure{Name: name, Value: c.ofIdeal(0), Unit: "of_ideal", Baseline: fmt.Sprintf("%s; refusals %d of %d", c.baselines(), c.fleet().stats.refused, c.fleet().stats.arrived)}
}

// totals formats the total reuse of the baselines relative to that of the ideal.
func totals(ms []method, total []float64) string {
	var parts []string
	for i := 2; i < len(ms); i++ {
		parts = append(parts, fmt.Sprintf("%s %.3f", ms[i].name, total[i]/total[1]))
	}
	return strings.Join(parts, ", ")
}

// surgeFigures returns how long other workspaces waited for admission during the
// surge, with and without fairness, and the number of refusals.
func surgeFigures(name func(string) string, fleet *routingRun, size fleetSize, seed uint64, ch churn) []Figure {
	unfair := compare(size, seed, ch, methods(admit.Disabled{Fairness: true})[:1]).fleet()
	return []Figure{
		{Name: name("surge_wait_of_others_p99"), Value: quantile(fleet.stats.waitsOfOthers, 0.99).Seconds(), Unit: "s", Relation: AtMost, Target: maxWaitOfOthers.Seconds(),
			Baseline: fmt.Sprintf("first in, first out %.3f", quantile(unfair.stats.waitsOfOthers, 0.99).Seconds())},
		{Name: name("surge_refusals"), Value: float64(fleet.stats.refused), Unit: "refusals"},
	}
}

// quantile returns the q-quantile of d.
func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(d))
	return s[min(len(s)-1, int(q*float64(len(s))))]
}
