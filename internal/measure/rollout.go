package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/rollout"
)

// rolloutSite is the traffic of one user during a rollout.
type rolloutSite struct {
	name   string
	routes map[model.Route]float64 // requests a second
}

// rolloutSites is the traffic of one pool of each of the first users.
var rolloutSites = []rolloutSite{
	{"kauri", map[model.Route]float64{"chat/summary": 6, "chat/triage": 3, "chat/label": 1}},
	{"kalesa", map[model.Route]float64{"chat/briefing": 8, "chat/lookup": 8, "chat/sellable": 4}},
}

const (
	rolloutWindow     = time.Hour
	rolloutStep       = 10 * time.Second // evidence is merged once a step
	rolloutDelay      = 4                // seconds until merged evidence reaches the judge
	rolloutFirstShare = 0.05             // of the chats
	goodRollouts      = 1000
	badRollouts       = 40
	baseFailureRate   = 0.005 // of the requests; as are the other rates
	baseSlowRate      = 0.02
	faultFailureRate  = 0.2
	faultSlowRate     = 0.3
	incidentFraction  = 0.03 // fraction of the window with an incident that affects both versions
	incidentRate      = 0.3
)

// rolloutFault describes how a bad version fails, and from when on.
type rolloutFault struct {
	name            string
	onset           func(fraction, share float64) bool
	slow            bool // slow first tokens instead of failures
	rarestRouteOnly bool // affects only the route with the least traffic
}

var rolloutFaults = []rolloutFault{
	{name: "at_once", onset: func(float64, float64) bool { return true }},
	{name: "slow_at_once", onset: func(float64, float64) bool { return true }, slow: true},
	{name: "one_route", onset: func(float64, float64) bool { return true }, rarestRouteOnly: true},
	{name: "later", onset: func(fraction, _ float64) bool { return fraction > 0.3 }},
	{name: "under_load", onset: func(_, share float64) bool { return share > 0.25 }},
}

// verdictMethod judges a version from its evidence. The judge of the fleet and
// the baseline methods implement it.
type verdictMethod interface {
	observe(total rollout.Evidence, fraction float64) rollout.Verdict
}

type judgeMethod struct{ *rollout.Judge }

func (m judgeMethod) observe(total rollout.Evidence, fraction float64) rollout.Verdict {
	return m.Observe(total, fraction)
}

// thresholdMethod suspends a version when more than a tenth of its recent
// requests are bad, whatever the old version does.
type thresholdMethod struct {
	window  fixedWindow
	verdict rollout.Verdict
}

// zScoreMethod suspends a version when a z-score above 3 separates it from the
// old version in a fixed window of a minute.
type zScoreMethod struct {
	window  fixedWindow
	verdict rollout.Verdict
}

const (
	baselineWindow      = 6   // steps; a minute
	baselineMaxBadRate  = 0.1 // bad requests per request, for thresholdMethod
	baselineZ           = 3   // for zScoreMethod
	baselineMinRequests = 20
)

// fixedWindow splits evidence into windows. It holds the evidence at the start
// of the current window.
type fixedWindow struct {
	steps int
	base  rollout.Evidence
}

// next returns the evidence of the current window at its end, and nil before.
func (w *fixedWindow) next(total rollout.Evidence) rollout.Evidence {
	w.steps++
	if w.steps%baselineWindow != 0 {
		return nil
	}
	out := rollout.Evidence{}
	for k, c := range total {
		out[k] = c.Sub(w.base[k])
	}
	w.base = rollout.Evidence{}
	w.base.Merge(total)
	return out
}

func (m *thresholdMethod) observe(total rollout.Evidence, _ float64) rollout.Verdict {
	for k, c := range m.window.next(total) {
		bad := max(c.Failures, c.Slow)
		if k.Version == "v2" && c.Requests >= baselineMinRequests && float64(bad) > baselineMaxBadRate*float64(c.Requests) {
			m.verdict.Suspended = true
		}
	}
	m.verdict.EnoughEvidence = true
	return m.verdict
}

func (m *zScoreMethod) observe(total rollout.Evidence, _ float64) rollout.Verdict {
	window := m.window.next(total)
	for k, c := range window {
		if k.Version != "v2" || c.Requests < baselineMinRequests {
			continue
		}
		old := window[rollout.Key{Rollout: k.Rollout, Version: "v1", Route: k.Route}]
		if zScore(c.Failures, c.Requests, old.Failures, old.Requests) > baselineZ ||
			zScore(c.Slow, c.Requests, old.Slow, old.Requests) > baselineZ {
			m.verdict.Suspended = true
		}
	}
	m.verdict.EnoughEvidence = true
	return m.verdict
}

