// Package member merges what is known about the instances of the fleet: the
// platform's list, direct evidence from traffic, and leaving notices.
package member

import (
	"maps"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Endpoint is the merged view of one endpoint.
type Endpoint struct {
	instances.Instance
	LeavingNotice time.Time // when the side announced that it leaves; zero if it did not
}

// EndpointID returns the identifier of the endpoint behind the instance.
func (e Endpoint) EndpointID() model.EndpointID { return model.EndpointID(e.ID) }

// Usable reports whether the endpoint takes new work as far as is known.
func (e Endpoint) Usable() bool {
	return e.Status == instances.Live && e.LeavingNotice.IsZero()
}

// Table holds the merged view. It belongs to the control goroutine.
type Table struct {
	items map[model.InstanceID]Endpoint
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{items: map[model.InstanceID]Endpoint{}} }

// ApplyList merges changes of the platform's list.
func (t *Table) ApplyList(ch instances.Changes) {
	for _, in := range ch.Instances {
		if in.Status == instances.Gone {
			delete(t.items, in.ID)
			continue
		}
		e := t.items[in.ID]
		e.Instance = in
		t.items[in.ID] = e
	}
}

// NoteLeaving records the notice of an instance that it leaves.
func (t *Table) NoteLeaving(id model.InstanceID, now time.Time) {
	if e, ok := t.items[id]; ok && e.LeavingNotice.IsZero() {
		e.LeavingNotice = now
		t.items[id] = e
	}
}

// All returns a copy of the view.
func (t *Table) All() map[model.InstanceID]Endpoint { return maps.Clone(t.items) }
