package config

import "time"

// SnapshotDue reports whether the process at the given rank in the order of
// the live entries appends the accepted state again. The first one does so
// after a fifth of the retention, each further one a hundredth later, all
// before a quarter has passed, so that a dead first entry is replaced and every
// retained stretch of the log holds at least three snapshots.
func (v View) SnapshotDue(now time.Time, rank int, retention time.Duration) bool {
	if retention <= 0 || v.Accepted.Offset == NoBase || v.Accepted.Loading {
		return false
	}
	wait := retention/5 + time.Duration(min(rank, 4))*retention/100
	return now.Sub(v.SnapshotAt) >= wait
}

// SnapshotRetryInterval returns the time for which a process does not append a second
// snapshot of the same offset. A process that lags cannot see that its snapshot
// was stale and would append megabytes again and again.
func SnapshotRetryInterval(retention time.Duration) time.Duration { return retention / 50 }

// Snapshot returns the record that repeats the accepted state.
func (v View) Snapshot(id, author string) Record {
	return Record{ID: id, Base: v.Accepted.Offset, Author: author, Snapshot: v.Accepted.Lists}
}
