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

// appendRecord appends the changes as one record and reads back whether it was
// accepted.
type appendRecord struct{}

func (appendRecord) Name() string { return "append" }

// Outcomes of an append other than acceptance.
var (
	ErrLost       = eris.New("another operator's record was accepted first; nothing was changed, run the command again")
	ErrUnsuitable = eris.New("the record was appended, but its result fails the list checks; nothing was changed")
	ErrUnsettled  = eris.New("the log service did not answer in time; the record may be accepted later, see goldcrestctl status")
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
	if job.Found {
		// Nobody knows the accepted state, so the lists are the whole of it.
		rec.Founding, rec.Changes, rec.Snapshot = true, nil, job.Wanted
	}
	data, err := rec.Encode()
	if err != nil {
		return err
	}
	if len(data) > logsvc.MaxRecordBytes {
		return eris.Errorf("the record has %d bytes, the log service takes %d", len(data), logsvc.MaxRecordBytes)
	}
	return settle(ctx, job, rec, data)
}

// retryPause is the pause before an append whose answer was lost is looked for
// and repeated.
const retryPause = 250 * time.Millisecond

// settle appends data until the log shows a winner on the base of rec. A record
// that arrives twice is harmless: the second copy is stale.
func settle(ctx context.Context, job *Job, rec config.Record, data []byte) error {
	from := rec.Base + 1
	appended := false
	for {
		if !appended {
			appended = tryAppend(ctx, job.Logs, data)
		}
		next, err := readOn(ctx, job, from)
		if err == nil {
			from = next
			if job.Found && job.Follower.Accepted.ID == rec.ID {
				job.Offset = job.Follower.Accepted.Offset
				return nil
			}
			if winner, ok := job.Follower.View().Successor(rec.Base); ok {
				if winner.Record.ID != rec.ID {
					return eris.Wrapf(ErrLost, "record %d by %q", winner.Offset, winner.Record.Author)
				}
				job.Offset = winner.Offset
				return nil
			}
			if appended {
				return ErrUnsuitable
			}
		}
		if !control.Pause(ctx, retryPause) {
			return ErrUnsettled
		}
	}
}

func tryAppend(ctx context.Context, log logsvc.Log, data []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := log.Append(ctx, config.Stream, data)
	return err == nil
}

// changeOne returns a filter that makes the change that build returns for the
// accepted lists.
func changeOne(build func(job *Job, accepted *lists.Lists) ([]lists.Change, error)) Filter {
	return buildChange{build}
}

type buildChange struct {
	build func(job *Job, accepted *lists.Lists) ([]lists.Change, error)
}

func (buildChange) Name() string { return "check" }

func (f buildChange) Run(_ context.Context, job *Job) error {
	var err error
	job.Changes, err = f.build(job, job.Follower.Accepted.Lists)
	return err
}

func one(kind lists.Kind, name string, value any) ([]lists.Change, error) {
	c, err := lists.NewChange(kind, name, value)
	return []lists.Change{c}, err
}
