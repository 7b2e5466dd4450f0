package config

import "github.com/goldcrestturn/goldcrestturn/internal/lists"

// historyLen is the number of accepted records that are kept for peers with an
// older configuration. At 1,100 changes a day they cover more than five hours.
const historyLen = 256

// history holds the last accepted records. The base of each record is the record
// before it.
type history struct {
	entries []LogEntry
}

// add appends the accepted record e. A snapshot takes megabytes, so only its
// changes to the state before are kept, of which there are usually none.
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

// reset removes all records. It is called when the state was replaced by another one.
func (h *history) reset() { h.entries = nil }

// since returns the accepted records after offset, or false if the history does
// not reach back to it.
func (h history) since(offset int64) ([]LogEntry, bool) {
	for i, e := range h.entries {
		if e.Record.Base == offset {
			return h.entries[i:], true
		}
	}
	return nil, false
}
