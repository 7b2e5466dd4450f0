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
	// waitIdle is answered when no work runs and no result waits for the log.
	waitIdle struct{ control.Defer[bool] }
	// listChanged carries changes of the platform's instance list.
	listChanged struct{ changes instances.Changes }
)

func (drainStarted) EventName() string { return "drain_started" }
func (waitIdle) EventName() string     { return "wait_idle" }
func (listChanged) EventName() string  { return "list_changed" }

// Drain makes the side refuse new work as not run, tells the peers, and waits
// up to limit until the running work has ended and its results are in the log.
// It reports whether nothing remained.
func (p *Side) Drain(ctx context.Context, limit time.Duration) bool {
	if p.deps.Without.Drain {
		return false
	}
	if p.loop.Post(ctx, drainStarted{model.ReasonDraining}) != nil {
		return false
	}
	if p.deps.Notify != nil {
		p.deps.Notify.Leaving(ctx)
	}
	waiting, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	idle, err := control.Ask(waiting, p.loop, waitIdle{control.NewDeferred[bool]()})
	if err != nil || !idle {
		p.log.Warn("work remained at the end of the drain time; chats go on at other endpoints, other calls end as unknown",
			"running", p.loop.Snapshot().Running)
		return false
	}
	p.log.Info("drained")
	return true
}

// decideDrain answers when a draining side has nothing left to do.
type decideDrain struct{}

func (decideDrain) Name() string { return "decide_drain" }

func (decideDrain) Apply(s *State, _ time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case drainStarted:
		changed := s.Draining == ""
		s.Draining = ev.reason
		return changed
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
		invariant.Check(invariant.CleanStop, len(s.Running) == 0, "%d requests run on a drained side", len(s.Running))
		for _, q := range s.drainEnd {
			q.Reply(true)
		}
		s.drainEnd = nil
	}
	return false
}

func (p *Side) followInstances(ctx context.Context) {
	each := func(ch instances.Changes) { _ = p.loop.Post(ctx, listChanged{ch}) }
	failed := func(err error) { p.log.Warn("instance list cannot be read", "error", err) }
	instances.Follow(ctx, p.deps.List, each, failed)
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
