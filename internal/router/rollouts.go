package router

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/hrw"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
	"github.com/goldcrestturn/goldcrestturn/internal/rollout"
)

const (
	// splitLifetime is how long a share is used without being computed again. A process
	// that was suspended sends nothing to a new version at first.
	splitLifetime = time.Second
	// verdictDelay is how long a router that is not the judge leaves it to the judge to
	// store a verdict, so that not all routers write it.
	verdictDelay = time.Second
	// statusesAge is the age of the last read of the statuses up to which a further order
	// needs no read of its own. Reads follow each other while a roll-out is ordered.
	statusesAge = 5 * time.Second
	// judgeBackoff is how long a router that did not reply is not taken for the judge.
	judgeBackoff = 3 * time.Second
	// maxWatchedRoutes bounds the routes with evidence of their own, as a judge does.
	maxWatchedRoutes = 32
	otherRoutes      = model.Route("other")
)

// rolloutRun is a roll-out in progress at this router.
type rolloutRun struct {
	target     model.Version
	tracker    *rollout.Tracker
	created    time.Time
	statusRead bool // the store's status was read after the order was seen
	arrived    int64
	newer      int64
	bad        int64 // bad responses of the new version
	evidence   rollout.Evidence
	routes     map[model.Route]bool // in evidence
	reportAt   time.Time            // of the next report to the judge
	reported   int64                // bad, as reported last
	confirmed  bool                 // the judge knows that this router is ready
	avoid      map[model.InstanceID]time.Time
	judging    bool
	endedAt    time.Time     // when the verdict became known here
	stage      rollout.Stage // as logged last
}

// baselineKey identifies the responses that are compared with each other.
type baselineKey struct {
	pool  model.Pool
	route model.Route
	kind  timedPart
}

// rolloutRuns is the part of the control state that belongs to roll-outs.
type rolloutRuns struct {
	byPool      map[model.Pool]*rolloutRun
	withdrawn   map[model.Pool]model.Version // versions whose orders ended without the verdict completed
	statuses    map[model.Pool]RolloutStatus // as the store holds them
	baselines   map[baselineKey]*rollout.Baseline
	membersAt   time.Time // when the list of routers was read last
	statusesAt  time.Time // when the last read of statuses began that succeeded
	ordersKnown bool      // orders have been read, so further ones are new
}

func newRolloutRuns() rolloutRuns {
	return rolloutRuns{byPool: map[model.Pool]*rolloutRun{}, withdrawn: map[model.Pool]model.Version{}, statuses: map[model.Pool]RolloutStatus{}, baselines: map[baselineKey]*rollout.Baseline{}}
}

// Events of roll-outs.
type (
	// versionObserved carries the result of an attempt, for the evidence about versions.
	versionObserved struct {
		pool    model.Pool
		route   model.Route
		version model.Version
		failed  bool
		times   [timedParts]time.Duration // 0 where unknown
	}
	// rolloutStatusesRead carries statuses that the store holds and when their read began.
	// current says that they are all of them, rather than changes.
	rolloutStatusesRead struct {
		statuses map[model.Pool]RolloutStatus
		begun    time.Time
		current  bool
	}
	// rolloutTasksQuery updates the roll-outs and asks what is to be sent and stored.
	rolloutTasksQuery struct {
		control.Question[[]rolloutTask]
	}
	// rolloutReportReceived carries the report of another router. The reply is not known if
	// this router does not judge the roll-out, or lacks the reports of most routers.
	rolloutReportReceived struct {
		control.Question[rolloutReply]
		router model.InstanceID
		pool   model.Pool
		target model.Version
		report rollout.Report
	}
	// rolloutReplyReceived carries the reply of the judge, or that it did not reply.
	rolloutReplyReceived struct {
		pool   model.Pool
		target model.Version
		judge  model.InstanceID
		failed bool
		reply  rolloutReply
	}
)

func (versionObserved) EventName() string       { return "version_observed" }
func (rolloutStatusesRead) EventName() string   { return "rollout_statuses_read" }
func (rolloutTasksQuery) EventName() string     { return "rollout_tasks_asked" }
func (rolloutReportReceived) EventName() string { return "rollout_report" }
func (rolloutReplyReceived) EventName() string  { return "rollout_reply" }

