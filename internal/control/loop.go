package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Event is a typed message to the control loop.
type Event interface {
	// EventName identifies the kind of event in logs and metrics.
	EventName() string
}

// Tick is the event that the loop sends itself at its tick interval.
type Tick struct{}

// EventName implements Event.
func (Tick) EventName() string { return "tick" }

// Stage is one step of the control pipeline. It runs on the control goroutine
// only, so it needs no lock and must not block.
type Stage[T any] interface {
	// Name identifies the stage.
	Name() string
	// Apply applies ev and reports whether the snapshot must be published anew.
	Apply(state *T, now time.Time, ev Event) (changed bool)
}

// ErrStopped is returned by Post and Ask after the loop has ended.
var ErrStopped = eris.New("control: loop has stopped")

// Config describes a loop.
type Config[T, S any] struct {
	State    *T
	Stages   []Stage[T]
	Publish  func(state *T, now time.Time) *S
	Tick     time.Duration    // 0 means no ticks
	QueueLen int              // events that may wait; 0 means DefaultQueueLen
	Now      func() time.Time // nil means time.Now
}

// DefaultQueueLen is the number of events that may wait for the loop.
const DefaultQueueLen = 1024

// Loop owns a control state of type T and publishes snapshots of type S.
type Loop[T, S any] struct {
	cfg    Config[T, S]
	events chan Event
	done   chan struct{}
	snap   atomic.Pointer[S]
}

// New returns a loop with a first snapshot published. Run starts it.
func New[T, S any](cfg Config[T, S]) *Loop[T, S] {
	if cfg.QueueLen == 0 {
		cfg.QueueLen = DefaultQueueLen
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	l := &Loop[T, S]{cfg: cfg, events: make(chan Event, cfg.QueueLen), done: make(chan struct{})}
	l.snap.Store(cfg.Publish(cfg.State, cfg.Now()))
	return l
}

// Run applies events until ctx ends. It must be called once.
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

func (l *Loop[T, S]) apply(ev Event) {
	now := l.cfg.Now()
	changed := false
	for _, s := range l.cfg.Stages {
		changed = s.Apply(l.cfg.State, now, ev) || changed
	}
	if changed {
		l.snap.Store(l.cfg.Publish(l.cfg.State, now))
	}
	if q, ok := ev.(replySender); ok {
		q.SendReply()
	}
}

// Snapshot returns the last published snapshot. Callers must not change it.
func (l *Loop[T, S]) Snapshot() *S { return l.snap.Load() }

// Post queues ev and waits while the queue is full.
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

// Poster is the part of a loop that sources need.
type Poster interface {
	Post(ctx context.Context, ev Event) error
	TryPost(ev Event) bool
	stopped() <-chan struct{}
}

func (l *Loop[T, S]) stopped() <-chan struct{} { return l.done }
