package entry

import (
	"slices"
	"strconv"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/rollout"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
)

// rolloutState is the part of the control state for rollouts.
type rolloutState struct {
	endpointEvidence map[summary.Key]*rollout.EvidenceTable // of the endpoints that report to this aggregator
	groupEvidence    map[summary.Key]*rollout.EvidenceTable // of the other groups, for which this entry is a root
	judges           map[string]*rollout.Judge              // by latch name
	suspensions      map[string]rollout.Verdict             // verdicts of this entry that suspended a rollout, by latch name
	selector         rollout.CachedSelector
	judgedAt         time.Time
}

func newRolloutState() rolloutState {
	return rolloutState{
		endpointEvidence: map[summary.Key]*rollout.EvidenceTable{}, groupEvidence: map[summary.Key]*rollout.EvidenceTable{},
		judges: map[string]*rollout.Judge{}, suspensions: map[string]rollout.Verdict{},
	}
}

// Events of rollouts.
type (
	// evidenceReceived carries the total counts of an endpoint or a group.
	evidenceReceived struct {
		control.Question[gossip]
		key    summary.Key
		source string
		group  bool
		total  rollout.Evidence
	}
	// evidenceQuery asks for the messages to the roots.
	evidenceQuery struct {
		control.Question[[]evidenceMessage]
	}
	// evidenceMessage is the evidence of this aggregator for one root.
	evidenceMessage struct {
		address string
		key     summary.Key
		source  string
		rollout string
		total   rollout.Evidence
		gossip  gossip
	}
	// outcomesQuery asks for the rollouts whose outcome must be recorded.
	outcomesQuery struct {
		control.Question[rolloutOutcomes]
	}
	// rolloutOutcomes are the changes to a configuration that end rollouts.
	rolloutOutcomes struct {
		base    int64 // offset of the configuration
		changes []lists.Change
	}
)

func (evidenceReceived) EventName() string { return "evidence_received" }
func (evidenceQuery) EventName() string    { return "take_evidence" }
func (outcomesQuery) EventName() string    { return "take_outcomes" }

// judgeInterval is the interval at which a root tests the evidence. Evidence arrives
// at the same interval.
const judgeInterval = time.Second

// judgeRollouts merges rollout evidence, judges it where this entry is a root, and
// updates the selector from which traffic takes the version of a request.
type judgeRollouts struct{ settings Settings }

func (judgeRollouts) Name() string { return "judge_rollouts" }

func (st judgeRollouts) Apply(s *State, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case evidenceReceived:
		table := evidenceOf(s.endpointEvidence, ev.key)
		if ev.group {
			table = evidenceOf(s.groupEvidence, ev.key)
		}
		table.Put(ev.source, ev.total)
		ev.Reply(s.gossip(now))
	case evidenceQuery:
		ev.Reply(st.messages(s, now))
	case outcomesQuery:
		ev.Reply(st.outcomes(s, now))
	case control.Tick:
		if now.Sub(s.judgedAt) >= judgeInterval {
			s.judgedAt = now
			st.judgeAll(s, now)
		}
	}
	return s.selector.Update(s.Config.Lists, s.latches)
}

// evidenceOf returns the table of k in tables. It adds an empty one if there is none.
func evidenceOf(tables map[summary.Key]*rollout.EvidenceTable, k summary.Key) *rollout.EvidenceTable {
	if tables[k] == nil {
		tables[k] = rollout.NewEvidenceTable()
	}
	return tables[k]
}

// isRoot reports whether this entry merges the groups of a pool in its region.
func (st judgeRollouts) isRoot(s *State, k summary.Key) bool {
	groups := summary.Groups(s.peers.EndpointCount(k.Pool))
	return slices.Contains(summary.Roots(k, groups, s.peers.Entries), st.settings.Instance)
}

// judgeAll judges the active rollouts for which this entry is a root, and drops the
// evidence of all rollouts that are not active.
func (st judgeRollouts) judgeAll(s *State, now time.Time) {
	active := map[string]bool{}
	for name, r := range s.Config.Lists.Rollouts {
		k := summary.Key{Pool: r.Pool, Region: st.settings.Region}
		if r.State != lists.RolloutActive || now.Before(r.Start) {
			continue
		}
		active[name] = true
		if st.isRoot(s, k) {
			st.judgeOne(s, now, name, r, k)
		}
	}
	for _, tables := range []map[summary.Key]*rollout.EvidenceTable{s.endpointEvidence, s.groupEvidence} {
		for _, table := range tables {
			table.Retain(active)
		}
	}
}

