package config

import "github.com/goldcrestturn/goldcrestturn/internal/lists"

// historyLen is the number of accepted records kept for peers that are behind.
// At 1,100 changes a day it covers more than five hours.
const historyLen = 256

// history holds the last accepted records. Each one names the one before it as
// its base.
type history struct {
	entries []LogEntry
}

// add appends the accepted record e. A snapshot is kept as its changes against
// the state before, which are usually none, since it takes megabytes.
func (h *history) add(before *lists.Lists, e LogEntry) {
	if e.Record.Founding {
		h.entries = nil
		return
	}
	if n := len(h.entries); n > 0 && h.entries[n-1].Offset != e.Record.Base {
		h.entries = nil
	}
	if e.Record.Snapshot != nil {
		changes, err := lists.Diff(before, e.Record.Snapshot)
		if err != nil {
			h.entries = nil
			return
		}
		e.Record.Snapshot, e.Record.Changes = nil, changes
	}
	h.entries = append(h.entries, e)
	if len(h.entries) > historyLen {
		h.entries = append([]LogEntry(nil), h.entries[len(h.entries)-historyLen:]...)
	}
}

// restart forgets all records, since the state was replaced as a whole.
func (h *history) restart() { h.entries = nil }

// since returns the accepted records after offset, or false if they do not
// reach back that far.
func (h history) since(offset int64) ([]LogEntry, bool) {
	for i, e := range h.entries {
		if e.Record.Base == offset {
			return h.entries[i:], true
		}
	}
	return nil, false
}