// rolloutReply is the reply to a report.
type rolloutReply struct {
	known    bool
	decision rollout.Decision
}

// rolloutTask is what is to be done for the roll-out of a pool outside the control
// goroutine.
type rolloutTask struct {
	pool    model.Pool
	target  model.Version
	judge   model.InstanceID
	address string // of the judge, which gets report; empty if no report is due
	report  rollout.Report
	routes  []model.Route // of the evidence in report
	store   RolloutState  // to be stored; empty if nothing is
}

// carryOutRollouts moves requests to the versions that operators ordered, as the evidence
// about them permits.
type carryOutRollouts struct {
	enabled     bool
	readMembers func() // has the list of routers read soon; must not block
	log         *slog.Logger
}

func (carryOutRollouts) Name() string { return "rollouts" }

func (f carryOutRollouts) Apply(s *State, now time.Time, ev control.Event) bool {
	if !f.enabled {
		return false
	}
	switch e := ev.(type) {
	case ordersRead:
		f.applyOrders(s, now)
	case membersRead:
		s.runs.membersAt = now
	case rolloutStatusesRead:
		f.applyStatuses(s, now, e)
	case requestArrived:
		if run := s.runs.byPool[e.pool]; run != nil {
			run.arrived++
		}
	case versionObserved:
		f.observe(s, e)
	case rolloutReportReceived:
		e.Reply(f.receive(s, now, e))
	case rolloutReplyReceived:
		f.applyReply(s, now, e)
	case rolloutTasksQuery:
		e.Reply(f.update(s, now))
	}
	return false
}

// applyOrders begins the roll-outs that are ordered and ends those whose order is gone.
func (f carryOutRollouts) applyOrders(s *State, now time.Time) {
	runs := &s.runs
	for pool, run := range runs.byPool {
		if s.rollouts[pool] == run.target {
			continue
		}
		delete(runs.byPool, pool)
		if stage, _ := run.tracker.Stage(); stage != rollout.Completed {
			runs.withdrawn[pool] = run.target
		}
		f.log.Info("roll-out order withdrawn", "pool", pool, "version", run.target)
	}
	begun, followed := false, len(runs.byPool) > 0 && now.Sub(runs.statusesAt) < statusesAge
	for pool, target := range s.rollouts {
		window := s.windows[pool]
		if runs.byPool[pool] != nil || window == 0 {
			continue
		}
		delete(runs.withdrawn, pool)
		begun = true
		runs.byPool[pool] = &rolloutRun{
			target: target, created: now, statusRead: followed, evidence: rollout.Evidence{}, routes: map[model.Route]bool{}, avoid: map[model.InstanceID]time.Time{},
			tracker: rollout.NewTracker(now, rollout.Terms{
				Target: target, Window: window, Share: s.settings.Exposure, Tolerance: s.settings.ExposureOver, Rollback: s.settings.Rollback,
			}, runs.ordersKnown),
		}
		f.applyStored(runs.byPool[pool], runs.statuses[pool])
		f.log.Info("roll-out begins", "pool", pool, "version", target, "window_ms", window.Milliseconds(), "order_seen", runs.ordersKnown)
	}
	if begun {
		f.readMembers()
	}
	runs.ordersKnown = true
	f.apply(s, now)
}

// applyStatuses applies what the store holds. A verdict there is final.
func (f carryOutRollouts) applyStatuses(s *State, now time.Time, e rolloutStatusesRead) {
	if e.current {
		clear(s.runs.statuses) // a store that was restored from an older copy holds fewer
	}
	maps.Copy(s.runs.statuses, e.statuses)
	s.runs.statusesAt = e.begun
	for pool, status := range e.statuses {
		if status.State == RolloutCompleted && status.Target == s.runs.withdrawn[pool] {
			delete(s.runs.withdrawn, pool)
		}
	}
	for pool, run := range s.runs.byPool {
		run.statusRead = run.statusRead || e.begun.After(run.created)
		f.applyStored(run, s.runs.statuses[pool])
	}
	f.apply(s, now)
}

