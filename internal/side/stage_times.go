package side

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
	"github.com/goldcrestturn/goldcrestturn/internal/timing"
)

// Events of stage times.
type (
	// answerTimed carries the stage times of a complete answer.
	answerTimed struct {
		version model.Version
		route   model.Route
		times   [model.StageCount]time.Duration
	}
	// takeStageTimes asks for the stage times since the last report and resets
	// them.
	takeStageTimes struct {
		control.Question[timesMessage]
	}
	timesMessage struct {
		sums        timing.Sums
		aggregators []string // control addresses
	}
)

func (answerTimed) EventName() string    { return "request_timed" }
func (takeStageTimes) EventName() string { return "take_times" }

// maxTimeKeys bounds the combinations of version, route and stage of one side.
const maxTimeKeys = 1024

// sumTimes sums up stage times until they are reported.
type sumTimes struct{ settings Settings }

func (sumTimes) Name() string { return "sum_times" }

func (st sumTimes) Apply(s *State, _ time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case answerTimed:
		if len(s.times) < maxTimeKeys {
			st.add(s, ev)
		}
	case takeStageTimes:
		ev.Reply(st.message(s))
		s.times = timing.Sums{}
	}
	return false
}

func (st sumTimes) add(s *State, ev answerTimed) {
	for stage, d := range ev.times {
		s.times.Add(timing.Key{
			Endpoint: st.settings.EndpointID(), Pool: st.settings.Pool,
			Version: ev.version, Route: ev.route, Stage: model.Stage(stage),
		}, d)
	}
}

func (st sumTimes) message(s *State) timesMessage {
	key := summary.Key{Pool: st.settings.Pool, Region: st.settings.Region}
	group := summary.Group(st.settings.EndpointID(), summary.Groups(s.peers.EndpointCount(key.Pool)))
	return timesMessage{sums: s.times, aggregators: s.peers.Addresses(summary.Aggregators(key, group, s.peers.Entries))}
}