func zScore(bad1, n1, bad2, n2 int64) float64 {
	if n1 == 0 || n2 == 0 {
		return 0
	}
	p := float64(bad1+bad2) / float64(n1+n2)
	sd := math.Sqrt(p * (1 - p) * (1/float64(n1) + 1/float64(n2)))
	if sd == 0 {
		return 0
	}
	return (float64(bad1)/float64(n1) - float64(bad2)/float64(n2)) / sd
}

func newMethod(name string, r lists.Rollout) verdictMethod {
	switch name {
	case "threshold":
		return &thresholdMethod{}
	case "fixed_window":
		return &zScoreMethod{}
	}
	return judgeMethod{rollout.NewJudge("r", r)}
}

// rolloutResult is the result of one simulated rollout.
type rolloutResult struct {
	rolledBack     bool
	finished       bool          // all chats on the new version by the deadline
	shareAtVerdict float64       // share at the verdict
	maxShare       float64       // highest share while the fault was active
	detected       time.Duration // time from the onset of the fault to the verdict
	exposure       float64       // bad answers because of the fault as a fraction of all requests
}

// simulateRollout simulates one rollout that method judges. fault may be nil.
func simulateRollout(site rolloutSite, method string, fault *rolloutFault, rng *rand.Rand) rolloutResult {
	r := lists.Rollout{
		Pool: "chat", Old: "v1", New: "v2", FirstShare: rolloutFirstShare, Steps: 4, State: lists.RolloutActive,
		Start: time.Unix(0, 0), Deadline: time.Unix(0, 0).Add(rolloutWindow),
	}
	sim := rolloutRun{site: site, fault: fault, rng: rng, total: rollout.Evidence{}, incident: rng.Float64() * (1 - incidentFraction)}
	judge := newMethod(method, r)
	var res rolloutResult
	var verdict rollout.Verdict
	var pending []rollout.Evidence
	onset := time.Duration(-1)
	for t := time.Duration(0); t < rolloutWindow; t += rolloutStep {
		fraction := float64(t) / float64(rolloutWindow)
		share := rollout.Share(r, r.Start.Add(t), verdict.EnoughEvidence)
		if verdict.Suspended {
			return res
		}
		faulty := fault != nil && fault.onset(fraction, share)
		if faulty && onset < 0 {
			onset = t
		}
		if faulty {
			res.maxShare = max(res.maxShare, share)
		}
		pending = append(pending, sim.step(share, fraction, faulty))
		if delay := rolloutDelay/int(rolloutStep.Seconds()) + 1; len(pending) > delay {
			verdict = judge.observe(pending[0], fraction)
			pending = pending[1:]
		}
		res.exposure = float64(sim.bad) / float64(max(sim.requests, 1))
		if verdict.Suspended {
			res.rolledBack, res.shareAtVerdict, res.detected = true, share, t-onset
		}
		res.finished = share >= 1
	}
	return res
}

// simulateRollouts simulates n rollouts in parallel, each with its own source of
// randomness.
func simulateRollouts(site rolloutSite, method string, fault *rolloutFault, n int, seed, stream uint64) []rolloutResult {
	out := make([]rolloutResult, n)
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for k := range out {
		g.Go(func() error {
			out[k] = simulateRollout(site, method, fault, rand.New(rand.NewPCG(seed, stream<<32|uint64(k))))
			return nil
		})
	}
	_ = g.Wait()
	return out
}

// rolloutRun draws the requests of one rollout.
type rolloutRun struct {
	site     rolloutSite
	fault    *rolloutFault
	rng      *rand.Rand
	total    rollout.Evidence
	incident float64 // start of the incident that affects both versions, as a fraction of the window
	requests int64
	bad      int64 // bad answers because of the fault
}

// step draws the requests of one step and returns a copy of the evidence so far.
func (s *rolloutRun) step(share, fraction float64, faulty bool) rollout.Evidence {
	for _, route := range sortedKeys(s.site.routes) {
		rate := s.site.routes[route] * rolloutStep.Seconds()
		affected := faulty && (!s.fault.rarestRouteOnly || route == s.rarestRoute())
		s.draw(route, "v2", rate*share, fraction, affected)
		s.draw(route, "v1", rate*(1-share), fraction, false)
	}
	out := rollout.Evidence{}
	out.Merge(s.total)
	return out
}

func (s *rolloutRun) draw(route model.Route, v model.Version, mean, fraction float64, affected bool) {
	failures, slow := baseFailureRate, baseSlowRate
	if fraction >= s.incident && fraction < s.incident+incidentFraction {
		failures, slow = incidentRate, incidentRate
	}
	c := rollout.Counts{Requests: poisson(s.rng, mean)}
	s.requests += c.Requests
	if affected && s.fault.slow {
		slow = max(slow, faultSlowRate)
	} else if affected {
		failures = max(failures, faultFailureRate)
	}
	c.Failures = binomial(s.rng, c.Requests, failures)
	c.Slow = binomial(s.rng, c.Requests, slow)
	if affected && s.fault.slow {
		s.bad += c.Slow
	} else if affected {
		s.bad += c.Failures
	}
	k := rollout.Key{Rollout: "r", Version: v, Route: route}
	s.total[k] = s.total[k].Add(c)
}

