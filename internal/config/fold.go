package config

import (
	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
)

// Accepted is an accepted configuration. It is immutable.
type Accepted struct {
	Offset  int64 // offset of the last accepted record; NoBase before the first
	ID      string
	Lists   *lists.Lists
	Loading bool // some workspaces are not loaded from a peer yet
}

// Empty returns the configuration before the first record.
func Empty() *Accepted { return &Accepted{Offset: NoBase, Lists: lists.New()} }

// ErrStale is returned for a record whose base is not the accepted offset.
var ErrStale = eris.New("config: record is based on a configuration that is no longer the accepted one")

// Next returns the configuration after the record at offset. It returns ErrStale
// for a stale record, and another error if the record cannot be applied or the
// resulting lists fail their checks. It does not modify a. The result depends
// only on a and the record, so all readers get the same one.
func (a *Accepted) Next(offset int64, rec Record) (*Accepted, error) {
	founding := rec.Founding && rec.Snapshot != nil
	if offset <= a.Offset || rec.Base != a.Offset && !founding {
		return nil, ErrStale
	}
	return a.apply(offset, rec, true)
}

func (a *Accepted) apply(offset int64, rec Record, check bool) (*Accepted, error) {
	next := rec.Snapshot
	if next == nil {
		var err error
		if next, err = a.Lists.Apply(rec.Changes); err != nil {
			return nil, err
		}
	}
	if check {
		if err := next.Check().Err(); err != nil {
			return nil, eris.Wrap(err, "config: record is invalid")
		}
	}
	return &Accepted{Offset: offset, ID: rec.ID, Lists: next, Loading: a.Loading && rec.Snapshot == nil}, nil
}
