package measure

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/rollout"
)

const (
	pathWindow = 4 * time.Minute
	pathShare  = 0.1
	pathFault  = time.Minute // time from the start of the rollout to the onset of the fault
	pathName   = "chat-v2"
	// pathMaxStop is the target, in seconds, for the time from sufficient evidence
	// to the last new work of a bad version (R4).
	pathMaxStop = 5
)

// rolloutPath runs rollouts with real entries and sides: of a bad version with
// the log up and with the log down, and of a good version with the log down for
// a third of the time.
func rolloutPath(env Env) []Figure {
	var out []Figure
	for _, u := range exUsers {
		for _, logDown := range []bool{false, true} {
			env.Bubble(func() { out = append(out, badPath(env, u, logDown)...) })
		}
		for third := 1; third <= 2; third++ {
			env.Bubble(func() { out = append(out, goodPath(env, u, third)) })
		}
	}
	return out
}

// rolloutFleet is a fleet with a rollout in progress. Every second engine runs
// the new version.
type rolloutFleet struct {
	*exFleet
	rollout    lists.Rollout
	bad        atomic.Bool  // the new version fails half of its requests
	lastNewRun atomic.Int64 // when the new version last ran a request, Unix time in ns
	newRuns    atomic.Int64 // requests run by the new version
	totalRuns  atomic.Int64 // requests run by both versions
}

func newRolloutFleet(env Env, u exUser) *rolloutFleet {
	f := &rolloutFleet{exFleet: newExFleet(env, u)}
	for i, s := range f.sides {
		if i >= u.engines {
			break
		}
		v := model.Version("v1")
		if i%2 == 1 {
			v = "v2"
		}
		f.put(instances.Instance{ID: model.InstanceID(s.id), Role: instances.RoleEndpoint, Kind: model.Engine, Pool: "chat", Version: v, DataCentre: f.dc(i), Status: instances.Live})
		s.endpoint.onRun = f.observeRun
	}
	f.rollout = lists.Rollout{
		Pool: "chat", Old: "v1", New: "v2", FirstShare: pathShare, Steps: 4, State: lists.RolloutActive,
		Start: time.Now(), Deadline: time.Now().Add(pathWindow),
	}
	f.startRollout()
	f.wait(2 * time.Second)
	return f
}

// observeRun counts a run of an engine and reports whether it fails, as every
// second run of a bad version does.
func (f *rolloutFleet) observeRun(v model.Version) bool {
	f.totalRuns.Add(1)
	if v != f.rollout.New {
		return false
	}
	f.lastNewRun.Store(time.Now().UnixNano())
	return f.newRuns.Add(1)%2 == 0 && f.bad.Load()
}

// startRollout appends the record that starts the rollout.
func (f *rolloutFleet) startRollout() {
	pool := f.entries[0].entry.Accepted().Lists.Pools["chat"]
	pool.Version = f.rollout.Old
	var changes []lists.Change
	for _, c := range []struct {
		kind  lists.Kind
		name  string
		value any
	}{{lists.KindPool, "chat", pool}, {lists.KindRollout, pathName, f.rollout}} {
		change, err := lists.NewChange(c.kind, c.name, c.value)
		if err != nil {
			panic(err)
		}
		changes = append(changes, change)
	}
	data, err := config.Record{ID: "rollout", Base: f.entries[0].entry.Accepted().Offset, Changes: changes}.Encode()
	if err == nil {
		_, err = f.logs.Append(f.ctx, config.Stream, data)
	}
	if err != nil {
		panic(err)
	}
}

// suspended reports whether any entry has suspended the new version or knows of
// its rollback.
func (f *rolloutFleet) suspended() bool {
	for _, e := range f.entries {
		a, active := e.entry.Versions().Active("chat")
		if active && a.Latch == rollout.LatchSuspended || f.rolloutState(e) == lists.RolloutRolledBack {
			return true
		}
	}
	return false
}

func (f *rolloutFleet) rolloutState(e *exEntry) lists.RolloutState {
	return e.entry.Accepted().Lists.Rollouts[pathName].State
}

func badPath(env Env, u exUser, logDown bool) []Figure {
	f := newRolloutFleet(env, u)
	waitForLoad := f.load(pathWindow / 2)
	f.wait(pathFault)
	f.logDown.Store(logDown)
	f.bad.Store(true)
	onset := time.Now()
	for !f.suspended() && time.Since(onset) < pathWindow/4 {
		f.wait(50 * time.Millisecond)
	}
	verdictAt := time.Now()
	share := float64(f.newRuns.Load()) / float64(max(f.totalRuns.Load(), 1))
	waitForLoad()
	last := time.Unix(0, f.lastNewRun.Load())
	f.logDown.Store(false)
	f.wait(15 * time.Second)
	recorded := 0.0
	for _, e := range f.entries {
		if f.rolloutState(e) == lists.RolloutRolledBack {
			recorded++
		}
	}
	f.close()
	name := fmt.Sprintf("rollout/path/%s/bad", u.name)
	if logDown {
		name += "_log_down"
	}
	return []Figure{
		{Name: name + "/onset_to_verdict", Value: roundUp(verdictAt.Sub(onset).Seconds(), 5), Unit: "s"},
		{Name: name + "/verdict_to_last_new_work", Value: roundUp(max(last.Sub(verdictAt), 0).Seconds(), 1), Unit: "s", Relation: AtMost, Target: pathMaxStop},
		{Name: name + "/share_before", Value: roundUp(share, 0.05), Unit: "part", Relation: AtMost, Target: 2 * pathShare},
		{Name: name + "/recorded_at_entries", Value: recorded / float64(len(f.entries)), Unit: "part", Relation: Equal, Target: 1},
	}
}

// goodPath runs a rollout of a good version with the log down in the given third
// of the window, counted from 0.
func goodPath(env Env, u exUser, third int) Figure {
	f := newRolloutFleet(env, u)
	outage := pathWindow / 3
	waitForLoad := f.load(pathWindow / 8) // little load: too little evidence for the share to grow early
	f.wait(time.Duration(third) * outage)
	f.logDown.Store(true)
	f.wait(outage)
	f.logDown.Store(third == 2) // the last third ends at the deadline
	f.wait(time.Until(f.rollout.Deadline))
	moved := 0.0
	for _, e := range f.entries {
		c := e.entry.Versions().Choose("chat", "any chat", time.Now())
		if c.Preferred == f.rollout.New {
			moved++
		}
	}
	waitForLoad()
	f.close()
	return Figure{
		Name:  fmt.Sprintf("rollout/path/%s/good_log_down_third_%d/moved_in_time", u.name, third+1),
		Value: moved / float64(len(f.entries)), Unit: "part", Relation: Equal, Target: 1,
	}
}
