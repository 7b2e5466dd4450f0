package config

// proof looks for a snapshot whose acceptance the retained part of the log
// proves, while the state before that part is not known.
type proof struct {
	first   int64 // offset of the first record in entries, or of the next one
	entries []LogEntry
}

func (p *proof) next() int64 { return p.first + int64(len(p.entries)) }

// add appends records that were read. Records that follow a gap replace the
// earlier ones.
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

// find returns the index of the first proven snapshot above offset, or -1.
func (p *proof) find(offset int64) int {
	namedAt := map[int64]int64{} // base -> offset of the last record that names it
	for _, e := range p.entries {
		if e.Err == nil {
			namedAt[e.Record.Base] = e.Offset
		}
	}
	for i, e := range p.entries {
		if e.Err != nil || e.Record.Snapshot == nil || e.Offset <= offset {
			continue
		}
		if (e.Record.Founding || namedAt[e.Offset] > e.Offset || p.onlyOneOn(i)) && len(e.Record.Snapshot.Check()) == 0 {
			return i
		}
	}
	return -1
}

// onlyOneOn reports whether all records after the base of entry i are retained
// and none before i has the same base. A writer names only a base that it knows
// as accepted, so entry i is then the first record on it.
func (p *proof) onlyOneOn(i int) bool {
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
