package rollout

import (
	"cmp"
	"maps"
	"slices"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// FalseAlarmRate bounds the fraction of good rollouts that are rolled back by
	// mistake. The target is 1 in 1,000; a tenth of it leaves room for a process
	// that takes over and starts the tests again.
	FalseAlarmRate = 0.0001
	// minRequests is the number of requests that both versions need on each route
	// before the share grows beyond the first one. A version that fails one request
	// in ten is detected within 100 requests with a probability above 0.99.
	minRequests = 100
	// testGenerations is the number of times that new tests are started during a
	// rollout. A late regression would otherwise have to outweigh all the good
	// evidence before it.
	testGenerations = 4
	// maxRoutes bounds the routes that are tested separately. Further routes are
	// tested together.
	maxRoutes = 64
	// otherRoutes is the name under which the routes beyond maxRoutes are tested.
	otherRoutes model.Route = "other"
)

// Judge tests the evidence of one rollout, route by route. The process that
// merges the evidence of a pool keeps one for each active rollout.
type Judge struct {
	name     string
	rollout  lists.Rollout
	observed Evidence
	routes   map[model.Route]routeTests
	verdict  Verdict
}

// routeTests holds the tests of one route.
type routeTests map[testKey]*sequentialTest

type testKey struct {
	metric     Metric
	generation int // from 0; later generations see later evidence only
}

// NewJudge returns a judge without evidence.
func NewJudge(name string, r lists.Rollout) *Judge {
	return &Judge{name: name, rollout: r, observed: Evidence{}, routes: map[model.Route]routeTests{}}
}

// Observe updates the tests with the merged evidence so far and returns the
// verdict. fraction is the elapsed fraction of the rollout window, from 0 to 1.
func (j *Judge) Observe(total Evidence, fraction float64) Verdict {
	generation := min(int(fraction*testGenerations), testGenerations-1)
	merged := j.byRoute(total)
	for _, route := range slices.SortedFunc(maps.Keys(merged), cmp.Compare[model.Route]) {
		j.observeRoute(route, merged[route], generation)
	}
	j.verdict.EnoughEvidence = j.verdict.EnoughEvidence || j.enoughEvidence(merged)
	return j.verdict
}

// versionCounts holds the evidence of both versions on one route.
type versionCounts struct{ newer, older Counts }

func (j *Judge) byRoute(total Evidence) map[model.Route]versionCounts {
	out := map[model.Route]versionCounts{}
	for _, k := range slices.SortedFunc(maps.Keys(total), compareKeys) {
		if k.Rollout != j.name {
			continue
		}
		route := k.Route
		if _, known := out[route]; !known && len(out) >= maxRoutes {
			route = otherRoutes
		}
		p := out[route]
		switch k.Version {
		case j.rollout.New:
			p.newer = p.newer.Add(total[k])
		case j.rollout.Old:
			p.older = p.older.Add(total[k])
		}
		out[route] = p
	}
	return out
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Rollout, b.Rollout), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Version, b.Version))
}

// enoughEvidence reports whether both versions have the minimum of evidence on
// every route and no test warns against the new version.
func (j *Judge) enoughEvidence(merged map[model.Route]versionCounts) bool {
	for _, p := range merged {
		if p.newer.Requests < minRequests || p.older.Requests < minRequests {
			return false
		}
	}
	return len(merged) > 0 && !j.warns()
}

// warns reports whether any test warns against the new version.
func (j *Judge) warns() bool {
	for _, tests := range j.routes {
		for _, t := range tests {
			if t.warns() {
				return true
			}
		}
	}
	return false
}

func (j *Judge) observeRoute(route model.Route, now versionCounts, generation int) {
	delta := versionCounts{
		newer: now.newer.Sub(j.observedCounts(route, j.rollout.New)),
		older: now.older.Sub(j.observedCounts(route, j.rollout.Old)),
	}
	j.observed[Key{j.name, j.rollout.New, route}] = now.newer
	j.observed[Key{j.name, j.rollout.Old, route}] = now.older
	if delta.newer.negative() || delta.older.negative() {
		return // a side process restarted, which reset its counts
	}
	tests := j.routes[route]
	if tests == nil {
		tests = routeTests{}
		j.routes[route] = tests
	}
	metric := tests.observe(delta, generation, j.alpha())
	if metric != "" && !j.verdict.Suspended {
		j.verdict = Verdict{Suspended: true, Route: route, Metric: metric, New: now.newer, Old: now.older}
	}
}

func (j *Judge) observedCounts(route model.Route, v model.Version) Counts {
	return j.observed[Key{j.name, v, route}]
}

// alpha returns the error rate of one test. The error rate of the rollout is
// divided among the routes, the metrics and the test generations.
func (j *Judge) alpha() float64 {
	return FalseAlarmRate / float64(max(len(j.routes), 1)*2*testGenerations)
}

// observe adds new counts to the tests of all generations so far and returns the
// metric by which a test rejects the new version, or "".
func (t routeTests) observe(delta versionCounts, generation int, alpha float64) Metric {
	for _, m := range []Metric{MetricFailures, MetricSlowFirstToken} {
		newer, older := metricTally(m, delta.newer), metricTally(m, delta.older)
		if key := (testKey{m, generation}); t[key] == nil {
			t[key] = &sequentialTest{}
		}
		for g := 0; g <= generation; g++ {
			test := t[testKey{m, g}]
			if test == nil {
				continue
			}
			test.observe(newer, older)
			if test.rejects(alpha) {
				return m
			}
		}
	}
	return ""
}

func metricTally(m Metric, c Counts) tally {
	if m == MetricSlowFirstToken {
		return tally{c.Requests, c.Slow}
	}
	return tally{c.Requests, c.Failures}
}
