package config

// proof searches the retained part of the log for a proven snapshot, that is,
// one whose acceptance follows from the retained records alone, while the state
// before them is unknown.
type proof struct {
	first   int64 // offset of the first record in entries, or of the next one if there is none
	entries []LogEntry
}

func (p *proof) next() int64 { return p.first + int64(len(p.entries)) }

// add appends records read from the log. Records after a gap replace the earlier
// ones.
func (p *proof) add(b Batch) {
	for _, e := range b.Entries {
		switch {
		case e.Offset < p.next():
		case e.Offset > p.next():
			p.first, p.entries = e.Offset, []LogEntry{e}
		default:
			p.entries = append(p.entries, e)
		}
	}
}

// find returns the index of the first proven snapshot above offset, or -1. A valid
// snapshot is proven if it is a founding one, if a later record is based on it or
// if it is the first record on its base.
func (p *proof) find(offset int64) int {
	lastOnBase := map[int64]int64{} // base -> offset of the last record with this base
	for _, e := range p.entries {
		if e.Err == nil {
			lastOnBase[e.Record.Base] = e.Offset
		}
	}
	for i, e := range p.entries {
		if e.Err != nil || e.Record.Snapshot == nil || e.Offset <= offset {
			continue
		}
		if (e.Record.Founding || lastOnBase[e.Offset] > e.Offset || p.isFirstOnBase(i)) && len(e.Record.Snapshot.Check()) == 0 {
			return i
		}
	}
	return -1
}

// isFirstOnBase reports whether all records after the base of entry i are
// retained and none before i has the same base. Writers use only bases that they
// know to be accepted, so entry i is then the first record on its base and was
// accepted.
func (p *proof) isFirstOnBase(i int) bool {
	base := p.entries[i].Record.Base
	if base+1 < p.first {
		return false
	}
	for _, e := range p.entries[:i] {
		if e.Offset > base && e.Err == nil && e.Record.Base == base {
			return false
		}
	}
	return true
}
