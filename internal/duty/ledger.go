package duty

import (
	"maps"
	"slices"
	"time"
)

// Origin is a process that counts requests.
type Origin struct {
	Router  string
	Process uint64
}

// Row holds the requests of each workspace that one process counted in one window so far.
type Row struct {
	Origin Origin
	Window int64
	Counts map[string]int64
}

// Bounds of what a ledger takes from others, since any host can send rows.
const (
	maxOrigins    = 2048
	maxWorkspaces = 20_000 // of one row; the target is 16,000
	maxNameBytes  = 256
	// keptWindows is the number of windows that are kept. The report of a window is due
	// two windows after its end, and the next holder needs one more.
	keptWindows = 8
)

// Ledger holds the counts of this process and those that others sent.
type Ledger struct {
	self    Origin
	rows    map[int64]map[Origin]map[string]int64
	current map[string]uint64                      // process of a router that last sent its own rows
	through map[string]time.Duration               // true time up to which a router sent all its counts
	acked   map[string]map[rowKey]map[string]int64 // counts that a router has
	process map[string]uint64                      // process of that router
	newest  int64                                  // window
}

type rowKey struct {
	origin Origin
	window int64
}

// NewLedger returns an empty ledger of the process self.
func NewLedger(self Origin) *Ledger {
	return &Ledger{self: self, rows: map[int64]map[Origin]map[string]int64{}, current: map[string]uint64{},
		through: map[string]time.Duration{}, acked: map[string]map[rowKey]map[string]int64{}, process: map[string]uint64{}}
}

// Count counts a request of this process.
func (l *Ledger) Count(window int64, workspace string) {
	if row := l.row(window, l.self); row != nil {
		row[workspace]++
	}
}

// Advance drops the windows that are too old once the given window has begun.
func (l *Ledger) Advance(window int64) {
	if window == l.newest {
		return
	}
	l.newest = window
	for w := range l.rows {
		if !l.keeps(w) {
			delete(l.rows, w)
		}
	}
	for _, rows := range l.acked {
		maps.DeleteFunc(rows, func(k rowKey, _ map[string]int64) bool { return !l.keeps(k.window) })
	}
}

// keeps reports whether a window is one of those that are kept.
func (l *Ledger) keeps(window int64) bool {
	return window > l.newest-keptWindows && window <= l.newest+1
}

// row returns the counts of a process in a window, or nil if the window is not kept.
func (l *Ledger) row(window int64, o Origin) map[string]int64 {
	if !l.keeps(window) {
		return nil
	}
	rows := l.rows[window]
	if rows == nil {
		rows = map[Origin]map[string]int64{}
		l.rows[window] = rows
	}
	if rows[o] == nil {
		if len(rows) >= maxOrigins {
			return nil
		}
		rows[o] = map[string]int64{}
	}
	return rows[o]
}

// Merge adds a row that another process sent, and reports whether its window is kept.
// Counts only grow, so rows may arrive repeatedly and in any order.
func (l *Ledger) Merge(r Row) bool {
	if r.Origin == l.self {
		return true
	}
	if len(r.Counts) > maxWorkspaces || len(r.Origin.Router) > maxNameBytes {
		return false
	}
	row := l.row(r.Window, r.Origin)
	if row == nil {
		return false
	}
	for name, n := range r.Counts {
		if len(name) <= maxNameBytes {
			row[name] = max(row[name], n)
		}
	}
	return true
}

// Heard records that a process sent its own rows, with all that it counted up to the true
// time through.
func (l *Ledger) Heard(o Origin, through time.Duration) {
	if _, known := l.through[o.Router]; !known && len(l.through) >= maxOrigins {
		return
	}
	l.current[o.Router] = o.Process
	l.through[o.Router] = through
}

// Outgoing returns the counts that the named router does not have yet: those of this process
// and those of processes that have ended as far as is known: their routers are gone or have
// started again.
func (l *Ledger) Outgoing(router string, gone func(router string) bool) []Row {
	var out []Row
	for window, rows := range l.rows {
		for o, counts := range rows {
			process, heard := l.current[o.Router]
			if o != l.self && !gone(o.Router) && (!heard || process == o.Process) {
				continue
			}
			acked, changed := l.acked[router][rowKey{o, window}], map[string]int64{}
			for name, n := range counts {
				if acked[name] != n {
					changed[name] = n
				}
			}
			if len(changed) > 0 {
				out = append(out, Row{o, window, changed})
			}
		}
	}
	return out
}

// Acked records that a process of the named router has taken the rows.
func (l *Ledger) Acked(router string, process uint64, rows []Row) {
	if l.acked[router] == nil || l.process[router] != process {
		l.process[router], l.acked[router] = process, map[rowKey]map[string]int64{}
	}
	for _, r := range rows {
		key := rowKey{r.Origin, r.Window}
		if l.acked[router][key] == nil {
			l.acked[router][key] = map[string]int64{}
		}
		maps.Copy(l.acked[router][key], r.Counts)
	}
}

// Complete reports whether the named routers have sent all that they counted up to the true
// time end.
func (l *Ledger) Complete(end time.Duration, routers []string) bool {
	return !slices.ContainsFunc(routers, func(name string) bool { return l.through[name] < end })
}

// Routers returns the other routers that counted requests in a window.
func (l *Ledger) Routers(window int64) (out []string) {
	for o := range l.rows[window] {
		if o.Router != l.self.Router {
			out = append(out, o.Router)
		}
	}
	return out
}

// Oldest returns the oldest window that is kept.
func (l *Ledger) Oldest() int64 { return l.newest - keptWindows + 1 }

// Totals returns the requests of each workspace in a window over all processes.
func (l *Ledger) Totals(window int64) map[string]int64 {
	out := map[string]int64{}
	for _, counts := range l.rows[window] {
		for name, n := range counts {
			out[name] += n
		}
	}
	return out
}
