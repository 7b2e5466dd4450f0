package config

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/invariant"
)

// Batch is one read of the configuration stream.
type Batch struct {
	First   int64 // offset of the oldest retained record
	Entries []LogEntry
}

// SkippedRecord is a record that was skipped because it is malformed or invalid.
type SkippedRecord struct {
	Offset int64
	Err    error
}

// Mechanism names a mechanism of a Follower that a test can disable to show that
// its check fails without it.
type Mechanism string

// The mechanisms of a Follower.
const (
	BaseRule  Mechanism = "base_rule"  // the base of a record must be the accepted offset
	ProofRule Mechanism = "proof_rule" // a snapshot must be proven before it is used
	Monotone  Mechanism = "monotone"   // the state of a peer must be newer
	ListCheck Mechanism = "list_check" // a record that leads to invalid lists is skipped
	GapCheck  Mechanism = "gap_check"  // trimmed records that were not read are detected
)

// Follower keeps the accepted configuration of one process up to date from the
// log and from peers. Only the control goroutine uses it.
type Follower struct {
	Accepted   *Accepted
	SnapshotAt time.Time // append time of the last accepted record with the complete state; zero if unknown
	Skipped    int64     // number of malformed and invalid records

	first    int64  // offset of the oldest retained record at the last read of the log
	next     int64  // offset after the last record of the log that was applied or skipped
	proof    *proof // set while records before the retained ones are missing
	load     *load  // set while workspaces are being loaded from peers
	history  history
	disabled Mechanism // for tests
}

// NewFollower returns a follower without configuration. Tests pass the mechanism
// to disable; programs pass none.
func NewFollower(disabled ...Mechanism) *Follower {
	f := &Follower{Accepted: Empty()}
	for _, m := range disabled {
		f.disabled = m
	}
	return f
}

// AwaitingSnapshot reports whether the follower waits for a proven snapshot or
// for a peer, since records that it has not read were trimmed.
func (f *Follower) AwaitingSnapshot() bool { return f.proof != nil }

// ApplyLog applies a read of the log. It returns the skipped records and whether
// the accepted configuration changed.
func (f *Follower) ApplyLog(b Batch) (skipped []SkippedRecord, changed bool) {
	f.first = b.First
	if f.load != nil {
		// A record can be checked only if all workspaces are known. Until then
		// records come from peers, which send only accepted ones.
		return nil, false
	}
	before := f.Accepted
	if b.First > f.next && b.First > f.Accepted.Offset+1 && f.disabled != GapCheck {
		if f.proof == nil {
			f.proof = &proof{first: b.First}
		}
	}
	if f.proof != nil {
		return f.collectUntilProven(b)
	}
	for _, e := range b.Entries {
		if s := f.applyEntry(e); s != nil {
			skipped = append(skipped, *s)
		}
	}
	return skipped, f.Accepted != before
}

// collectUntilProven collects records until one of them is a proven snapshot,
// and continues from it. A peer may provide a state earlier than that.
func (f *Follower) collectUntilProven(b Batch) (skipped []SkippedRecord, changed bool) {
	f.proof.add(b)
	i := f.proof.find(f.Accepted.Offset)
	if f.disabled == ProofRule {
		i = f.proof.lastSnapshot()
	}
	if i >= 0 {
		e := f.proof.entries[i]
		f.setAccepted(&Accepted{Offset: e.Offset, ID: e.Record.ID, Lists: e.Record.Snapshot})
		f.history.reset()
		f.SnapshotAt = e.At
		return f.applyCollected(), true
	}
	return nil, false
}

// lastSnapshot returns the index of the last snapshot, or -1. It is used by
// tests that disable ProofRule.
func (p *proof) lastSnapshot() int {
	for i := len(p.entries) - 1; i >= 0; i-- {
		if p.entries[i].Record.Snapshot != nil {
			return i
		}
	}
	return -1
}

// applyCollected applies the collected records after the accepted one if none in
// between is missing.
func (f *Follower) applyCollected() (skipped []SkippedRecord) {
	if f.proof == nil || f.proof.first > f.Accepted.Offset+1 {
		return nil
	}
	entries := f.proof.entries
	f.proof = nil
	for _, e := range entries {
		if s := f.applyEntry(e); s != nil {
			skipped = append(skipped, *s)
		}
	}
	return skipped
}

func (f *Follower) applyEntry(e LogEntry) *SkippedRecord {
	if e.Offset < f.next {
		return nil
	}
	f.next = e.Offset + 1
	if e.Offset <= f.Accepted.Offset {
		return nil
	}
	if e.Err != nil {
		f.Skipped++
		return &SkippedRecord{e.Offset, e.Err}
	}
	next, err := f.evaluate(e)
	if errors.Is(err, ErrStale) {
		return nil
	}
	if err != nil {
		f.Skipped++
		return &SkippedRecord{e.Offset, err}
	}
	f.acceptEntry(next, e)
	return nil
}

// evaluate returns the configuration after e, as Accepted.Next does, or without a
// mechanism that a test has disabled.
func (f *Follower) evaluate(e LogEntry) (*Accepted, error) {
	switch f.disabled {
	case BaseRule:
		return f.Accepted.apply(e.Offset, e.Record, true)
	case ListCheck:
		if e.Record.Base != f.Accepted.Offset {
			return nil, ErrStale
		}
		return f.Accepted.apply(e.Offset, e.Record, false)
	}
	return f.Accepted.Next(e.Offset, e.Record)
}

// acceptEntry accepts next, the configuration after the record of e.
func (f *Follower) acceptEntry(next *Accepted, e LogEntry) {
	f.history.add(f.Accepted.Lists, e)
	f.setAccepted(next)
	if e.Record.Snapshot != nil || e.Record.Base == NoBase {
		f.SnapshotAt = e.At
	}
}

// setAccepted replaces the accepted configuration. Nothing else changes it.
func (f *Follower) setAccepted(next *Accepted) {
	if f.disabled == "" {
		invariant.Check(invariant.ConfigForward, next.Offset >= f.Accepted.Offset,
			"accepted offset decreased from %d to %d", f.Accepted.Offset, next.Offset)
	}
	f.Accepted = next
}

// ErrNotNewer is returned for the reply of a peer without a newer configuration.
var ErrNotNewer = eris.New("config: peer has no newer configuration")
