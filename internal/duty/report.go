package duty

import (
	"maps"
	"slices"
	"time"
)

// Report is the usage of one window.
type Report struct {
	Window int64
	Counts map[string]int64
}

// Journal is the record of the usage reports in the store. It is written under the lease
// before the first call for a window, so that each later call for it, also of a
// successor, states the same counts.
type Journal struct {
	Era     uint64   // in which the record was sent
	Next    int64    // the windows before it must not be started
	Started []Report // not known to have been accepted
	Orders  []Order  // the last ones of endpoints
}

// Outcome is what is known of a call.
type Outcome int

// The outcomes of a call.
const (
	Accepted Outcome = iota
	Unknown          // it may have been executed
	NotSent          // or refused for the number of calls
	Rejected         // as wrong
)

const (
	// minRepeat and maxRepeat bound the pause before a call is repeated whose outcome
	// is unknown.
	minRepeat = 300 * time.Millisecond
	maxRepeat = 2 * time.Second
)

// Reports are the usage reports of one process while it holds the lease.
type Reports struct {
	next    int64
	started map[int64]*started
	confirm time.Duration
}

// started is a report whose counts are in the store.
type started struct {
	counts   map[string]int64
	accepted int // times
	tries    int
	due      time.Duration
}

// NewReports returns reports of which none is started. An accepted report is repeated after
// the time confirm: the platform doesn't count a call that arrives right after the sender
// was suspended or cut off, which the sender cannot see.
func NewReports(confirm time.Duration) *Reports {
	return &Reports{started: map[int64]*started{}, confirm: confirm}
}

// Take applies the journal that was read when the lease was taken in an era. If the journal
// was written in it, it names all reports that were started; if not, the store may have
// lost some, so nothing before the window floor, which has not ended yet, may be started.
// A process that held the lease when the store was restored knows all that was started.
func (r *Reports) Take(j Journal, era uint64, carried bool, floor int64) {
	if !carried && (j.Era != era || j.Next == 0) {
		r.next = max(r.next, floor)
	}
	r.Merge(j, era)
}

// Merge adds the reports of a journal that was read while the lease is held: an append of
// this process without a reply may have been executed. The reports of a journal that was
// sent in an earlier era are left out. Such an append may have been executed only after the
// store was restored, when other counts had been reported.
func (r *Reports) Merge(j Journal, era uint64) {
	r.next = max(r.next, j.Next)
	if j.Era != era {
		return
	}
	for _, rep := range j.Started {
		if r.started[rep.Window] == nil {
			r.started[rep.Window] = &started{counts: rep.Counts}
		}
	}
}

// Next returns the first window that may be started.
func (r *Reports) Next() int64 { return r.next }

// Skip gives up the windows before the given one that are not started.
func (r *Reports) Skip(window int64) { r.next = max(r.next, window) }

// Journal returns the journal with the given reports added. It becomes valid with Written.
func (r *Reports) Journal(era uint64, more []Report) Journal {
	j := Journal{Era: era, Next: r.next}
	for _, w := range slices.Sorted(maps.Keys(r.started)) {
		if s := r.started[w]; s.accepted == 0 {
			j.Started = append(j.Started, Report{w, s.counts})
		}
	}
	for _, rep := range more {
		j.Started = append(j.Started, rep)
		j.Next = max(j.Next, rep.Window+1)
	}
	return j
}

// Due returns a report whose call is due. The same counts are returned for a window each
// time.
func (r *Reports) Due(now time.Duration) (Report, bool) {
	for _, w := range slices.Sorted(maps.Keys(r.started)) {
		if s := r.started[w]; s.accepted < 2 && now >= s.due {
			return Report{w, s.counts}, true
		}
	}
	return Report{}, false
}

// Apply applies the outcome of a call.
func (r *Reports) Apply(window int64, o Outcome, now time.Duration) {
	s := r.started[window]
	if s == nil {
		return
	}
	switch s.tries++; o {
	case Accepted:
		s.accepted++
		s.tries, s.due = 0, now+r.confirm
	case Rejected:
		s.accepted = 2 // a repetition would be rejected again
	default:
		s.due = now + min(maxRepeat, minRepeat<<min(s.tries-1, 3))
	}
}

// Forget drops the reports of windows before the given one.
func (r *Reports) Forget(window int64) {
	maps.DeleteFunc(r.started, func(w int64, _ *started) bool { return w < window })
}