// applyStored applies the status of a pool to its roll-out, if it is that of the version.
func (carryOutRollouts) applyStored(run *rolloutRun, status RolloutStatus) {
	switch {
	case status.Target != run.target:
	case status.State == RolloutCompleted:
		run.tracker.SetStored(rollout.Completed)
	case status.State == RolloutReverted:
		run.tracker.SetStored(rollout.Reverted)
	}
}

// observe adds the result of an attempt to the evidence.
func (f carryOutRollouts) observe(s *State, e versionObserved) {
	run := s.runs.byPool[e.pool]
	newer := run != nil && e.version == run.target
	slow, timed := false, false
	for kind, d := range e.times {
		if d <= 0 || e.failed {
			continue
		}
		key := baselineKey{e.pool, e.route, timedPart(kind)}
		b := s.runs.baselines[key]
		if b == nil && len(s.runs.baselines) < maxBaselines {
			b = &rollout.Baseline{}
			s.runs.baselines[key] = b
		}
		if b == nil {
			continue
		}
		slow, timed = slow || b.Slow(d), true
		if !newer {
			b.Add(d)
		}
	}
	if run == nil {
		return
	}
	outcome, failures, slows := responseGood, int64(0), int64(0)
	switch {
	case e.failed:
		outcome, failures = responseFailed, 1
	case slow:
		outcome, slows = responseSlow, 1
	}
	versionCounters[versionOutcome{newer, outcome}].Inc()
	route := e.route
	if !run.routes[route] && len(run.routes) >= maxWatchedRoutes {
		route = otherRoutes
	}
	run.routes[route] = true
	key := rollout.EvidenceKey(newer, route)
	run.evidence[key] = run.evidence[key].Add(rollout.Counts{Requests: 1, Failures: failures})
	if timed {
		key = rollout.TimesKey(newer, route)
		run.evidence[key] = run.evidence[key].Add(rollout.Counts{Requests: 1, Slow: slows})
	}
	if newer {
		run.newer++
		run.bad += failures + slows
	}
}

// maxBaselines bounds the routes and kinds of times with a usual time.
const maxBaselines = 4096

// receive adds the report of another router.
func (f carryOutRollouts) receive(s *State, now time.Time, e rolloutReportReceived) rolloutReply {
	run := s.runs.byPool[e.pool]
	if run == nil || run.target != e.target || !run.tracker.Add(now, string(e.router), e.report) {
		return rolloutReply{}
	}
	d := run.tracker.Decide(now, knownMembers(s, run), run.judging)
	f.logStage(e.pool, run, now)
	return rolloutReply{known: d.Quorum || d.Stage == rollout.Reverted, decision: d}
}

func (f carryOutRollouts) applyReply(s *State, now time.Time, e rolloutReplyReceived) {
	run := s.runs.byPool[e.pool]
	if run == nil || run.target != e.target {
		return
	}
	if e.failed {
		rolloutReportsFailed.Inc()
		run.avoid[e.judge] = now.Add(judgeBackoff)
		run.reportAt, run.confirmed = now, false // to the next router in the order
		return
	}
	if e.reply.known {
		run.tracker.Told(now, e.reply.decision)
		f.logStage(e.pool, run, now)
		f.apply(s, now)
	}
}

// update judges the evidence, puts the shares in force and returns what is to be done.
func (f carryOutRollouts) update(s *State, now time.Time) (tasks []rolloutTask) {
	rolloutsActive.Set(float64(len(s.runs.byPool)))
	for pool, run := range s.runs.byPool {
		if newer, older := s.table.HasVersions(pool); !older || !newer && run.newer == 0 {
			continue // it cannot be judged
		}
		members := knownMembers(s, run)
		judge := judgeOf(s, now, pool, run)
		run.judging = judge == s.settings.Instance
		report := rollout.Report{Arrived: run.arrived, Newer: run.newer, Evidence: maps.Clone(run.evidence), Elapsed: run.tracker.Elapsed(now), Certain: run.tracker.Certain(), Ready: run.tracker.Ready()}
		run.tracker.Add(now, string(s.settings.Instance), report)
		decision := run.tracker.Decide(now, members, run.judging)
		if decision.Quorum {
			run.tracker.Told(now, decision)
		}
		f.logStage(pool, run, now)
		task := rolloutTask{pool: pool, target: run.target, store: f.toStore(s, now, pool, run)}
		interval := rollout.ReportInterval(members, false)
		due := !now.Before(run.reportAt) || run.bad > run.reported && !now.Before(run.reportAt.Add(rollout.ReportInterval(members, true)-interval))
		due = due || report.Ready && !run.confirmed
		if stage, _ := run.tracker.Stage(); !run.judging && due && stage < rollout.Completed {
			task.judge, task.address, task.report = judge, s.addresses[judge].address, report
			task.routes = slices.Collect(maps.Keys(run.routes))
			run.reportAt, run.reported, run.confirmed = now.Add(interval), run.bad, report.Ready
		}
		if task.address != "" || task.store != "" {
			tasks = append(tasks, task)
		}
	}
	f.apply(s, now)
	return tasks
}

