package ctl

import (
	"context"
	"fmt"

	"github.com/goldcrestturn/goldcrestturn/internal/finding"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
)

// diff works out the changes from the accepted configuration to the lists.
// Rollouts and releases are not declared in files and stay as they are.
type diff struct{}

func (diff) Name() string { return "diff" }

func (diff) Run(_ context.Context, job *Job) error {
	accepted := job.Follower.Accepted.Lists
	job.Wanted.Rollouts, job.Wanted.Released = accepted.Rollouts, accepted.Released
	var err error
	job.Changes, err = lists.Diff(accepted, job.Wanted)
	return err
}

// guardService refuses lists that would undo, as a side effect, what an
// operator or a rollout did to the fleet since the lists were written.
type guardService struct{}

func (guardService) Name() string { return "check" }

func (guardService) Run(_ context.Context, job *Job) error {
	var found finding.List
	accepted := job.Follower.Accepted.Lists
	for name, dc := range job.Wanted.DataCentres {
		if accepted.DataCentres[name].State == lists.DataCentreOut && dc.State == lists.DataCentreIn {
			found.Add(finding.Finding{
				File: lists.UsageFile, Section: "data-centre " + string(name), Key: "state",
				Problem: "is in, but the data centre is out of service",
				Allowed: fmt.Sprintf("out, or run goldcrestctl restore %s first", name),
			})
		}
	}
	for _, r := range accepted.Rollouts {
		pool, ok := job.Wanted.Pools[r.Pool]
		if !ok || pool.Version == accepted.Pools[r.Pool].Version || r.State != lists.RolloutActive {
			continue
		}
		found.Add(finding.Finding{
			File: lists.UsageFile, Section: "pool " + string(r.Pool), Key: "version",
			Problem: fmt.Sprintf("changes to %q during a rollout from %q to %q", pool.Version, r.Old, r.New),
			Allowed: fmt.Sprintf("%q until the rollout ends", accepted.Pools[r.Pool].Version),
		})
	}
	return found.Err()
}
