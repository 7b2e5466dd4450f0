package side

import (
	"maps"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/rollout"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
)

// rolloutState is the part of the control state that concerns rollouts.
type rolloutState struct {
	evidence  rollout.Evidence
	lastCrash time.Time
	lastCold  time.Time // when the endpoint refused a connection
	versions  rollout.CachedSelector
}

// Events about rollouts.
type (
	// requestEnded tells how a request ended that the endpoint took.
	requestEnded struct {
		version model.Version
		route   model.Route
		failed  bool
		crashed bool          // the connection to the endpoint ended
		first   time.Duration // hand-over to the first frame
	}
	// takeEvidence asks for the evidence and the holders that get it.
	takeEvidence struct {
		control.Question[evidencePlan]
	}
	evidencePlan struct {
		key     summary.Key
		rollout string
		total   rollout.Evidence
		holders []string // control addresses
	}
)

func (requestEnded) EventName() string { return "request_ended" }
func (takeEvidence) EventName() string { return "take_evidence" }

const (
	// crashWindow is the time in which the requests that a crash cuts count as
	// one failure. They say no more about the version than one.
	crashWindow = time.Second
	// maxEvidenceKeys bounds versions times routes of one side.
	maxEvidenceKeys = 128
)

// countRequests counts how requests ended while a rollout is active.
type countRequests struct{ settings Settings }

func (countRequests) Name() string { return "count_requests" }

func (st countRequests) Apply(s *State, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case requestEnded:
		st.count(s, now, ev)
	case takeEvidence:
		ev.Reply(st.plan(s))
	case endpointCold:
		s.lastCold = now
	}
	return s.versions.Update(s.Config.Lists, s.verdicts)
}

func (st countRequests) count(s *State, now time.Time, ev requestEnded) {
	active, ok := s.versions.Active(st.settings.Pool)
	if !ok || now.Before(active.Start) {
		clear(s.evidence)
		return
	}
	if ev.crashed && now.Sub(s.lastCrash) < crashWindow {
		return
	}
	if ev.crashed {
		s.lastCrash = now
	}
	k := rollout.Key{Rollout: active.Name, Version: ev.version, Route: ev.route}
	c := rollout.Counts{Requests: 1}
	if ev.failed {
		c.Failures = 1
	}
	if warm := s.Config.Lists.Pools[st.settings.Pool].WarmTime; warm > 0 && ev.first > warm && s.isWarm(now) {
		c.Slow = 1
	}
	if _, known := s.evidence[k]; known || len(s.evidence) < maxEvidenceKeys {
		s.evidence[k] = s.evidence[k].Add(c)
	}
}

// plan returns the evidence of the active rollout and where it goes.
func (st countRequests) plan(s *State) evidencePlan {
	active, ok := s.versions.Active(st.settings.Pool)
	if !ok || len(s.evidence) == 0 {
		return evidencePlan{}
	}
	key := summary.Key{Pool: st.settings.Pool, Region: st.settings.Region}
	group := summary.Group(st.settings.EndpointID(), summary.Groups(s.peers.EndpointCount(key.Pool)))
	return evidencePlan{
		key: key, rollout: active.Name, total: maps.Clone(s.evidence),
		holders: s.peers.Addresses(summary.Aggregators(key, group, s.peers.Entries)),
	}
}

// warmUp is the time after a restart in which slow first tokens are put down to
// the cold endpoint and not to its version.
const warmUp = 30 * time.Second

// isWarm reports whether slow first tokens count against the version. Late
// first tokens alone do not make an endpoint cold here: a version that is
// always slow would excuse itself.
func (s *State) isWarm(now time.Time) bool {
	restarted := s.report.uptime > 0 && s.report.uptime < warmUp
	return !restarted && now.Sub(s.lastCold) >= warmUp
}
