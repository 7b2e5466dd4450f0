// Package member merges the sources of information about the instances of the
// fleet: the instance list, direct evidence from traffic, and leaving notices.
// The age of each source is kept, since the list lags by seconds and entries see
// different versions of it.
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
	// RecentAnswerTime is how long an endpoint that answers stays usable after its
	// removal from the list. The lists of entries differ for seconds; an endpoint
	// that really leaves refuses work itself.
	RecentAnswerTime = 3 * time.Second
	// LeavingNoticeTTL is how long a leaving notice is valid unless a refusal or the
	// list renews it.
	LeavingNoticeTTL = 30 * time.Second
	// BaseBackoff is the backoff after a refused connection. The penalty doubles it
	// with each further refused connection.
	BaseBackoff = time.Second
	// PenaltyHalfLife is the half-life of the flap damping penalty.
	PenaltyHalfLife = 15 * time.Second
	// MaxBackoff bounds the backoff whatever the penalty, so that a working endpoint
	// is always tried again.
	MaxBackoff = 16 * time.Second
	// maxPenalty is the number of recent failures at which the backoff is MaxBackoff.
	maxPenalty = 5
	// removedRetention is how long an instance and its penalty are kept after its
	// removal from the list.
	removedRetention = 2 * time.Minute
)

// Endpoint is the merged view of one endpoint.
type Endpoint struct {
	instances.Instance
	ListedAt      time.Time // when its last change in the list arrived
	AnsweredAt    time.Time // last answer of its side process
	RefusedAt     time.Time // last refused connection
	LeavingNotice time.Time // last leaving notice of its side process; zero if there is none
	BackoffUntil  time.Time // end of the backoff after refused connections
	Penalty       float64   // recent failures, decayed up to PenaltyAt
	PenaltyAt     time.Time
	usable        bool
}

// EndpointID returns the identifier of the endpoint that the instance runs.
func (e Endpoint) EndpointID() model.EndpointID { return model.EndpointID(e.ID) }

// Usable reports whether the endpoint is believed to take new work.
func (e Endpoint) Usable() bool { return e.usable }

// usableAt merges the sources. An endpoint is not usable if any source marks it as
// leaving or during the backoff after a refused connection. One that was removed
// from the list stays usable for a short time if it has answered recently and
// refused no connection since.
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

// addFailure adds a failure to the penalty and starts the backoff.
func (e *Endpoint) addFailure(now time.Time) {
	e.Penalty = min(maxPenalty, e.penaltyAt(now)+1)
	e.PenaltyAt = now
	backoff := time.Duration(float64(BaseBackoff) * math.Exp2(e.Penalty-1))
	e.BackoffUntil = now.Add(min(backoff, MaxBackoff))
}

// Table holds the merged view of all instances. It belongs to the control
// goroutine.
type Table struct {
	items map[model.InstanceID]Endpoint
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{items: map[model.InstanceID]Endpoint{}} }

// ApplyList merges changes of the instance list that arrived at now. An instance
// that flaps in the list gets a penalty for each removal, but the penalty never
// delays a removal.
func (t *Table) ApplyList(ch instances.Changes, now time.Time) {
	for _, in := range ch.Instances {
		e, known := t.items[in.ID]
		if !known && in.Status == instances.Gone {
			continue
		}
		if known && in.Status == instances.Live && e.Status != instances.Live {
			e = relisted(e, now)
		}
		if known && in.Status == instances.Gone && e.Status == instances.Live {
			e.Penalty, e.PenaltyAt = min(maxPenalty, e.penaltyAt(now)+1), now
		}
		e.Instance, e.ListedAt = in, now
		e.usable = e.usableAt(now)
		t.items[in.ID] = e
	}
}

// relisted returns the view of an instance that is live in the list again. The
// first return causes no backoff. Further ones cause a backoff that grows with the
// penalty, unless recent answers show that the endpoint kept working.
func relisted(e Endpoint, now time.Time) Endpoint {
	e.LeavingNotice = time.Time{}
	answering := !e.AnsweredAt.IsZero() && now.Sub(e.AnsweredAt) < RecentAnswerTime && e.RefusedAt.Before(e.AnsweredAt)
	if p := e.penaltyAt(now); p > 1 && !answering {
		backoff := time.Duration(float64(BaseBackoff) * math.Exp2(p-1))
		e.BackoffUntil = now.Add(min(backoff, MaxBackoff))
	}
	return e
}

// update changes one known instance and reports whether its usability changed.
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

// RecordAnswer records an answer of the endpoint. It reports whether the set of
// usable endpoints changed.
func (t *Table) RecordAnswer(id model.InstanceID, now time.Time) bool {
	return t.update(id, now, func(e *Endpoint) { e.AnsweredAt = now })
}

// RecordRefusedConnection records a connection that the endpoint's side process
// refused. It reports whether the set of usable endpoints changed.
func (t *Table) RecordRefusedConnection(id model.InstanceID, now time.Time) bool {
	return t.update(id, now, func(e *Endpoint) {
		if e.RefusedAt.IsZero() || !now.Before(e.BackoffUntil) {
			e.addFailure(now) // concurrent requests that are refused count once
		}
		e.RefusedAt = now
	})
}

// RecordLeaving records a leaving notice of an instance. It reports whether the
// set of usable endpoints changed.
func (t *Table) RecordLeaving(id model.InstanceID, now time.Time) bool {
	return t.update(id, now, func(e *Endpoint) { e.LeavingNotice = now })
}

// Step applies the passage of time and reports whether the set of usable
// endpoints changed.
func (t *Table) Step(now time.Time) bool {
	changed := false
	for id, e := range t.items {
		if e.Status == instances.Gone && now.Sub(e.ListedAt) > removedRetention {
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

// Sorted returns the instances of All, sorted by id.
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

// All returns a copy of the view. It includes instances that were removed from
// the list only while they are usable.
func (t *Table) All() map[model.InstanceID]Endpoint {
	out := maps.Clone(t.items)
	maps.DeleteFunc(out, func(_ model.InstanceID, e Endpoint) bool { return e.Status == instances.Gone && !e.usable })
	return out
}
