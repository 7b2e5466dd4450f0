package entry

import (
	"context"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/invariant"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

const (
	// closeTime is the time to close connections after the drain.
	closeTime = 5 * time.Second
	// leaveNotice is how long a leaving entry still takes new requests, so that
	// the balancer's check of /readyz can take it out first.
	leaveNotice = 3 * time.Second
)

// Events of a planned stop.
type (
	// requestBegun asks whether a request may start.
	requestBegun struct {
		control.Question[*model.Refusal]
	}
	// requestEnded ends a request that was allowed to start.
	requestEnded struct{}
	// drainStarted begins a planned stop.
	drainStarted struct{}
	// waitIdle is answered when no request is in progress.
	waitIdle struct{ control.Deferred[bool] }
)

func (requestBegun) EventName() string { return "request_begun" }
func (requestEnded) EventName() string { return "request_ended" }
func (drainStarted) EventName() string { return "drain_started" }
func (waitIdle) EventName() string     { return "wait_idle" }

// drainState is the part of the control state for planned stops.
type drainState struct {
	since  time.Time // start of the planned stop; zero if there is none
	active int       // requests in progress
	idle   []waitIdle
}

// decideDrain refuses new requests some time after the start of a planned stop
// and counts those in progress.
type decideDrain struct {
	self   model.InstanceID
	budget *logsvc.Budget
	fleet  int64 // appends a second of the whole fleet
}

func (decideDrain) Name() string { return "decide_drain" }

func (st decideDrain) Apply(s *State, now time.Time, ev control.Event) bool {
	changed := false
	switch ev := ev.(type) {
	case requestBegun:
		if !s.drain.since.IsZero() && now.Sub(s.drain.since) >= leaveNotice {
			r := model.Refuse(model.ReasonDraining, "this entry takes no new requests")
			r.RetryAfter = time.Second
			ev.Reply(r)
			return false
		}
		s.drain.active++
	case requestEnded:
		s.drain.active--
	case drainStarted:
		changed = s.drain.since.IsZero()
		if changed {
			s.drain.since = now
		}
	case waitIdle:
		s.drain.idle = append(s.drain.idle, ev)
	case listChanged:
		changed = st.foldList(s, now, ev.changes)
	}
	if s.drain.active == 0 && len(s.drain.idle) > 0 && now.Sub(s.drain.since) >= leaveNotice {
		for _, q := range s.drain.idle {
			q.Reply(true)
		}
		s.drain.idle = nil
	}
	return changed
}

// foldList notes the platform's leaving mark on this entry and shares the
// append budget among the entries.
func (st decideDrain) foldList(s *State, now time.Time, ch instances.Changes) bool {
	entries := 0
	for _, e := range s.Members.All() {
		if e.Role == instances.RoleEntry && e.Status == instances.Live {
			entries++
		}
	}
	st.budget.SetShare(st.fleet, entryShare, entries)
	changed := false
	for _, in := range ch.Instances {
		if in.ID == st.self && in.Status == instances.Leaving && s.drain.since.IsZero() {
			s.drain.since, changed = now, true
		}
	}
	return changed
}

// countActive is the first filter: it refuses new requests during a planned
// stop and counts the others until their answer has been written.
type countActive struct{ loop control.Poster }

func (countActive) Name() string { return "drain" }

func (f countActive) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	refusal, err := control.Ask(ctx, f.loop, requestBegun{control.NewQuestion[*model.Refusal]()})
	if err != nil {
		return nil, model.Refuse(model.ReasonCancelled, "the caller left before the request was taken")
	}
	if refusal != nil {
		return nil, refusal
	}
	done := func() { _ = f.loop.Post(context.WithoutCancel(ctx), requestEnded{}) }
	answer, err := next(ctx, req)
	if err != nil {
		done()
		return nil, err
	}
	answer.Frames = &closeNotifier{FrameReader: answer.Frames, done: done}
	return answer, nil
}

// closeNotifier calls done once, when the reader is closed.
type closeNotifier struct {
	model.FrameReader
	done func()
}

func (c *closeNotifier) Close() error {
	err := c.FrameReader.Close()
	if c.done != nil {
		c.done()
		c.done = nil
	}
	return err
}

// Drain makes the entry not ready, goes on taking requests for
// the notice time and then waits up to limit until none is in progress. It
// reports whether none remained.
func (e *Entry) Drain(ctx context.Context, limit time.Duration) bool {
	if e.deps.Disabled.Drain || e.loop.Post(ctx, drainStarted{}) != nil {
		return false
	}
	waiting, cancel := context.WithTimeout(ctx, leaveNotice+limit)
	defer cancel()
	idle, err := control.Ask(waiting, e.loop, waitIdle{control.NewDeferred[bool]()})
	if err != nil || !idle {
		e.log.Warn("answers remained at the end of the drain time; callers resume them at another entry with Last-Event-ID")
		return false
	}
	invariant.Check(invariant.CleanStop, idle, "requests in progress on a drained entry")
	e.log.Info("drained")
	return true
}
