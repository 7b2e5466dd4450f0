package config

import "time"

// SnapshotDue reports whether the process at the given rank among the live
// entries appends a snapshot now. The first one does so when a fifth of the
// retention time has passed since the last snapshot, and each further one a
// hundredth later, all of them before a quarter has passed. If the first entry is
// down, another one therefore takes over, and the retained part of the log always
// holds at least three snapshots.
func (v View) SnapshotDue(now time.Time, rank int, retention time.Duration) bool {
	if retention <= 0 || v.Accepted.Offset == NoBase || v.Accepted.Loading {
		return false
	}
	wait := retention/5 + time.Duration(min(rank, 4))*retention/100
	return now.Sub(v.SnapshotAt) >= wait
}

// SnapshotRetryInterval returns the time for which a process does not append a
// second snapshot of the same offset. A process that lags cannot see that its
// snapshot was stale and would append megabytes over and over.
func SnapshotRetryInterval(retention time.Duration) time.Duration { return retention / 50 }

// Snapshot returns a record with the accepted state.
func (v View) Snapshot(id, author string) Record {
	return Record{ID: id, Base: v.Accepted.Offset, Author: author, Snapshot: v.Accepted.Lists}
}
