package side

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

// draftReport writes the regular report and keeps what its replies bring.
type draftReport struct{ settings Settings }

func (draftReport) Name() string { return "draft_report" }

func (st draftReport) Apply(s *State, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case takeReport:
		ev.Reply(st.plan(s, now))
	case newsHeard:
		if ev.offset > s.offset {
			s.offset = ev.offset
			return true
		}
	case leavingStarted:
		s.isLeaving = true
		return true
	}
	return false
}

func (st draftReport) plan(s *State, now time.Time) reportPlan {
	key := summary.Key{Pool: st.settings.Pool, Region: st.settings.Region}
	group := summary.Group(st.settings.EndpointID(), summary.Groups(s.peers.EndpointCount(key.Pool)))
	own := s.suspects.Recent(now, newsWindow)
	var crashes []suspect.Crash
	for _, c := range own {
		if c.Endpoint == st.settings.EndpointID() {
			crashes = append(crashes, c)
		}
	}
	return reportPlan{
		report: summary.Report{
			Endpoint: st.settings.EndpointID(), Key: key, Group: group,
			Load: s.Load, Running: s.Admission.Running(), Leaving: s.isLeaving,
		},
		holders: s.peers.Addresses(summary.Aggregators(key, group, s.peers.Entries)),
		crashes: crashes,
	}
}
