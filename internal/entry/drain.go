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
	// closeTimeout bounds the closing of connections after the drain.
	closeTimeout = 5 * time.Second
	// drainDelay is how long a draining entry still accepts new requests, so that
	// the load balancer's check of /readyz can remove it first.
	drainDelay = 3 * time.Second
)

// Events of a planned stop.
type (
	// beginRequest asks whether a request may start, and counts it if it may.
	beginRequest struct {
		control.Question[*model.Refusal]
	}
	// requestEnded reports the end of a request that was allowed to start.
	requestEnded struct{}
	// drainStarted starts a planned stop.
	drainStarted struct{}
	// waitIdle gets its reply when no request is in flight and drainDelay has
	// passed.
	waitIdle struct{ control.Deferred[bool] }
)

func (beginRequest) EventName() string { return "request_begun" }
func (requestEnded) EventName() string { return "request_ended" }
func (drainStarted) EventName() string { return "drain_started" }
func (waitIdle) EventName() string     { return "wait_idle" }

// drainState is the part of the control state for planned stops.
type drainState struct {
	startedAt   time.Time // start of the planned stop; zero if there is none
	active      int       // requests in flight
	idleWaiters []waitIdle
}

// decideDrain counts the requests in flight and refuses new ones once
// drainDelay has passed since the start of a planned stop.
type decideDrain struct {
	self         model.InstanceID
	budget       *logsvc.Budget
	fleetAppends int64 // appends per second of the whole fleet
}

func (decideDrain) Name() string { return "decide_drain" }

func (st decideDrain) Apply(s *State, now time.Time, ev control.Event) bool {
	changed := false
	switch ev := ev.(type) {
	case beginRequest:
		if !s.drain.startedAt.IsZero() && now.Sub(s.drain.startedAt) >= drainDelay {
			r := model.Refuse(model.ReasonDraining, "this entry takes no new requests")
			r.RetryAfter = time.Second
			ev.Reply(r)
			return false
		}
		s.drain.active++
	case requestEnded:
		s.drain.active--
	case drainStarted:
		changed = s.drain.startedAt.IsZero()
		if changed {
			s.drain.startedAt = now
		}
	case waitIdle:
		s.drain.idleWaiters = append(s.drain.idleWaiters, ev)
	case listChanged:
		changed = st.applyList(s, now, ev.changes)
	}
	if s.drain.active == 0 && len(s.drain.idleWaiters) > 0 && now.Sub(s.drain.startedAt) >= drainDelay {
		for _, q := range s.drain.idleWaiters {
			q.Reply(true)
		}
		s.drain.idleWaiters = nil
	}
	return changed
}

// applyList starts a planned stop if the instance list marks this entry as
// leaving, and divides the append budget among the live entries.
func (st decideDrain) applyList(s *State, now time.Time, ch instances.Changes) bool {
	entries := 0
	for _, e := range s.Members.All() {
		if e.Role == instances.RoleEntry && e.Status == instances.Live {
			entries++
		}
	}
	st.budget.SetShare(st.fleetAppends, voidBudgetShare, entries)
	changed := false
	for _, in := range ch.Instances {
		if in.ID == st.self && in.Status == instances.Leaving && s.drain.startedAt.IsZero() {
			s.drain.startedAt, changed = now, true
		}
	}
	return changed
}

// countActive is the first filter. It refuses new requests during a planned stop
// and counts the accepted ones until their answer has been written.
type countActive struct{ loop control.Poster }

func (countActive) Name() string { return "drain" }

func (f countActive) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	refusal, err := control.Ask(ctx, f.loop, beginRequest{control.NewQuestion[*model.Refusal]()})
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

// Drain marks the entry as not ready, keeps accepting requests for drainDelay and
// then waits up to timeout until no request is in flight. It reports whether none
// remained.
func (e *Entry) Drain(ctx context.Context, timeout time.Duration) bool {
	if e.deps.Disabled.Drain || e.loop.Post(ctx, drainStarted{}) != nil {
		return false
	}
	waitCtx, cancel := context.WithTimeout(ctx, drainDelay+timeout)
	defer cancel()
	idle, err := control.Ask(waitCtx, e.loop, waitIdle{control.NewDeferred[bool]()})
	if err != nil || !idle {
		e.log.Warn("drain timed out with requests in flight; callers resume the answers at another entry with Last-Event-ID")
		return false
	}
	invariant.Check(invariant.CleanStop, idle, "requests are in flight at a drained entry")
	e.log.Info("drained")
	return true
}
