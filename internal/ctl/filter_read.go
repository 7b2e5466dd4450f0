package ctl

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
)

// readLists reads and checks the operators' lists.
type readLists struct{}

func (readLists) Name() string { return "read" }

func (readLists) Run(_ context.Context, job *Job) error {
	if job.Options.Lists == "" {
		return errNoLists
	}
	var files [2]lists.File
	for i, name := range []string{lists.PlansFile, lists.UsageFile} {
		path := filepath.Join(job.Options.Lists, name)
		data, err := os.ReadFile(path)
		if err != nil {
			return eris.Wrap(err, "read list file")
		}
		files[i] = lists.File{Name: path, Data: data}
	}
	var err error
	job.Desired, err = lists.Parse(files[0], files[1])
	return err
}

// readAccepted reads the log to its end and derives the accepted configuration.
type readAccepted struct{}

func (readAccepted) Name() string { return "read" }

// ErrNoAcceptedState is returned when the retained records do not prove which
// configuration is accepted.
var ErrNoAcceptedState = eris.New("the log does not prove any accepted configuration; the fleet appends a snapshot within a quarter of the retention, and goldcrestctl apply -found starts anew from the lists if none comes")

// ErrFoundingNotNeeded is returned when a founding record was requested although
// the log proves the accepted configuration.
var ErrFoundingNotNeeded = eris.New("the log proves the accepted configuration; use apply without -found")

func (readAccepted) Run(ctx context.Context, job *Job) error {
	if job.Logs == nil {
		return errNoLogService
	}
	job.Follower = config.NewFollower()
	if _, err := readToEnd(ctx, job, 0); err != nil {
		return err
	}
	if job.Follower.AwaitingSnapshot() && !job.Founding {
		return ErrNoAcceptedState
	}
	if !job.Follower.AwaitingSnapshot() && job.Founding {
		return ErrFoundingNotNeeded
	}
	return nil
}

// readToEnd applies the records from offset from to the end of the log and
// returns the offset after the last one.
func readToEnd(ctx context.Context, job *Job, from int64) (int64, error) {
	for {
		b, err := readBatch(ctx, job.Logs, from)
		if err != nil {
			return from, err
		}
		job.Follower.ApplyLog(decodeBatch(b))
		if len(b.Records) == 0 {
			return max(from, b.Next), nil
		}
		from = b.Next
	}
}

func readBatch(ctx context.Context, log logsvc.Log, from int64) (logsvc.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return log.Read(ctx, config.Stream, from, 0)
}

func decodeBatch(b logsvc.Batch) config.Batch {
	out := config.Batch{First: b.First}
	for _, r := range b.Records {
		rec, err := config.Decode(r.Data)
		out.Entries = append(out.Entries, config.LogEntry{Offset: r.Offset, At: time.UnixMilli(r.AppendedMS), Record: rec, Err: err})
	}
	return out
}
