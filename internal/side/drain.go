package side

import (
	"context"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/invariant"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// closeTime is the time to close connections after the drain.
	closeTime = 5 * time.Second
	// sideShare is the part of the fleet's append budget for claims and
	// results. The entries' voids have the rest.
	sideShare = 0.8
)

// Events of a planned stop and of the instance list.
type (
	// drainStarted ends the taking of new work.
	drainStarted struct{ reason model.Reason }
	// drainExpired ends the streams that still run at the end of the drain time.
	drainExpired struct{}
	// waitIdle is answered when no work runs and no result waits for the log.
	waitIdle struct{ control.Deferred[bool] }
)

func (drainStarted) EventName() string { return "drain_started" }
func (drainExpired) EventName() string { return "drain_expired" }
func (waitIdle) EventName() string     { return "wait_idle" }

// Drain makes the side refuse new work as not run, tells the peers, and waits
// up to limit until the running work has ended and its results are in the log.
// It reports whether nothing remained.
func (p *Side) Drain(ctx context.Context, limit time.Duration) bool {
	if p.deps.Disabled.Drain {
		return false
	}
	if p.loop.Post(ctx, drainStarted{model.ReasonDraining}) != nil {
		return false
	}
	p.AnnounceLeaving(ctx)
	waiting, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	idle, err := control.Ask(waiting, p.loop, waitIdle{control.NewDeferred[bool]()})
	if err != nil {
		idle = p.giveUp(ctx)
	}
	if !idle {
		p.log.Warn("work remained at the end of the drain time; chats go on at other endpoints, other calls end as unknown",
			"running", p.loop.Snapshot().Running)
		return false
	}
	p.log.Info("drained")
	return true
}

// giveUp cancels the streams that still run, so that the entries move them to
// other endpoints, and reports whether nothing else remained.
func (p *Side) giveUp(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, closeTime)
	defer cancel()
	if p.loop.Post(ctx, drainExpired{}) != nil {
		return false
	}
	idle, err := control.Ask(ctx, p.loop, waitIdle{control.NewDeferred[bool]()})
	return err == nil && idle
}

// errDrained ends a stream at the end of the drain time. The entry goes on with
// it at another endpoint.
var errDrained = &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonDraining, Detail: "the endpoint stops; the answer goes on at another one"}

// decideDrain answers when a draining side has nothing left to do.
type decideDrain struct{}

func (decideDrain) Name() string { return "decide_drain" }

func (decideDrain) Apply(s *State, _ time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case drainStarted:
		changed := s.Draining == ""
		s.Draining = ev.reason
		return changed
	case drainExpired:
		s.Replay.CancelAll(errDrained)
	case waitIdle:
		s.drainEnd = append(s.drainEnd, ev)
	}
	if len(s.drainEnd) == 0 {
		return false
	}
	for _, o := range s.Claims.owners {
		o.Flush()
	}
	if s.Replay.Running() == 0 && s.Claims.idleClaims() {
		invariant.Check(invariant.CleanStop, s.Admission.Running() == 0, "%d requests run on a drained side", s.Admission.Running())
		for _, q := range s.drainEnd {
			q.Reply(true)
		}
		s.drainEnd = nil
	}
	return false
}

// foldList notes the platform's leaving mark on this instance and the number
// of processes that share the append budget.
type foldList struct {
	settings Settings
	budget   *logsvc.Budget
}

func (foldList) Name() string { return "fold_list" }

func (st foldList) Apply(s *State, _ time.Time, ev control.Event) bool {
	list, ok := ev.(listChanged)
	if !ok {
		return false
	}
	for _, in := range list.changes.Instances {
		if in.Kind == model.Service && in.Status == instances.Live {
			s.services[in.ID] = struct{}{}
		} else {
			delete(s.services, in.ID)
		}
		if in.ID == st.settings.Instance {
			st.foldOwn(s, in.Status)
		}
	}
	st.budget.SetShare(st.settings.AppendBudget, sideShare, len(s.services))
	return true
}

func (foldList) foldOwn(s *State, status instances.Status) {
	switch {
	case status == instances.Leaving && s.Draining == "":
		s.Draining = model.ReasonLeaving
	case status == instances.Live && s.Draining == model.ReasonLeaving:
		s.Draining = ""
	}
}
