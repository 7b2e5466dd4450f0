package side

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

// buildReport builds the periodic load report and keeps the highest configuration
// offset that replies carry.
type buildReport struct{ settings Settings }

func (buildReport) Name() string { return "draft_report" }

func (st buildReport) Apply(s *State, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case reportQuery:
		ev.Reply(st.message(s, now))
	case gossipReceived:
		if ev.offset > s.peerOffset {
			s.peerOffset = ev.offset
			return true
		}
	case leavingStarted:
		s.isLeaving = true
		return true
	}
	return false
}

func (st buildReport) message(s *State, now time.Time) reportMessage {
	key := summary.Key{Pool: st.settings.Pool, Region: st.settings.Region}
	group := summary.Group(st.settings.EndpointID(), summary.Groups(s.peers.EndpointCount(key.Pool)))
	recent := s.suspects.Recent(now, crashGossipWindow)
	var crashes []suspect.Crash
	for _, c := range recent {
		if c.Endpoint == st.settings.EndpointID() {
			crashes = append(crashes, c)
		}
	}
	return reportMessage{
		report: summary.Report{
			Endpoint: st.settings.EndpointID(), Key: key, Group: group,
			Load: s.Load, Running: s.Admission.Running(), Leaving: s.isLeaving,
		},
		aggregators: s.peers.Addresses(summary.Aggregators(key, group, s.peers.Entries)),
		crashes:     crashes,
	}
}
