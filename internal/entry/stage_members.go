package entry

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/choose"
	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// overBoundTTL is how long an endpoint counts as over its load bound after it
// refused a request for its load. Sides receive a new mean load about once a second,
// so an older refusal says little.
const overBoundTTL = time.Second

// endpointLoad is the load of an endpoint as of the last attempts.
type endpointLoad struct {
	ratio          float64 // load over the pool mean; 0 if unknown
	overBoundUntil time.Time
	overBound      bool
}

// routingState is the part of the control state of the stages mergeMembers and
// deriveRouting.
type routingState struct {
	Candidates      map[model.Pool]*choose.Pool // endpoints by pool, to be ordered for a chat; immutable, replaced as a whole
	keysConfig      *config.Accepted            // configuration from which Keys was derived
	loads           map[model.EndpointID]endpointLoad
	ratiosChanged   bool                           // a load ratio changed since the last tick
	candidatesStale bool                           // Candidates lack the newest loads
	firstTick       time.Time                      // zero before the first tick
	outOfService    map[model.DataCentre]bool      // data centres that are out of service
	returnedAt      map[model.DataCentre]time.Time // time of the return to service of a data centre
}

func newRoutingState() routingState {
	return routingState{
		loads: map[model.EndpointID]endpointLoad{}, outOfService: map[model.DataCentre]bool{},
		returnedAt: map[model.DataCentre]time.Time{},
	}
}

// endpointObserved carries what one attempt showed about an endpoint. reason is
// empty after an answer; ratio is 0 if unknown.
type endpointObserved struct {
	id     model.EndpointID
	reason model.Reason
	ratio  float64
}

// EventName implements control.Event.
func (endpointObserved) EventName() string { return "endpoint_seen" }

// mergeMembers merges the sources of membership, and the load ratios that answers
// and refusals carry.
type mergeMembers struct{}

func (mergeMembers) Name() string { return "fold_members" }

func (st mergeMembers) Apply(s *State, now time.Time, ev control.Event) bool {
	membersChanged, loadsChanged := false, false
	switch ev := ev.(type) {
	case listChanged:
		s.Members.ApplyList(ev.changes, now)
		membersChanged = true
	case endpointObserved:
		membersChanged, loadsChanged = recordReachability(s, now, ev), recordLoad(s, now, ev)
	case control.Tick:
		membersChanged, loadsChanged = s.Members.Step(now), expireLoads(s, now)
	}
	if membersChanged {
		s.derivedValid = false
		metrics.GetOrCreateCounter(`goldcrest_entry_membership_changes_total`).Inc()
	}
	s.candidatesStale = s.candidatesStale || loadsChanged
	return membersChanged || loadsChanged
}

// recordReachability merges the direct evidence of an attempt into the membership.
// It reports whether the usable endpoints changed.
func recordReachability(s *State, now time.Time, ev endpointObserved) bool {
	id := model.InstanceID(ev.id)
	switch ev.reason {
	case model.ReasonUnreachable:
		return s.Members.RecordRefusedConnection(id, now)
	case model.ReasonLeaving, model.ReasonDraining:
		return s.Members.RecordLeaving(id, now)
	}
	return s.Members.RecordAnswer(id, now)
}

// recordLoad keeps the load ratio and reports whether the endpoint went over its
// load bound or back below it. Other changes wait for the next tick.
func recordLoad(s *State, now time.Time, ev endpointObserved) bool {
	l := s.loads[ev.id]
	over := refusedForLoad(ev.reason)
	changed := over != l.overBound
	if over {
		l.overBoundUntil = now.Add(overBoundTTL)
	}
	if ev.ratio > 0 {
		s.ratiosChanged = s.ratiosChanged || l.ratio != ev.ratio
		l.ratio = ev.ratio
	}
	l.overBound = over
	s.loads[ev.id] = l
	return changed
}

// refusedForLoad reports whether a refusal says that the endpoint takes no more work
// for the moment. A data centre that is out of service counts too, since the side may
// have the record before this entry does.
func refusedForLoad(r model.Reason) bool {
	return r == model.ReasonOverloaded || r == model.ReasonCold || r == model.ReasonDataCentreOut
}

// expireLoads ends overBound after overBoundTTL and drops the loads of endpoints that
// are no longer known. It reports whether any load changed since the last tick.
func expireLoads(s *State, now time.Time) bool {
	changed := s.ratiosChanged
	s.ratiosChanged = false
	for id, l := range s.loads {
		if l.overBound && now.After(l.overBoundUntil) {
			l.overBound, changed = false, true
			s.loads[id] = l
		}
		if _, known := s.Members.Get(model.InstanceID(id)); !known {
			delete(s.loads, id)
		}
	}
	return changed
}
