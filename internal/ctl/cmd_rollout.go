package ctl

import (
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// rolloutFlags holds the flags of the rollout commands.
type rolloutFlags struct {
	share  float64       // first share of the chats
	steps  int           // number of equal steps from the first share to all chats
	window time.Duration // from the start to the deadline
	reason string        // stored with a rollback
}

// Defaults and limits of the rollout flags.
const (
	defaultFirstShare = 0.05
	maxFirstShare     = 0.5
	defaultSteps      = 4
	maxSteps          = 100
	defaultWindow     = 30 * time.Minute
	minWindow         = time.Minute
)

func rolloutStartCommand() Command {
	return Command{
		Name: "rollout start", Usage: "POOL VERSION", Summary: "start to move a pool to a version", Args: 2,
		Flags: func(fs *flag.FlagSet, job *Job) {
			waitFlag(fs, job)
			fs.Float64Var(&job.Rollout.share, "first-share", defaultFirstShare, "`share` of chats during the first half of the window")
			fs.IntVar(&job.Rollout.steps, "steps", defaultSteps, "number of equal `steps` to the whole")
			fs.DurationVar(&job.Rollout.window, "window", defaultWindow, "`time` until the deadline")
		},
		Filters: func(*Job) []Filter { return []Filter{readAccepted{}, change(startRollout), appendRecord{}, wait{}} },
		Print:   printApplied,
		JSON:    appliedJSON,
	}
}

func startRollout(job *Job, accepted *lists.Lists) ([]lists.Change, error) {
	name, version, flags := model.Pool(job.Args[0]), model.Version(job.Args[1]), job.Rollout
	pool, ok := accepted.Pools[name]
	if !ok {
		return nil, eris.Errorf("pool %q is not in the accepted configuration", name)
	}
	if pool.Version == version {
		return nil, eris.Errorf("pool %q already has version %q", name, version)
	}
	for id, r := range accepted.Rollouts {
		if r.Pool == name && r.State == lists.RolloutActive {
			return nil, eris.Errorf("rollout %q of pool %q is still active", id, name)
		}
	}
	if !(flags.share > 0 && flags.share <= maxFirstShare) || flags.steps < 1 || flags.steps > maxSteps || flags.window < minWindow {
		return nil, eris.Errorf("first share must be above 0 and up to %g, steps 1 to %d, window %s or more", maxFirstShare, maxSteps, minWindow)
	}
	now := time.Now().UTC().Truncate(time.Millisecond)
	return setOne(lists.KindRollout, rolloutName(name, version, now), lists.Rollout{
		Pool: name, Old: pool.Version, New: version, FirstShare: flags.share, Steps: flags.steps,
		Start: now, Deadline: now.Add(flags.window), State: lists.RolloutActive,
	})
}

// rolloutName returns a name that contains the start time. A second rollout of
// the same version thus does not inherit the verdict on the first.
func rolloutName(pool model.Pool, v model.Version, now time.Time) string {
	return fmt.Sprintf("%s-%s-%s", pool, v, now.Format("20060102-150405"))
}

func rolloutStatusCommand() Command {
	return Command{
		Name: "rollout status", Summary: "show rollouts and their verdicts",
		Filters: func(*Job) []Filter { return []Filter{readAccepted{}} },
		Print:   printRollouts,
		JSON: func(job *Job) any {
			if job.Follower == nil {
				return nil
			}
			return job.Follower.Accepted.Lists.Rollouts
		},
	}
}

func printRollouts(w io.Writer, job *Job) {
	rollouts := job.Follower.Accepted.Lists.Rollouts
	if len(rollouts) == 0 {
		fmt.Fprintln(w, "no rollouts")
		return
	}
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(rollouts)) {
		r := rollouts[name]
		rows = append(rows, []string{
			name, string(r.Pool), string(r.Old), string(r.New), string(r.State),
			r.Start.Format(time.RFC3339), r.Deadline.Format(time.RFC3339), orDash(r.Reason), orDash(r.Evidence),
		})
	}
	table(w, []string{"ROLLOUT", "POOL", "OLD", "NEW", "STATE", "START", "DEADLINE", "REASON", "EVIDENCE"}, rows)
}

func rolloutRollBackCommand() Command {
	return Command{
		Name: "rollout take-back", Usage: "ROLLOUT", Summary: "roll a version back", Args: 1,
		Flags: func(fs *flag.FlagSet, job *Job) {
			waitFlag(fs, job)
			fs.StringVar(&job.Rollout.reason, "reason", "taken back by an operator", "`text` kept with the verdict")
		},
		Filters: func(*Job) []Filter { return []Filter{readAccepted{}, change(rollBack), appendRecord{}, wait{}} },
		Print:   printApplied,
		JSON:    appliedJSON,
	}
}

func rollBack(job *Job, accepted *lists.Lists) ([]lists.Change, error) {
	r, ok := accepted.Rollouts[job.Args[0]]
	if !ok {
		return nil, eris.Errorf("rollout %q is not in the accepted configuration", job.Args[0])
	}
	if r.State != lists.RolloutActive {
		return nil, eris.Errorf("rollout %q has already ended with state %q", job.Args[0], r.State)
	}
	r.State, r.Reason = lists.RolloutRolledBack, job.Rollout.reason
	return setOne(lists.KindRollout, job.Args[0], r)
}
