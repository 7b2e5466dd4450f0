package control

import (
	"context"

	"github.com/rotisserie/eris"
)

// replySender is a question whose reply is due once the snapshot is published.
type replySender interface{ SendReply() }

// Question is embedded in events whose sender waits for an answer of type R.
// Create it with NewQuestion. A stage answers with Reply; a question that no
// stage answers yields the zero R. The sender gets the answer after the snapshot
// is published, so it finds what its event changed.
type Question[R any] struct {
	pending *pendingReply[R]
}

type pendingReply[R any] struct {
	value    R
	answered bool
	reply    chan R
}

// NewQuestion returns a question ready to be asked once.
func NewQuestion[R any]() Question[R] {
	return Question[R]{&pendingReply[R]{reply: make(chan R, 1)}}
}

// Reply answers the question. Only the first reply counts. Stages call it while
// they apply the event.
func (q Question[R]) Reply(r R) {
	if !q.pending.answered {
		q.pending.value, q.pending.answered = r, true
	}
}

// SendReply sends the answer. The loop calls it once, after publishing.
func (q Question[R]) SendReply() { q.pending.reply <- q.pending.value }

// Deferred marks a question whose answer comes from a later event. A stage that
// keeps the question must answer it eventually.
type Deferred[R any] struct {
	reply chan R
}

// NewDeferred returns a question that is not closed by the loop itself.
func NewDeferred[R any]() Deferred[R] { return Deferred[R]{reply: make(chan R, 1)} }

// Reply answers the question. Only the first reply counts.
func (q Deferred[R]) Reply(r R) {
	select {
	case q.reply <- r:
	default:
	}
}

// ReplyChan returns the channel that yields the reply.
func (q Question[R]) ReplyChan() <-chan R { return q.pending.reply }

// ReplyChan returns the channel that yields the reply.
func (q Deferred[R]) ReplyChan() <-chan R { return q.reply }

// QuestionEvent is an event that carries its own reply channel.
type QuestionEvent[R any] interface {
	Event
	ReplyChan() <-chan R
}

// Ask posts ev and waits for its reply.
func Ask[R any](ctx context.Context, p Poster, ev QuestionEvent[R]) (R, error) {
	var zero R
	if err := p.Post(ctx, ev); err != nil {
		return zero, err
	}
	select {
	case r := <-ev.ReplyChan():
		return r, nil
	case <-p.stopped():
		return zero, ErrStopped
	case <-ctx.Done():
		return zero, eris.Wrap(ctx.Err(), "control: no reply")
	}
}
