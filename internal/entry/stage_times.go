package entry

import (
	"maps"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/timing"
)

// timeState is the part of the control state for stage times.
type timeState struct {
	times          *timing.Table
	requestCounter *timing.Counter
	busiest        map[model.Workspace]bool // immutable, replaced as a whole
	rankedAt       time.Time
}

func newTimeState() timeState {
	return timeState{times: timing.NewTable(), requestCounter: timing.NewCounter()}
}

// Events of stage times.
type (
	// answerTimed reports an answer that this entry has sent completely.
	answerTimed struct {
		workspace  model.Workspace
		pool       model.Pool
		version    model.Version
		route      model.Route
		chooseTime time.Duration // time in StageChoose
	}
	// timesReceived carries the stage times of a side.
	timesReceived struct{ sums timing.Sums }
	// stageTimesQuery asks for the stage times that this entry knows.
	stageTimesQuery struct {
		control.Question[[]timing.Row]
	}
)

func (answerTimed) EventName() string     { return "answer_timed" }
func (timesReceived) EventName() string   { return "times_received" }
func (stageTimesQuery) EventName() string { return "take_rows" }

// rankInterval is the interval at which the busiest workspaces are recomputed.
const rankInterval = time.Minute

// trackTimes keeps the stage times of the endpoints that report to this aggregator
// and ranks the workspaces of this entry by their requests.
type trackTimes struct{ settings Settings }

func (trackTimes) Name() string { return "watch_times" }

func (st trackTimes) Apply(s *State, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case answerTimed:
		s.requestCounter.Add(ev.workspace)
		// The entry is named as the endpoint, since a slow choice is its own.
		s.times.Add(timing.Sums{{
			Endpoint: model.EndpointID(st.settings.Instance), Pool: ev.pool,
			Version: ev.version, Route: ev.route, Stage: model.StageChoose,
		}: {Requests: 1, Time: ev.chooseTime}})
	case timesReceived:
		s.times.Add(ev.sums)
	case stageTimesQuery:
		s.times.Decay(now)
		ev.Reply(timingRows(s))
	case control.Tick:
		return st.rank(s, now)
	}
	return false
}

// rank publishes the busiest workspaces and drops the histograms of others, so
// that the number of metrics stays bounded.
func (st trackTimes) rank(s *State, now time.Time) bool {
	if now.Sub(s.rankedAt) < rankInterval && len(s.busiest) >= min(timing.BusiestCount, s.requestCounter.Len()) {
		return false
	}
	s.rankedAt = now
	s.times.Decay(now)
	s.requestCounter.Decay()
	top := s.requestCounter.Top()
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

// timingRows returns the stage times with the data centres of the endpoints.
func timingRows(s *State) []timing.Row {
	members := s.Members.All()
	var out []timing.Row
	for k, v := range s.times.Sums() {
		out = append(out, timing.Row{Key: k, Sum: v, DataCentre: members[model.InstanceID(k.Endpoint)].DataCentre})
	}
	return out
}
