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

// SkippedRecord is one record that was skipped as malformed or unsuitable.
type SkippedRecord struct {
	Offset int64
	Err    error
}

// Mechanism names one safeguard that a test can remove to show that its check
// fails without it.
type Mechanism string

// The safeguards of a Follower.
const (
	BaseRule  Mechanism = "base_rule"  // a record must name the accepted offset
	ProofRule Mechanism = "proof_rule" // a snapshot must be proven before it is used
	Monotone  Mechanism = "monotone"   // a peer's state must be newer
	ListCheck Mechanism = "list_check" // an unsuitable record is skipped
	GapCheck  Mechanism = "gap_check"  // a trimmed part of the log is noticed
)

// Follower keeps the accepted configuration of one process from the log and
// from peers. It belongs to the control goroutine.
type Follower struct {
	Accepted   *Accepted
	SnapshotAt time.Time // append time of the last accepted record that gives the whole state; zero if unknown
	Skipped    int64     // malformed and unsuitable records

	first   int64  // oldest retained record as of the last read of the log
	next    int64  // offset after the last folded record of the log
	proof   *proof // set while records before the retained ones are missing
	load    *load  // set while workspaces are being loaded from a peer
	history history
	without Mechanism // for tests
}

// NewFollower returns a follower without configuration. Tests pass the
// mechanism to remove; programs pass none.
func NewFollower(without ...Mechanism) *Follower {
	f := &Follower{Accepted: Empty()}
	for _, m := range without {
		f.without = m
	}
	return f
}

// AwaitingSnapshot reports whether the log alone cannot tell the accepted configuration.
func (f *Follower) AwaitingSnapshot() bool { return f.proof != nil }

// ApplyLog folds a read of the log. It returns the records that were skipped
// and whether the accepted configuration changed.
func (f *Follower) ApplyLog(b Batch) (skipped []SkippedRecord, changed bool) {
	f.first = b.First
	if f.load != nil {
		// The verdict on a record needs all workspaces; peers pass on only
		// accepted records, so the loading process takes them from there.
		return nil, false
	}
	before := f.Accepted
	if b.First > f.next && b.First > f.Accepted.Offset+1 && f.without != GapCheck {
		if f.proof == nil {
			f.proof = &proof{first: b.First}
		}
	}
	if f.proof != nil {
		return f.prove(b)
	}
	for _, e := range b.Entries {
		if s := f.fold(e); s != nil {
			skipped = append(skipped, *s)
		}
	}
	return skipped, f.Accepted != before
}

// prove collects records until one of them, or a peer, gives a state to go on
// from.
func (f *Follower) prove(b Batch) (skipped []SkippedRecord, changed bool) {
	f.proof.add(b)
	i := f.proof.find(f.Accepted.Offset)
	if f.without == ProofRule {
		i = f.proof.anySnapshot()
	}
	if i >= 0 {
		e := f.proof.entries[i]
		f.accept(&Accepted{Offset: e.Offset, ID: e.Record.ID, Lists: e.Record.Snapshot})
		f.history.restart()
		f.SnapshotAt = e.At
		return f.resume(), true
	}
	return nil, false
}

// anySnapshot is used by tests that remove the proof rule.
func (p *proof) anySnapshot() int {
	for i := len(p.entries) - 1; i >= 0; i-- {
		if p.entries[i].Record.Snapshot != nil {
			return i
		}
	}
	return -1
}

// resume folds the collected records after the accepted one, if none between
// is missing.
func (f *Follower) resume() (skipped []SkippedRecord) {
	if f.proof == nil || f.proof.first > f.Accepted.Offset+1 {
		return nil
	}
	entries := f.proof.entries
	f.proof = nil
	for _, e := range entries {
		if s := f.fold(e); s != nil {
			skipped = append(skipped, *s)
		}
	}
	return skipped
}

func (f *Follower) fold(e LogEntry) *SkippedRecord {
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
	next, err := f.verdict(e)
	if errors.Is(err, ErrStale) {
		return nil
	}
	if err != nil {
		f.Skipped++
		return &SkippedRecord{e.Offset, err}
	}
	f.take(next, e)
	return nil
}

func (f *Follower) verdict(e LogEntry) (*Accepted, error) {
	switch f.without {
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

// take accepts the configuration that the record of e leads to.
func (f *Follower) take(next *Accepted, e LogEntry) {
	f.history.add(f.Accepted.Lists, e)
	f.accept(next)
	if e.Record.Snapshot != nil || e.Record.Base == NoBase {
		f.SnapshotAt = e.At
	}
}

// accept is the only place where the accepted configuration changes.
func (f *Follower) accept(next *Accepted) {
	if f.without == "" {
		invariant.Check(invariant.ConfigForward, next.Offset >= f.Accepted.Offset,
			"configuration went from offset %d to %d", f.Accepted.Offset, next.Offset)
	}
	f.Accepted = next
}

// ErrNotNewer is the verdict on an answer of a peer that knows no more.
var ErrNotNewer = eris.New("config: peer has no newer configuration")