// rarestRoute returns the route with the least traffic.
func (s *rolloutRun) rarestRoute() model.Route {
	var out model.Route
	for _, r := range sortedKeys(s.site.routes) {
		if out == "" || s.site.routes[r] < s.site.routes[out] {
			out = r
		}
	}
	return out
}

func rolloutScenarios() []Scenario {
	return []Scenario{{Name: "rollout/judge", Run: rolloutScenario}, {Name: "rollout/path", Run: rolloutPath}}
}

// rolloutScenario measures detection, exposure, false rollbacks and completion
// in time, for the judge and for both baseline methods in the same run.
func rolloutScenario(env Env) []Figure {
	var out []Figure
	for i, site := range rolloutSites {
		out = append(out, goodRolloutFigures(site, env.Seed, uint64(i))...)
		for j, fault := range rolloutFaults {
			out = append(out, badRolloutFigures(site, fault, env.Seed, uint64(i*100+j))...)
		}
	}
	return out
}

func goodRolloutFigures(site rolloutSite, seed, stream uint64) []Figure {
	type score struct{ rolledBack, finished int }
	scores := map[string]*score{}
	for _, m := range []string{"judge", "threshold", "fixed_window"} {
		s, n := &score{}, goodRollouts
		if m != "judge" {
			n = goodRollouts / 10 // the baselines miss by far more than the resolution of a tenth of the runs
		}
		for _, res := range simulateRollouts(site, m, nil, n, seed, stream) {
			if res.rolledBack {
				s.rolledBack++
			}
			if res.finished {
				s.finished++
			}
		}
		s.rolledBack, s.finished = s.rolledBack*goodRollouts/n, s.finished*goodRollouts/n
		scores[m] = s
	}
	name := "rollout/" + site.name
	return []Figure{
		{Name: name + "/false_take_backs", Value: float64(scores["judge"].rolledBack), Unit: "/1000", Relation: AtMost, Target: 1,
			Baseline: fmt.Sprintf("threshold %d, fixed window %d", scores["threshold"].rolledBack, scores["fixed_window"].rolledBack)},
		{Name: name + "/good_in_time", Value: float64(scores["judge"].finished) / goodRollouts, Unit: "part", Relation: AtLeast, Target: 0.99,
			Baseline: fmt.Sprintf("threshold %.3g, fixed window %.3g", float64(scores["threshold"].finished)/goodRollouts, float64(scores["fixed_window"].finished)/goodRollouts)},
	}
}

func badRolloutFigures(site rolloutSite, fault rolloutFault, seed, stream uint64) []Figure {
	type score struct {
		detections int
		detected   time.Duration
		maxShare   float64
		exposure   float64
	}
	scores := map[string]*score{}
	for _, m := range []string{"judge", "threshold", "fixed_window"} {
		s := &score{}
		for _, res := range simulateRollouts(site, m, &fault, badRollouts, seed^0xbad, stream) {
			if res.rolledBack && res.detected >= 0 {
				s.detections++
				s.detected += res.detected
			}
			s.maxShare = max(s.maxShare, res.maxShare)
			s.exposure = max(s.exposure, res.exposure)
		}
		scores[m] = s
	}
	mean := func(m string) float64 {
		return (scores[m].detected / time.Duration(max(scores[m].detections, 1))).Seconds()
	}
	name := "rollout/" + site.name + "/" + fault.name
	j := scores["judge"]
	share := Figure{Name: name + "/share_until_shown", Value: j.maxShare, Unit: "part", Relation: AtMost, Target: rolloutFirstShare}
	if fault.name == "under_load" {
		share.Relation = Info // the fault does not exist below a share of a quarter
	}
	return []Figure{
		{Name: name + "/taken_back", Value: float64(j.detections) / badRollouts, Unit: "part", Relation: Equal, Target: 1,
			Baseline: fmt.Sprintf("threshold %.3g, fixed window %.3g", float64(scores["threshold"].detections)/badRollouts, float64(scores["fixed_window"].detections)/badRollouts)},
		share,
		{Name: name + "/mean_time_to_detect", Value: mean("judge"), Unit: "s",
			Baseline: fmt.Sprintf("threshold %.0f, fixed window %.0f", mean("threshold"), mean("fixed_window"))},
		{Name: name + "/worst_bad_answers", Value: j.exposure, Unit: "part"},
	}
}
