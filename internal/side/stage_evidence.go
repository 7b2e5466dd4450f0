package side

import (
	"maps"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/rollout"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
)

// rolloutState is the part of the control state for rollouts.
type rolloutState struct {
	evidence         rollout.Evidence
	lastCrash        time.Time
	lastColdEvidence time.Time // time of the last refused connection or crash
	versions         rollout.CachedSelector
}

// Events of rollouts.
type (
	// requestEnded reports the end of a request that the endpoint accepted.
	requestEnded struct {
		version    model.Version
		route      model.Route
		failed     bool
		crashed    bool          // the connection to the endpoint was lost
		firstFrame time.Duration // from the attempt to the first frame
	}
	// evidenceQuery asks for the evidence and the aggregators to send it to.
	evidenceQuery struct {
		control.Question[evidenceMessage]
	}
	evidenceMessage struct {
		key         summary.Key
		rollout     string
		total       rollout.Evidence
		aggregators []string // control addresses
	}
)

func (requestEnded) EventName() string  { return "request_ended" }
func (evidenceQuery) EventName() string { return "take_evidence" }

const (
	// crashWindow is the time within which the requests interrupted by crashes
	// count as one failure. Together they say no more about the version than one.
	crashWindow = time.Second
	// maxEvidenceKeys bounds the combinations of version and route of one side.
	maxEvidenceKeys = 128
)

// countRequests counts the requests, failures and slow first tokens while a rollout
// is active.
type countRequests struct{ settings Settings }

func (countRequests) Name() string { return "count_requests" }

func (st countRequests) Apply(s *State, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case requestEnded:
		st.count(s, now, ev)
	case evidenceQuery:
		ev.Reply(st.message(s))
	case endpointCold:
		s.lastColdEvidence = now
	}
	return s.versions.Update(s.Config.Lists, s.latches)
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
	if warm := s.Config.Lists.Pools[st.settings.Pool].WarmTime; warm > 0 && ev.firstFrame > warm && s.isWarm(now) {
		c.Slow = 1
	}
	if _, known := s.evidence[k]; known || len(s.evidence) < maxEvidenceKeys {
		s.evidence[k] = s.evidence[k].Add(c)
	}
}

// message returns the evidence of the active rollout and the aggregators to send it
// to.
func (st countRequests) message(s *State) evidenceMessage {
	active, ok := s.versions.Active(st.settings.Pool)
	if !ok || len(s.evidence) == 0 {
		return evidenceMessage{}
	}
	key := summary.Key{Pool: st.settings.Pool, Region: st.settings.Region}
	group := summary.Group(st.settings.EndpointID(), summary.Groups(s.peers.EndpointCount(key.Pool)))
	return evidenceMessage{
		key: key, rollout: active.Name, total: maps.Clone(s.evidence),
		aggregators: s.peers.Addresses(summary.Aggregators(key, group, s.peers.Entries)),
	}
}

// coldTime is the time after a restart in which slow first tokens are attributed to
// the cold endpoint and not to its version.
const coldTime = 30 * time.Second

// isWarm reports whether slow first tokens count against the version. Unlike in
// admission, slow first tokens alone do not make an endpoint cold here, or a version
// that is always slow would never be blamed.
func (s *State) isWarm(now time.Time) bool {
	restarted := s.lastReport.uptime > 0 && s.lastReport.uptime < coldTime
	return !restarted && now.Sub(s.lastColdEvidence) >= coldTime
}
