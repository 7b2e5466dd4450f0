// Package member merges what is known about the instances of the fleet: the
// platform's list, direct evidence from traffic, and leaving notices. Each
// source keeps its age, since the list lags by seconds and entries disagree.
package member

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Times and penalties of the merge.
const (
	// RecentAnswerTime is how long an endpoint that answers outlives its removal
	// from the list. Lists disagree for seconds; the endpoint itself refuses
	// work when it really leaves.
	RecentAnswerTime = 3 * time.Second
	// LeavingNoticeTTL is how long a leaving notice holds without being renewed by a
	// refusal or by the list.
	LeavingNoticeTTL = 30 * time.Second
	// BaseBackoff is the pause after a refused connection. It doubles with
	// each further one through the penalty.
	BaseBackoff = time.Second
	// PenaltyHalfLife is the time in which the penalty for flapping halves.
	PenaltyHalfLife = 15 * time.Second
	// MaxBackoff bounds the pause that any penalty causes, so that an endpoint
	// that works is always tried again.
	MaxBackoff = 16 * time.Second
	// maxPenalty is the number of recent failures at which the pause is MaxHold.
	maxPenalty = 5
	// goneKept is how long the penalty of an instance outlives its removal.
	goneKept = 2 * time.Minute
)

// Endpoint is the merged view of one endpoint.
type Endpoint struct {
	instances.Instance
	ListedAt      time.Time // when the list last named it
	AnsweredAt    time.Time // last answer of its side process
	RefusedAt     time.Time // last refused connection
	LeavingNotice time.Time // when the side last announced that it leaves; zero if it did not
	BackoffUntil  time.Time // no new work before, because of refused connections
	Penalty       float64   // recent failures, decayed up to PenaltyAt
	PenaltyAt     time.Time
	usable        bool
}

// EndpointID returns the identifier of the endpoint behind the instance.
func (e Endpoint) EndpointID() model.EndpointID { return model.EndpointID(e.ID) }

// Usable reports whether the endpoint takes new work as far as is known.
func (e Endpoint) Usable() bool { return e.usable }

// usableAt merges the sources. A mark of leaving counts from any source; a
// removal from the list counts unless the endpoint answered since shortly
// before; a refused connection counts until its hold ends.
func (e Endpoint) usableAt(now time.Time) bool {
	switch {
	case e.Status == instances.Leaving:
		return false
	case !e.LeavingNotice.IsZero() && now.Sub(e.LeavingNotice) < LeavingNoticeTTL:
		return false
	case now.Before(e.BackoffUntil):
		return false
	case e.Status == instances.Gone:
		return !e.AnsweredAt.IsZero() && now.Sub(e.AnsweredAt) < RecentAnswerTime &&
			now.Sub(e.ListedAt) < RecentAnswerTime && e.RefusedAt.Before(e.AnsweredAt)
	}
	return e.Status == instances.Live
}

// penaltyAt returns the penalty decayed to now.
func (e Endpoint) penaltyAt(now time.Time) float64 {
	if e.Penalty == 0 {
		return 0
	}
	return e.Penalty * math.Exp2(-float64(now.Sub(e.PenaltyAt))/float64(PenaltyHalfLife))
}

// fail adds a failure and works out the pause that follows it.
func (e *Endpoint) fail(now time.Time) {
	e.Penalty = min(maxPenalty, e.penaltyAt(now)+1)
	e.PenaltyAt = now
	hold := time.Duration(float64(BaseBackoff) * math.Exp2(e.Penalty-1))
	e.BackoffUntil = now.Add(min(hold, MaxBackoff))
}

// Table holds the merged view. It belongs to the control goroutine.
type Table struct {
	items map[model.InstanceID]Endpoint
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{items: map[model.InstanceID]Endpoint{}} }

