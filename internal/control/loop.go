package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Event is a message to the control loop.
type Event interface {
	// EventName identifies the kind of event in logs and metrics.
	EventName() string
}

// Tick is the event that the loop applies at its tick interval.
type Tick struct{}

// EventName implements Event.
func (Tick) EventName() string { return "tick" }

// Stage is one step of the control pipeline. It runs only on the control goroutine,
// so it needs no lock and must not block.
type Stage[T any] interface {
	// Name identifies the stage.
	Name() string
	// Apply applies ev to state and reports whether a new snapshot must be published.
	Apply(state *T, now time.Time, ev Event) (changed bool)
}

// ErrStopped is returned by Post and Ask after the loop has ended.
var ErrStopped = eris.New("control: loop has stopped")

// Config is the configuration of a loop.
type Config[T, S any] struct {
	State    *T
	Stages   []Stage[T]
	Publish  func(state *T, now time.Time) *S
	Tick     time.Duration    // 0 means no ticks
	QueueLen int              // capacity of the event queue; 0 means DefaultQueueLen
	Now      func() time.Time // nil means time.Now
}

// DefaultQueueLen is the default capacity of the event queue.
const DefaultQueueLen = 1024

// Loop owns a control state of type T and publishes snapshots of type S.
type Loop[T, S any] struct {
	cfg      Config[T, S]
	events   chan Event
	done     chan struct{}
	snapshot atomic.Pointer[S]
}

// New returns a loop that has published a first snapshot. Run starts it.
func New[T, S any](cfg Config[T, S]) *Loop[T, S] {
	if cfg.QueueLen == 0 {
		cfg.QueueLen = DefaultQueueLen
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	l := &Loop[T, S]{cfg: cfg, events: make(chan Event, cfg.QueueLen), done: make(chan struct{})}
	l.snapshot.Store(cfg.Publish(cfg.State, cfg.Now()))
	return l
}

// Run applies events until ctx ends. It must be called only once.
func (l *Loop[T, S]) Run(ctx context.Context) {
	defer close(l.done)
	var ticks <-chan time.Time
	if l.cfg.Tick > 0 {
		t := time.NewTicker(l.cfg.Tick)
		defer t.Stop()
		ticks = t.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-l.events:
			l.apply(ev)
		case <-ticks:
			l.apply(Tick{})
		}
	}
}

// apply runs ev through the stages, publishes a snapshot if one of them changed the
// state, and sends the reply if ev is a question.
func (l *Loop[T, S]) apply(ev Event) {
	now := l.cfg.Now()
	changed := false
	for _, s := range l.cfg.Stages {
		changed = s.Apply(l.cfg.State, now, ev) || changed
	}
	if changed {
		l.snapshot.Store(l.cfg.Publish(l.cfg.State, now))
	}
	if q, ok := ev.(replySender); ok {
		q.SendReply()
	}
}

// Snapshot returns the last published snapshot. Callers must not change it.
func (l *Loop[T, S]) Snapshot() *S { return l.snapshot.Load() }

// Post queues ev. It blocks while the queue is full.
func (l *Loop[T, S]) Post(ctx context.Context, ev Event) error {
	select {
	case l.events <- ev:
		return nil
	case <-l.done:
		return ErrStopped
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "control: event not queued")
	}
}

// TryPost queues ev unless the queue is full and reports whether it did.
func (l *Loop[T, S]) TryPost(ev Event) bool {
	select {
	case l.events <- ev:
		return true
	default:
		return false
	}
}

// Poster is the part of a Loop through which sources post events.
type Poster interface {
	Post(ctx context.Context, ev Event) error
	TryPost(ev Event) bool
	stopped() <-chan struct{}
}

func (l *Loop[T, S]) stopped() <-chan struct{} { return l.done }
