package ctl

import (
	"context"
	"fmt"

	"github.com/goldcrestturn/goldcrestturn/internal/finding"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
)

// diff computes the changes from the accepted configuration to the lists.
// Rollouts and releases are not declared in files, so they are kept.
type diff struct{}

func (diff) Name() string { return "diff" }

func (diff) Run(_ context.Context, job *Job) error {
	accepted := job.Follower.Accepted.Lists
	job.Desired.Rollouts, job.Desired.Released = accepted.Rollouts, accepted.Released
	var err error
	job.Changes, err = lists.Diff(accepted, job.Desired)
	return err
}

// checkOverrides rejects lists that would, as a side effect, undo what happened
// after they were written: a drain by an operator, or a rollout in progress.
type checkOverrides struct{}

func (checkOverrides) Name() string { return "check" }

func (checkOverrides) Run(_ context.Context, job *Job) error {
	var findings finding.List
	accepted := job.Follower.Accepted.Lists
	for name, dc := range job.Desired.DataCentres {
		if accepted.DataCentres[name].State == lists.DataCentreOut && dc.State == lists.DataCentreIn {
			findings.Add(finding.Finding{
				File: lists.UsageFile, Section: "data-centre " + string(name), Key: "state",
				Problem: "is in, but the data centre is out of service",
				Allowed: fmt.Sprintf("out, or run goldcrestctl restore %s first", name),
			})
		}
	}
	for _, r := range accepted.Rollouts {
		pool, ok := job.Desired.Pools[r.Pool]
		if !ok || pool.Version == accepted.Pools[r.Pool].Version || r.State != lists.RolloutActive {
			continue
		}
		findings.Add(finding.Finding{
			File: lists.UsageFile, Section: "pool " + string(r.Pool), Key: "version",
			Problem: fmt.Sprintf("changes to %q during a rollout from %q to %q", pool.Version, r.Old, r.New),
			Allowed: fmt.Sprintf("%q until the rollout ends", accepted.Pools[r.Pool].Version),
		})
	}
	return findings.Err()
}
