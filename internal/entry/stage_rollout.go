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

// rolloutState is the part of the control state that concerns rollouts.
type rolloutState struct {
	reports  map[summary.Key]*rollout.EvidenceTable // evidence of the endpoints that report to this holder
	sums     map[summary.Key]*rollout.EvidenceTable // evidence of the other groups, for which this entry is a root
	judges   map[string]*rollout.Judge              // by latch name
	reasons  map[string]rollout.Verdict             // of suspended rollouts that this entry judged
	versions rollout.CachedSelector
	judgedAt time.Time
}

func newRolloutState() rolloutState {
	return rolloutState{
		reports: map[summary.Key]*rollout.EvidenceTable{}, sums: map[summary.Key]*rollout.EvidenceTable{},
		judges: map[string]*rollout.Judge{}, reasons: map[string]rollout.Verdict{},
	}
}

// Events about rollouts.
type (
	// evidenceReceived carries the total counts of an endpoint or a group.
	evidenceReceived struct {
		control.Question[news]
		key    summary.Key
		source string
		group  bool
		total  rollout.Evidence
	}
	// takeEvidence asks for the sums that go to the roots.
	takeEvidence struct {
		control.Question[[]evidencePlan]
	}
	evidencePlan struct {
		address string
		key     summary.Key
		source  string
		rollout string
		total   rollout.Evidence
		news    news
	}
	// takeOutcomes asks for the rollouts whose end must be recorded.
	takeOutcomes struct {
		control.Question[outcomes]
	}
	outcomes struct {
		base    int64
		changes []lists.Change
	}
)

func (evidenceReceived) EventName() string { return "evidence_received" }
func (takeEvidence) EventName() string     { return "take_evidence" }
func (takeOutcomes) EventName() string     { return "take_outcomes" }

// judgePeriod is the interval at which a root tests the evidence. Reports come
// at the same interval.
const judgePeriod = time.Second

// judgeRollouts merges evidence, judges it where this entry is a root, and
// derives the versions that traffic selects from.
type judgeRollouts struct{ settings Settings }

func (judgeRollouts) Name() string { return "judge_rollouts" }

func (st judgeRollouts) Apply(s *State, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case evidenceReceived:
		ledger := ledgerOf(s.reports, ev.key)
		if ev.group {
			ledger = ledgerOf(s.sums, ev.key)
		}
		ledger.Put(ev.source, ev.total)
		ev.Reply(s.news(now))
	case takeEvidence:
		ev.Reply(st.plans(s, now))
	case takeOutcomes:
		ev.Reply(st.outcomes(s, now))
	case control.Tick:
		if now.Sub(s.judgedAt) >= judgePeriod {
			s.judgedAt = now
			st.judge(s, now)
		}
	}
	return s.versions.Update(s.Config.Lists, s.verdicts)
}

func ledgerOf(m map[summary.Key]*rollout.EvidenceTable, k summary.Key) *rollout.EvidenceTable {
	if m[k] == nil {
		m[k] = rollout.NewEvidenceTable()
	}
	return m[k]
}

// isRoot reports whether this entry merges the groups of a pool in its region.
func (st judgeRollouts) isRoot(s *State, k summary.Key) bool {
	groups := summary.Groups(s.peers.EndpointCount(k.Pool))
	return slices.Contains(summary.Roots(k, groups, s.peers.Entries), st.settings.Instance)
}

func (st judgeRollouts) judge(s *State, now time.Time) {
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
	for _, m := range []map[summary.Key]*rollout.EvidenceTable{s.reports, s.sums} {
		for _, l := range m {
			l.Retain(active)
		}
	}
}

func (st judgeRollouts) judgeOne(s *State, now time.Time, name string, r lists.Rollout, k summary.Key) {
	latch := rollout.LatchName(name, r)
	j := s.judges[latch]
	if j == nil {
		j = rollout.NewJudge(name, r)
		s.judges[latch] = j
	}
	total := ledgerOf(s.reports, k).Total()
	total.Merge(ledgerOf(s.sums, k).Total())
	part := float64(now.Sub(r.Start)) / float64(max(r.Deadline.Sub(r.Start), 1))
	v := j.Observe(total, part)
	if v.Suspended {
		s.reasons[latch] = v
	}
	if v.Latch() > rollout.LatchNone {
		s.verdicts.Merge(summary.Latches{latch: int64(v.Latch())})
	}
}

// plans returns the evidence of this holder's groups for the roots.
func (st judgeRollouts) plans(s *State, now time.Time) []evidencePlan {
	var out []evidencePlan
	for k, ledger := range s.reports {
		total := ledger.Total()
		active, ok := s.versions.Active(k.Pool)
		groups := summary.Groups(s.peers.EndpointCount(k.Pool))
		if !ok || len(total) == 0 || groups == 1 {
			continue
		}
		roots := slices.DeleteFunc(summary.Roots(k, groups, s.peers.Entries), func(id model.InstanceID) bool { return id == st.settings.Instance })
		for _, address := range s.peers.Addresses(roots) {
			out = append(out, evidencePlan{address: address, key: k, source: string(st.settings.Instance), rollout: active.Name, total: total, news: s.news(now)})
		}
	}
	return out
}

// outcomes returns the changes that end rollouts: taken back as soon as the
// latch says so, done when every chat has moved.
func (st judgeRollouts) outcomes(s *State, now time.Time) outcomes {
	out := outcomes{base: s.Config.Offset}
	for name, r := range s.Config.Lists.Rollouts {
		if r.State != lists.RolloutActive || !st.isRoot(s, summary.Key{Pool: r.Pool, Region: st.settings.Region}) {
			continue
		}
		latch := rollout.LatchName(name, r)
		switch {
		case rollout.Latch(s.verdicts[latch]) == rollout.LatchSuspended:
			out.changes = append(out.changes, takenBack(name, r, s.reasons[latch])...)
		case rollout.Finished(r, now):
			out.changes = append(out.changes, done(s.Config.Lists, name, r)...)
		}
	}
	return out
}

func takenBack(name string, r lists.Rollout, v rollout.Verdict) []lists.Change {
	r.State, r.Reason, r.Evidence = lists.RolloutRolledBack, v.Reason(), v.Evidence()
	if r.Reason == "" {
		r.Reason = "another root found a fault; its evidence is in its log"
	}
	return changes(func() (lists.Change, error) { return lists.NewChange(lists.KindRollout, name, r) })
}

// done ends a rollout and makes the new version the pool's, in one record.
func done(l *lists.Lists, name string, r lists.Rollout) []lists.Change {
	r.State, r.Reason = lists.RolloutDone, "every chat has moved and no fault showed"
	pool := l.Pools[r.Pool]
	pool.Version = r.New
	return changes(
		func() (lists.Change, error) { return lists.NewChange(lists.KindRollout, name, r) },
		func() (lists.Change, error) { return lists.NewChange(lists.KindPool, string(r.Pool), pool) },
	)
}

func changes(builders ...func() (lists.Change, error)) []lists.Change {
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

// rolloutID names the record that ends rollouts of a base, so that a lost
// append answer can be resolved.
func rolloutID(instance model.InstanceID, base int64) string {
	return "rollout/" + string(instance) + "/" + strconv.FormatInt(base, 10)
}

// Versions returns the versions in force at this entry.
func (e *Entry) Versions() rollout.Selector { return e.loop.Snapshot().Versions }

// Accepted returns the configuration in force at this entry.
func (e *Entry) Accepted() *config.Accepted { return e.loop.Snapshot().Config }
