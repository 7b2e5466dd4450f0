package side

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
	"github.com/goldcrestturn/goldcrestturn/internal/timing"
)

// Events about stage times.
type (
	// requestTimed carries the stage times of a whole answer.
	requestTimed struct {
		version model.Version
		route   model.Route
		times   [model.StageCount]time.Duration
	}
	// takeTimes asks for the times since the last report.
	takeTimes struct {
		control.Question[timesPlan]
	}
	timesPlan struct {
		sums    timing.Sums
		holders []string // control addresses
	}
)

func (requestTimed) EventName() string { return "request_timed" }
func (takeTimes) EventName() string    { return "take_times" }

// maxTimeKeys bounds versions times routes times stages of one side.
const maxTimeKeys = 1024

// sumTimes sums up stage times until they are reported.
type sumTimes struct{ settings Settings }

func (sumTimes) Name() string { return "sum_times" }

func (st sumTimes) Apply(s *State, _ time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case requestTimed:
		if len(s.times) < maxTimeKeys {
			st.add(s, ev)
		}
	case takeTimes:
		ev.Reply(st.plan(s))
		s.times = timing.Sums{}
	}
	return false
}

func (st sumTimes) add(s *State, ev requestTimed) {
	for stage, d := range ev.times {
		s.times.Add(timing.Key{
			Endpoint: st.settings.EndpointID(), Pool: st.settings.Pool,
			Version: ev.version, Route: ev.route, Stage: model.Stage(stage),
		}, d)
	}
}

func (st sumTimes) plan(s *State) timesPlan {
	key := summary.Key{Pool: st.settings.Pool, Region: st.settings.Region}
	group := summary.Group(st.settings.EndpointID(), summary.Groups(s.peers.EndpointCount(key.Pool)))
	return timesPlan{sums: s.times, holders: s.peers.Addresses(summary.Aggregators(key, group, s.peers.Entries))}
}