// knownMembers returns the number of announced routers, or 0 if the list was not read since
// the order: a router that hears nobody could take itself for the only one.
func knownMembers(s *State, run *rolloutRun) int {
	if s.runs.membersAt.Before(run.created) {
		return 0
	}
	return len(s.members)
}

// judgeOf returns the router that judges the roll-out of a pool: the first live one in the
// rendezvous order. Routers that hear each other agree on it.
func judgeOf(s *State, now time.Time, pool model.Pool, run *rolloutRun) model.InstanceID {
	key := xxhash.Sum64String(string(pool) + "\x00" + string(run.target))
	score := func(name model.InstanceID) uint64 { return hrw.Score(key, xxhash.Sum64String(string(name))) }
	best := s.settings.Instance
	for _, name := range s.table.LivePeers(now) {
		if s.addresses[name].address != "" && !now.Before(run.avoid[name]) && score(name) > score(best) {
			best = name
		}
	}
	return best
}

// toStore returns the state of the roll-out that this router is to store.
func (f carryOutRollouts) toStore(s *State, now time.Time, pool model.Pool, run *rolloutRun) RolloutState {
	status := s.runs.statuses[pool]
	if status.Target == run.target && (status.State == RolloutCompleted || status.State == RolloutReverted) || !run.statusRead {
		return ""
	}
	switch verdict, ok := run.tracker.ToStore(); {
	case !ok && run.judging && status != (RolloutStatus{RolloutInProgress, run.target}):
		return RolloutInProgress
	case !ok:
		return ""
	case !run.judging && now.Sub(run.endedAt) < verdictDelay:
		return ""
	case verdict == rollout.Completed:
		return RolloutCompleted
	}
	return RolloutReverted
}

// logStage logs the stage of a roll-out once it has changed.
func (f carryOutRollouts) logStage(pool model.Pool, run *rolloutRun, now time.Time) {
	stage, reason := run.tracker.Stage()
	if stage == run.stage {
		return
	}
	run.stage = stage
	switch stage {
	case rollout.Passed:
		f.log.Info("roll-out passed", "pool", pool, "version", run.target, "elapsed_ms", run.tracker.Elapsed(now).Milliseconds())
	case rollout.Completed:
		run.endedAt = now
		f.log.Info("roll-out completed", "pool", pool, "version", run.target)
	case rollout.Reverted:
		run.endedAt = now
		f.log.Warn("roll-out reverted", "pool", pool, "version", run.target, "cause", reason, "elapsed_ms", run.tracker.Elapsed(now).Milliseconds())
	}
}

// apply puts the held versions and their shares in force.
func (f carryOutRollouts) apply(s *State, now time.Time) {
	held, splits := maps.Clone(s.runs.withdrawn), map[model.Pool]place.Split{}
	for pool, status := range s.runs.statuses {
		if status.State == RolloutReverted {
			held[pool] = status.Target // also if the order was removed before the endpoints have gone
		}
	}
	maps.Copy(held, s.rollouts)
	routers := len(s.members)
	for pool, run := range s.runs.byPool {
		stage, _ := run.tracker.Stage()
		if !run.statusRead && stage != rollout.Completed {
			continue
		}
		splits[pool] = place.Split{Share: run.tracker.RouterShare(now, routers), Until: now.Add(splitLifetime), Only: stage == rollout.Completed}
		f.logStage(pool, run, now)
	}
	if !maps.Equal(held, s.table.HeldVersions()) {
		s.table.SetHeldVersions(held)
	}
	s.table.SetSplits(splits)
}
