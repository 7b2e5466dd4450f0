package config

import (
	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
)

// Accepted is an immutable accepted configuration.
type Accepted struct {
	Offset  int64 // offset of the last accepted record; NoBase before the first one
	ID      string
	Lists   *lists.Lists
	Loading bool // some workspaces have not been loaded from a peer yet
}

// Empty returns the configuration before any record.
func Empty() *Accepted { return &Accepted{Offset: NoBase, Lists: lists.New()} }

// ErrStale is the verdict on a record whose base is not the accepted offset.
var ErrStale = eris.New("config: record is based on a configuration that is no longer the accepted one")

// Next returns the configuration after the record at offset, or ErrStale, or
// an error if the record cannot be applied or its result fails the checks of
// the lists. It never changes a. The verdict depends on nothing but a and rec,
// so every reader reaches the same one.
func (a *Accepted) Next(offset int64, rec Record) (*Accepted, error) {
	founds := rec.Founding && rec.Snapshot != nil
	if offset <= a.Offset || rec.Base != a.Offset && !founds {
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
			return nil, eris.Wrap(err, "config: record is unsuitable")
		}
	}
	return &Accepted{Offset: offset, ID: rec.ID, Lists: next, Loading: a.Loading && rec.Snapshot == nil}, nil
}
