package entry

import (
	"maps"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/timing"
)

// timeState is the part of the control state that concerns stage times.
type timeState struct {
	times   *timing.Table
	counter *timing.Counter
	busiest map[model.Workspace]bool // replaced, never changed
	ranked  time.Time
}

func newTimeState() timeState {
	return timeState{times: timing.NewTable(), counter: timing.NewCounter()}
}

// Events about stage times.
type (
	// answerTimed ends a whole answer of this entry.
	answerTimed struct {
		workspace model.Workspace
		pool      model.Pool
		version   model.Version
		route     model.Route
		chosen    time.Duration // time in StageChoose
	}
	// timesReceived carries the stage times of a side.
	timesReceived struct{ sums timing.Sums }
	// takeRows asks for the stage times that this entry knows.
	takeRows struct {
		control.Question[[]timing.Row]
	}
)

func (answerTimed) EventName() string   { return "answer_timed" }
func (timesReceived) EventName() string { return "times_received" }
func (takeRows) EventName() string      { return "take_rows" }

// rankPeriod is the interval at which the busiest workspaces are ranked anew.
const rankPeriod = time.Minute

// watchTimes keeps the stage times of the endpoints that report to this holder
// and ranks the workspaces of this entry.
type watchTimes struct{ settings Settings }

func (watchTimes) Name() string { return "watch_times" }

func (st watchTimes) Apply(s *State, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case answerTimed:
		s.counter.Add(ev.workspace)
		// The entry stands for the endpoint here: a slow choice is its own.
		s.times.Add(timing.Sums{{
			Endpoint: model.EndpointID(st.settings.Instance), Pool: ev.pool,
			Version: ev.version, Route: ev.route, Stage: model.StageChoose,
		}: {Requests: 1, Time: ev.chosen}})
	case timesReceived:
		s.times.Add(ev.sums)
	case takeRows:
		s.times.Decay(now)
		ev.Reply(rows(s))
	case control.Tick:
		return st.rank(s, now)
	}
	return false
}

// rank publishes the busiest workspaces and drops the histograms of others, so
// that the number of metrics stays bounded.
func (st watchTimes) rank(s *State, now time.Time) bool {
	if now.Sub(s.ranked) < rankPeriod && len(s.busiest) >= min(timing.Busiest, s.counter.Len()) {
		return false
	}
	s.ranked = now
	s.times.Decay(now)
	s.counter.Decay()
	top := s.counter.Top()
	if maps.Equal(top, s.busiest) {
		return false
	}
	for w := range s.busiest {
		if !top[w] {
			metrics.UnregisterMetric(workspaceMetric(w))
		}
	}
	s.busiest = top
	return true
}

func rows(s *State) []timing.Row {
	members := s.Members.All()
	var out []timing.Row
	for k, v := range s.times.Sums() {
		out = append(out, timing.Row{Key: k, Sum: v, DataCentre: members[model.InstanceID(k.Endpoint)].DataCentre})
	}
	return out
}
