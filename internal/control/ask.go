package control

import (
	"context"

	"github.com/rotisserie/eris"
)

// replySender is an event whose reply is sent once the snapshot is published.
type replySender interface{ SendReply() }

// Question is embedded in events whose sender waits for a reply of type R. Create
// it with NewQuestion. A stage sets the reply with Reply; if no stage does, the
// reply is the zero R. The sender gets the reply after the snapshot has been
// published, so that the snapshot already contains what the event changed.
type Question[R any] struct {
	pending *pendingReply[R]
}

// pendingReply holds a reply until the loop sends it.
type pendingReply[R any] struct {
	value   R
	replied bool
	reply   chan R
}

// NewQuestion returns a question, which can be asked once.
func NewQuestion[R any]() Question[R] {
	return Question[R]{&pendingReply[R]{reply: make(chan R, 1)}}
}

// Reply sets the reply. Only the first call has an effect. Stages call it while
// they apply the event.
func (q Question[R]) Reply(r R) {
	if !q.pending.replied {
		q.pending.value, q.pending.replied = r, true
	}
}

// SendReply sends the reply. The loop calls it once, after publishing the snapshot.
func (q Question[R]) SendReply() { q.pending.reply <- q.pending.value }

// settled is a question that no stage answers.
type settled struct{ Question[struct{}] }

// EventName implements Event.
func (settled) EventName() string { return "settled" }

// Settle waits until the events that were posted before have been applied, so that
// the snapshot contains what they changed.
func (l *Loop[T, S]) Settle(ctx context.Context) error {
	_, err := Ask(ctx, l, settled{NewQuestion[struct{}]()})
	return err
}

// Deferred is embedded in events like Question, but the reply may be sent while a
// later event is applied. A stage that keeps the question must reply eventually.
type Deferred[R any] struct {
	reply chan R
}

// NewDeferred returns a question for which the loop sends no default reply.
func NewDeferred[R any]() Deferred[R] { return Deferred[R]{reply: make(chan R, 1)} }

// Reply sends the reply. Only the first call has an effect.
func (q Deferred[R]) Reply(r R) {
	select {
	case q.reply <- r:
	default:
	}
}

// ReplyChan returns the channel on which the reply arrives.
func (q Question[R]) ReplyChan() <-chan R { return q.pending.reply }

// ReplyChan returns the channel on which the reply arrives.
func (q Deferred[R]) ReplyChan() <-chan R { return q.reply }

// QuestionEvent is an event that has a reply channel.
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
