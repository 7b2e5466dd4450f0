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
	// closeTimeout bounds the closing of connections after the drain.
	closeTimeout = 5 * time.Second
	// claimBudgetShare is the share of the fleet's append budget for claims and
	// results. The rest is for the voids of the entries.
	claimBudgetShare = 0.8
)

// Events of a planned stop and of the instance list.
type (
	// drainStarted starts a planned stop: the side takes no new work.
	drainStarted struct{ reason model.Reason }
	// drainExpired cancels the streams that still run at the drain timeout.
	drainExpired struct{}
	// waitIdle gets its reply when no request runs and no claim or result waits
	// for the log.
	waitIdle struct{ control.Deferred[bool] }
)

func (drainStarted) EventName() string { return "drain_started" }
func (drainExpired) EventName() string { return "drain_expired" }
func (waitIdle) EventName() string     { return "wait_idle" }

// Drain makes the side refuse new work as not run, broadcasts a leaving notice, and
// waits up to timeout until the requests in flight have ended and their results are
// in the log. It reports whether nothing remained.
func (p *Side) Drain(ctx context.Context, timeout time.Duration) bool {
	if p.deps.Disabled.Drain {
		return false
	}
	if p.loop.Post(ctx, drainStarted{model.ReasonDraining}) != nil {
		return false
	}
	p.AnnounceLeaving(ctx)
	waitCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	idle, err := control.Ask(waitCtx, p.loop, waitIdle{control.NewDeferred[bool]()})
	if err != nil {
		idle = p.cancelStreams(ctx)
	}
	if !idle {
		p.log.Warn("drain timed out with requests in flight; chats resume at other endpoints, other calls end with an unknown outcome",
			"running", p.loop.Snapshot().Running)
		return false
	}
	p.log.Info("drained")
	return true
}

// cancelStreams cancels the streams that still run, so that the entries resume them
// at other endpoints, and reports whether nothing else remained.
func (p *Side) cancelStreams(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if p.loop.Post(ctx, drainExpired{}) != nil {
		return false
	}
	idle, err := control.Ask(ctx, p.loop, waitIdle{control.NewDeferred[bool]()})
	return err == nil && idle
}

// errDrained ends a stream at the drain timeout. The entry resumes the stream at
// another endpoint.
var errDrained = &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonDraining, Detail: "the endpoint stops; the answer goes on at another one"}

// decideDrain starts and ends a planned stop: it replies to waitIdle once a draining
// side has nothing left to do.
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
		s.idleWaiters = append(s.idleWaiters, ev)
	}
	if len(s.idleWaiters) == 0 {
		return false
	}
	for _, o := range s.Claims.owners {
		o.Flush()
	}
	if s.Replay.Running() == 0 && s.Claims.allIdle() {
		invariant.Check(invariant.CleanStop, s.Admission.Running() == 0, "%d requests are in flight at a drained side", s.Admission.Running())
		for _, q := range s.idleWaiters {
			q.Reply(true)
		}
		s.idleWaiters = nil
	}
	return false
}

// applyList stops new work while the instance list marks this instance as leaving,
// and divides the append budget among the live sides of services.
type applyList struct {
	settings Settings
	budget   *logsvc.Budget
}

func (applyList) Name() string { return "fold_list" }

func (st applyList) Apply(s *State, _ time.Time, ev control.Event) bool {
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
			st.applyOwnStatus(s, in.Status)
		}
	}
	st.budget.SetShare(st.settings.AppendBudget, claimBudgetShare, len(s.services))
	return true
}

func (applyList) applyOwnStatus(s *State, status instances.Status) {
	switch {
	case status == instances.Leaving && s.Draining == "":
		s.Draining = model.ReasonLeaving
	case status == instances.Live && s.Draining == model.ReasonLeaving:
		s.Draining = ""
	}
}
