package rollout

import (
	"cmp"
	"maps"
	"slices"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// FalseAlarmRate bounds the part of good rollouts that is taken back by
	// mistake. The target is 1 in 1,000; a tenth of it leaves room for a process
	// that takes over and starts the tests anew.
	FalseAlarmRate = 0.0001
	// minRequests is the evidence that both versions need on each route before
	// the share grows beyond the first one. A version that fails one request in
	// ten is found in 100 requests with a probability above 0.99.
	minRequests = 100
	// restarts is the number of times that the tests of a rollout start anew.
	// A fault that shows late would otherwise have to outweigh the good record
	// of the time before it.
	restarts = 4
	// maxRoutes bounds the routes that are judged apart. Further routes are
	// judged together.
	maxRoutes = 64
	// otherRoutes stands for the routes beyond maxRoutes.
	otherRoutes model.Route = "other"
)

// Judge tests the evidence of one rollout, route by route. The process that
// merges the evidence of a pool keeps one for each active rollout.
type Judge struct {
	name    string
	rollout lists.Rollout
	seen    Evidence
	routes  map[model.Route]routeTests
	verdict Verdict
}

// routeTests holds the tests of one route.
type routeTests map[testKey]*sequentialTest

type testKey struct {
	measure Metric
	start   int // how often the tests had started anew when this one began
}

// NewJudge returns a judge without evidence.
func NewJudge(name string, r lists.Rollout) *Judge {
	return &Judge{name: name, rollout: r, seen: Evidence{}, routes: map[model.Route]routeTests{}}
}

// Observe takes the merged evidence so far, of the part of the window from 0 to
// 1 that has passed, and returns the verdict.
func (j *Judge) Observe(total Evidence, part float64) Verdict {
	start := min(int(part*restarts), restarts-1)
	merged := j.byRoute(total)
	for _, route := range slices.SortedFunc(maps.Keys(merged), cmp.Compare[model.Route]) {
		j.observeRoute(route, merged[route], start)
	}
	j.verdict.EnoughEvidence = j.verdict.EnoughEvidence || j.enough(merged)
	return j.verdict
}

// pair holds the evidence of both versions on one route.
type pair struct{ newer, older Counts }

func (j *Judge) byRoute(total Evidence) map[model.Route]pair {
	out := map[model.Route]pair{}
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

// enough reports whether both versions reached the minimum of evidence on every
// route and nothing leans against the new version.
func (j *Judge) enough(merged map[model.Route]pair) bool {
	for _, p := range merged {
		if p.newer.Requests < minRequests || p.older.Requests < minRequests {
			return false
		}
	}
	for _, tests := range j.routes {
		for _, t := range tests {
			if t.leans() {
				return false
			}
		}
	}
	return len(merged) > 0
}

func (j *Judge) observeRoute(route model.Route, now pair, start int) {
	delta := pair{
		newer: now.newer.Sub(j.seenCounts(route, j.rollout.New)),
		older: now.older.Sub(j.seenCounts(route, j.rollout.Old)),
	}
	j.seen[Key{j.name, j.rollout.New, route}] = now.newer
	j.seen[Key{j.name, j.rollout.Old, route}] = now.older
	if delta.newer.negative() || delta.older.negative() {
		return // a side process restarted, so its counts started anew
	}
	tests := j.routes[route]
	if tests == nil {
		tests = routeTests{}
		j.routes[route] = tests
	}
	measure := tests.observe(delta, start, j.alpha())
	if measure != "" && !j.verdict.Suspended {
		j.verdict = Verdict{Suspended: true, Route: route, Metric: measure, New: now.newer, Old: now.older}
	}
}

func (j *Judge) seenCounts(route model.Route, v model.Version) Counts {
	return j.seen[Key{j.name, v, route}]
}

// alpha is the error rate of one test. The rate of the rollout is shared out
// between the routes, the measures and the starts.
func (j *Judge) alpha() float64 {
	return FalseAlarmRate / float64(max(len(j.routes), 1)*2*restarts)
}

// observe adds a window to the tests and returns the measure that rejects the
// new version, or "".
func (t routeTests) observe(delta pair, start int, alpha float64) Metric {
	for _, m := range []Metric{MetricFailures, MetricSlowFirstToken} {
		newer, older := tallyOf(m, delta.newer), tallyOf(m, delta.older)
		if key := (testKey{m, start}); t[key] == nil {
			t[key] = &sequentialTest{}
		}
		for s := 0; s <= start; s++ {
			test := t[testKey{m, s}]
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

func tallyOf(m Metric, c Counts) tally {
	if m == MetricSlowFirstToken {
		return tally{c.Requests, c.Slow}
	}
	return tally{c.Requests, c.Failures}
}