// ApplyList merges changes of the platform's list that arrived at now. An
// instance that flaps in the list collects a penalty for each removal, but a
// removal itself is never delayed by the penalty.
func (t *Table) ApplyList(ch instances.Changes, now time.Time) {
	for _, in := range ch.Instances {
		e, known := t.items[in.ID]
		if !known && in.Status == instances.Gone {
			continue
		}
		if known && in.Status == instances.Live && e.Status != instances.Live {
			e = returned(e, now)
		}
		if known && in.Status == instances.Gone && e.Status == instances.Live {
			e.Penalty, e.PenaltyAt = min(maxPenalty, e.penaltyAt(now)+1), now
		}
		e.Instance, e.ListedAt = in, now
		e.usable = e.usableAt(now)
		t.items[in.ID] = e
	}
}

// returned is the view of an instance that the list shows again. The first
// return is not held; further ones are held by their penalty, unless traffic
// shows that the endpoint worked all the time.
func returned(e Endpoint, now time.Time) Endpoint {
	e.LeavingNotice = time.Time{}
	answering := !e.AnsweredAt.IsZero() && now.Sub(e.AnsweredAt) < RecentAnswerTime && e.RefusedAt.Before(e.AnsweredAt)
	if p := e.penaltyAt(now); p > 1 && !answering {
		hold := time.Duration(float64(BaseBackoff) * math.Exp2(p-1))
		e.BackoffUntil = now.Add(min(hold, MaxBackoff))
	}
	return e
}

// update changes one known item and reports whether its usability changed.
func (t *Table) update(id model.InstanceID, now time.Time, change func(*Endpoint)) bool {
	e, ok := t.items[id]
	if !ok {
		return false
	}
	before := e.usable
	change(&e)
	e.usable = e.usableAt(now)
	t.items[id] = e
	return e.usable != before
}

// RecordAnswer records an answer of the endpoint. It reports whether the usable
// endpoints changed.
func (t *Table) RecordAnswer(id model.InstanceID, now time.Time) bool {
	return t.update(id, now, func(e *Endpoint) { e.AnsweredAt = now })
}

// RecordRefusedConnection records a connection that the endpoint's side process did not
// take. It reports whether the usable endpoints changed.
func (t *Table) RecordRefusedConnection(id model.InstanceID, now time.Time) bool {
	return t.update(id, now, func(e *Endpoint) {
		if e.RefusedAt.IsZero() || !now.Before(e.BackoffUntil) {
			e.fail(now) // refusals of requests that were under way together count once
		}
		e.RefusedAt = now
	})
}

// RecordLeaving records the notice of an instance that it leaves. It reports
// whether the usable endpoints changed.
func (t *Table) RecordLeaving(id model.InstanceID, now time.Time) bool {
	return t.update(id, now, func(e *Endpoint) { e.LeavingNotice = now })
}

// Step applies the passage of time and reports whether the usable endpoints
// changed.
func (t *Table) Step(now time.Time) bool {
	changed := false
	for id, e := range t.items {
		if e.Status == instances.Gone && now.Sub(e.ListedAt) > goneKept {
			delete(t.items, id)
			continue
		}
		if u := e.usableAt(now); u != e.usable {
			e.usable, changed = u, true
			t.items[id] = e
		}
	}
	return changed
}

// Get returns the view of one instance.
func (t *Table) Get(id model.InstanceID) (Endpoint, bool) {
	e, ok := t.items[id]
	return e, ok
}

// Sorted returns the view in order of the ids, without the instances that All
// leaves out.
func (t *Table) Sorted() []Endpoint {
	ids := make([]model.InstanceID, 0, len(t.items))
	for id, e := range t.items {
		if e.Status != instances.Gone || e.usable {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	out := make([]Endpoint, len(ids))
	for i, id := range ids {
		out[i] = t.items[id]
	}
	return out
}

// All returns a copy of the view. Instances that the list removed are in it
// only while they are still used.
func (t *Table) All() map[model.InstanceID]Endpoint {
	out := maps.Clone(t.items)
	maps.DeleteFunc(out, func(_ model.InstanceID, e Endpoint) bool { return e.Status == instances.Gone && !e.usable })
	return out
}
