package entry

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/choose"
	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// overHold is how long an endpoint counts as over its bound after it said so.
// Sides learn a new mean about once a second, so an older mark says little.
const overHold = time.Second

// endpointLoad is what the last hand-overs showed of an endpoint's load.
type endpointLoad struct {
	ratio     float64
	overUntil time.Time
	over      bool
}

// routingState is what the stages of membership and derivation keep.
type routingState struct {
	Candidates map[model.Pool]*choose.Pool // what the order of a chat is taken from; replaced, never changed
	keysOf     *config.Accepted            // configuration that Keys belongs to
	loads      map[model.EndpointID]endpointLoad
	loadsMoved bool // a load ratio changed since the last tick
	loadsStale bool // Candidates lack the newest loads
	firstTick  time.Time
	wasOut     map[model.DataCentre]bool
	returning  map[model.DataCentre]time.Time // since when a data centre is back in service
}

func newRoutingState() routingState {
	return routingState{
		loads: map[model.EndpointID]endpointLoad{}, wasOut: map[model.DataCentre]bool{},
		returning: map[model.DataCentre]time.Time{},
	}
}

// endpointSeen carries what one hand-over showed about an endpoint. reason is
// empty after an answer; ratio is 0 if unknown.
type endpointSeen struct {
	id     model.EndpointID
	reason model.Reason
	ratio  float64
}

// EventName implements control.Event.
func (endpointSeen) EventName() string { return "endpoint_seen" }

// foldMembers merges the sources of membership and the load ratios that come
// with answers and refusals.
type foldMembers struct{}

func (foldMembers) Name() string { return "fold_members" }

func (st foldMembers) Apply(s *State, now time.Time, ev control.Event) bool {
	members, loads := false, false
	switch ev := ev.(type) {
	case listChanged:
		s.Members.ApplyList(ev.changes, now)
		members = true
	case endpointSeen:
		members, loads = noteEvidence(s, now, ev), noteLoad(s, now, ev)
	case control.Tick:
		members, loads = s.Members.Step(now), expireLoads(s, now)
	}
	if members {
		s.derived = false
		metrics.GetOrCreateCounter(`goldcrest_entry_membership_changes_total`).Inc()
	}
	s.loadsStale = s.loadsStale || loads
	return members || loads
}

// noteEvidence merges direct evidence. It reports whether usability changed.
func noteEvidence(s *State, now time.Time, ev endpointSeen) bool {
	id := model.InstanceID(ev.id)
	switch ev.reason {
	case model.ReasonUnreachable:
		return s.Members.RecordRefusedConnection(id, now)
	case model.ReasonLeaving, model.ReasonDraining:
		return s.Members.RecordLeaving(id, now)
	}
	return s.Members.RecordAnswer(id, now)
}

// noteLoad keeps the load ratio and reports whether the endpoint went over its
// bound or below it. Smaller changes wait for the next tick.
func noteLoad(s *State, now time.Time, ev endpointSeen) bool {
	l := s.loads[ev.id]
	over := overBound(ev.reason)
	changed := over != l.over
	if over {
		l.overUntil = now.Add(overHold)
	}
	if ev.ratio > 0 {
		s.loadsMoved = s.loadsMoved || l.ratio != ev.ratio
		l.ratio = ev.ratio
	}
	l.over = over
	s.loads[ev.id] = l
	return changed
}

// overBound reports whether a refusal says that the endpoint takes no more for
// the moment. A data centre that is out counts too, since the side may know of
// the record before this entry does.
func overBound(r model.Reason) bool {
	return r == model.ReasonOverloaded || r == model.ReasonCold || r == model.ReasonDataCentreOut
}

// expireLoads drops old marks. It reports whether any load changed.
func expireLoads(s *State, now time.Time) bool {
	changed := s.loadsMoved
	s.loadsMoved = false
	for id, l := range s.loads {
		if l.over && now.After(l.overUntil) {
			l.over, changed = false, true
			s.loads[id] = l
		}
		if _, known := s.Members.Get(model.InstanceID(id)); !known {
			delete(s.loads, id)
		}
	}
	return changed
}
