package config

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
)

// Stream is the name of the configuration stream in the log service.
const Stream = "config"

// NoBase is the base offset of the first record of a fleet.
const NoBase int64 = -1

// Record is one entry of the configuration stream.
type Record struct {
	ID       string         `json:"id"`                 // unique, to find the record after a lost append answer
	Base     int64          `json:"base"`               // offset of the accepted record that this one is based on
	Author   string         `json:"author,omitempty"`   // for the operators' log
	Changes  []lists.Change `json:"changes,omitempty"`  // changes against the base
	Snapshot *lists.Lists   `json:"snapshot,omitempty"` // whole accepted state, appended before retention passes it
}

// Accepted is an immutable accepted configuration.
type Accepted struct {
	Offset int64 // offset of the last accepted record; NoBase before the first one
	ID     string
	Lists  *lists.Lists
}

// Empty returns the configuration before any record.
func Empty() *Accepted { return &Accepted{Offset: NoBase, Lists: lists.New()} }

// ErrStale is the verdict on a record whose base is not the accepted offset.
var ErrStale = eris.New("config: record is based on a configuration that is no longer the accepted one")

// Next returns the configuration after the record at offset, or ErrStale, or
// an error if the record cannot be applied. It never changes a.
func (a *Accepted) Next(offset int64, rec Record) (*Accepted, error) {
	if offset <= a.Offset || rec.Base != a.Offset {
		return nil, ErrStale
	}
	if rec.Snapshot != nil {
		return &Accepted{Offset: offset, ID: rec.ID, Lists: rec.Snapshot}, nil
	}
	next, err := a.Lists.Apply(rec.Changes)
	if err != nil {
		return nil, err
	}
	return &Accepted{Offset: offset, ID: rec.ID, Lists: next}, nil
}

// Decode decodes the data of one record.
func Decode(data []byte) (Record, error) {
	var rec Record
	if err := json.Unmarshal(data, &rec); err != nil {
		return Record{}, eris.Wrap(err, "config: record is malformed")
	}
	if rec.ID == "" {
		return Record{}, eris.New("config: record has no id")
	}
	return rec, nil
}

// Encode encodes rec for the stream.
func (rec Record) Encode() ([]byte, error) {
	data, err := json.Marshal(rec)
	return data, eris.Wrap(err, "config: record cannot be encoded")
}
