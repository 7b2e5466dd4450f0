package ctl

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
)

// appendRecord appends the changes as one record and reads the log to learn
// whether it was accepted.
type appendRecord struct{}

func (appendRecord) Name() string { return "append" }

// Outcomes of an append other than acceptance.
var (
	ErrStaleRecord    = eris.New("another operator's record was accepted first; nothing was changed, run the command again")
	ErrInvalidResult  = eris.New("the record was appended, but the resulting configuration fails the list checks; nothing was changed")
	ErrOutcomeUnknown = eris.New("the log service did not answer in time; the record may still be accepted, check with goldcrestctl status")
)

func (appendRecord) Run(ctx context.Context, job *Job) error {
	if len(job.Changes) == 0 {
		job.Offset = job.Follower.Accepted.Offset
		return nil
	}
	base := job.Follower.Accepted
	if next, err := base.Lists.Apply(job.Changes); err != nil {
		return err
	} else if err := next.Check().Err(); err != nil {
		return err
	}
	rec := config.Record{ID: rand.Text(), Base: base.Offset, Author: job.Options.Author, Changes: job.Changes}
	if job.Founding {
		// The log does not prove the accepted state, so the record carries a
		// snapshot of the lists in place of changes.
		rec.Founding, rec.Changes, rec.Snapshot = true, nil, job.Desired
	}
	data, err := rec.Encode()
	if err != nil {
		return err
	}
	if len(data) > logsvc.MaxRecordBytes {
		return eris.Errorf("the record has %d bytes, the log service accepts at most %d", len(data), logsvc.MaxRecordBytes)
	}
	return appendUntilResolved(ctx, job, rec, data)
}

// appendRetryInterval is the delay before an append whose answer was lost is
// retried and the log is read again.
const appendRetryInterval = 250 * time.Millisecond

// appendUntilResolved retries the append of data until the log shows which record
// was accepted on the base of rec. A duplicate append is harmless, because the
// second copy is stale.
func appendUntilResolved(ctx context.Context, job *Job, rec config.Record, data []byte) error {
	offset := rec.Base + 1
	appended := false
	for {
		if !appended {
			appended = tryAppend(ctx, job.Logs, data)
		}
		next, err := readToEnd(ctx, job, offset)
		if err == nil {
			offset = next
			if job.Founding && job.Follower.Accepted.ID == rec.ID {
				job.Offset = job.Follower.Accepted.Offset
				return nil
			}
			if successor, ok := job.Follower.View().Successor(rec.Base); ok {
				if successor.Record.ID != rec.ID {
					return eris.Wrapf(ErrStaleRecord, "record at offset %d by %q", successor.Offset, successor.Record.Author)
				}
				job.Offset = successor.Offset
				return nil
			}
			if appended {
				return ErrInvalidResult
			}
		}
		if !control.Pause(ctx, appendRetryInterval) {
			return ErrOutcomeUnknown
		}
	}
}

// tryAppend makes one append and reports whether the log service confirmed it.
func tryAppend(ctx context.Context, log logsvc.Log, data []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := log.Append(ctx, config.Stream, data)
	return err == nil
}

// change returns a filter that sets the changes of the job to what build returns
// for the accepted lists.
func change(build func(job *Job, accepted *lists.Lists) ([]lists.Change, error)) Filter {
	return buildChanges{build}
}

type buildChanges struct {
	build func(job *Job, accepted *lists.Lists) ([]lists.Change, error)
}

func (buildChanges) Name() string { return "check" }

func (f buildChanges) Run(_ context.Context, job *Job) error {
	var err error
	job.Changes, err = f.build(job, job.Follower.Accepted.Lists)
	return err
}

// setOne returns the single change that sets the named item to value.
func setOne(kind lists.Kind, name string, value any) ([]lists.Change, error) {
	c, err := lists.NewChange(kind, name, value)
	return []lists.Change{c}, err
}