// judgeOne tests the merged evidence of one rollout and raises its latch.
func (st judgeRollouts) judgeOne(s *State, now time.Time, name string, r lists.Rollout, k summary.Key) {
	latch := rollout.LatchName(name, r)
	judge := s.judges[latch]
	if judge == nil {
		judge = rollout.NewJudge(name, r)
		s.judges[latch] = judge
	}
	total := evidenceOf(s.endpointEvidence, k).Total()
	total.Merge(evidenceOf(s.groupEvidence, k).Total())
	windowFraction := float64(now.Sub(r.Start)) / float64(max(r.Deadline.Sub(r.Start), 1))
	verdict := judge.Observe(total, windowFraction)
	if verdict.Suspended {
		s.suspensions[latch] = verdict
	}
	if verdict.Latch() > rollout.LatchNone {
		s.latches.Merge(summary.Latches{latch: int64(verdict.Latch())})
	}
}

// messages returns the messages with the evidence of this aggregator's groups to the
// roots.
func (st judgeRollouts) messages(s *State, now time.Time) []evidenceMessage {
	var out []evidenceMessage
	for k, table := range s.endpointEvidence {
		total := table.Total()
		active, ok := s.selector.Active(k.Pool)
		groups := summary.Groups(s.peers.EndpointCount(k.Pool))
		if !ok || len(total) == 0 || groups == 1 {
			continue
		}
		roots := slices.DeleteFunc(summary.Roots(k, groups, s.peers.Entries), func(id model.InstanceID) bool { return id == st.settings.Instance })
		for _, address := range s.peers.Addresses(roots) {
			out = append(out, evidenceMessage{address: address, key: k, source: string(st.settings.Instance), rollout: active.Name, total: total, gossip: s.gossip(now)})
		}
	}
	return out
}

// outcomes returns the changes that end rollouts: rolled back as soon as the latch
// suspends them, done when every chat has moved to the new version.
func (st judgeRollouts) outcomes(s *State, now time.Time) rolloutOutcomes {
	out := rolloutOutcomes{base: s.Config.Offset}
	for name, r := range s.Config.Lists.Rollouts {
		if r.State != lists.RolloutActive || !st.isRoot(s, summary.Key{Pool: r.Pool, Region: st.settings.Region}) {
			continue
		}
		latch := rollout.LatchName(name, r)
		switch {
		case rollout.Latch(s.latches[latch]) == rollout.LatchSuspended:
			out.changes = append(out.changes, rollBackChanges(name, r, s.suspensions[latch])...)
		case rollout.Finished(r, now):
			out.changes = append(out.changes, completionChanges(s.Config.Lists, name, r)...)
		}
	}
	return out
}

// rollBackChanges ends a rollout as rolled back, with the reason and the evidence.
func rollBackChanges(name string, r lists.Rollout, v rollout.Verdict) []lists.Change {
	r.State, r.Reason, r.Evidence = lists.RolloutRolledBack, v.Reason(), v.Evidence()
	if r.Reason == "" {
		r.Reason = "another root found a fault; its evidence is in its log"
	}
	return buildChanges(func() (lists.Change, error) { return lists.NewChange(lists.KindRollout, name, r) })
}

// completionChanges ends a rollout as done and sets the new version as that of the
// pool, in one record.
func completionChanges(l *lists.Lists, name string, r lists.Rollout) []lists.Change {
	r.State, r.Reason = lists.RolloutDone, "every chat has moved and no fault showed"
	pool := l.Pools[r.Pool]
	pool.Version = r.New
	return buildChanges(
		func() (lists.Change, error) { return lists.NewChange(lists.KindRollout, name, r) },
		func() (lists.Change, error) { return lists.NewChange(lists.KindPool, string(r.Pool), pool) },
	)
}

// buildChanges returns the changes of all builders, or nil if one of them fails.
func buildChanges(builders ...func() (lists.Change, error)) []lists.Change {
	var out []lists.Change
	for _, build := range builders {
		c, err := build()
		if err != nil {
			return nil
		}
		out = append(out, c)
	}
	return out
}

// outcomeRecordID returns the id of the record that ends rollouts of the
// configuration at base, so that an append whose reply was lost can be resolved.
func outcomeRecordID(instance model.InstanceID, base int64) string {
	return "rollout/" + string(instance) + "/" + strconv.FormatInt(base, 10)
}

// Versions returns the versions in force at this entry.
func (e *Entry) Versions() rollout.Selector { return e.loop.Snapshot().Versions }

// Accepted returns the configuration in force at this entry.
func (e *Entry) Accepted() *config.Accepted { return e.loop.Snapshot().Config }
