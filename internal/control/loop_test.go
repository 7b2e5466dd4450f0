package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

type counterState struct {
	sum   int
	ticks int
	late  []Deferred[int]
}

type counterView struct{ sum, ticks int }

type (
	addAndGet struct {
		Question[int]
		n int
	}
	getLater  struct{ Deferred[int] }
	unhandled struct{ Question[int] }
)

func (addAndGet) EventName() string { return "add_and_get" }
func (getLater) EventName() string  { return "get_later" }
func (unhandled) EventName() string { return "unhandled" }

type count struct{}

func (count) Name() string { return "count" }

func (count) Apply(s *counterState, _ time.Time, ev Event) bool {
	switch ev := ev.(type) {
	case addAndGet:
		s.sum += ev.n
		ev.Reply(s.sum)
		for _, q := range s.late {
			q.Reply(s.sum)
		}
		s.late = nil
	case getLater:
		s.late = append(s.late, ev.Deferred)
	case Tick:
		s.ticks++
	default:
		return false
	}
	return true
}

func newCounter(tick time.Duration) *Loop[counterState, counterView] {
	return New(Config[counterState, counterView]{
		State: &counterState{}, Stages: []Stage[counterState]{count{}}, Tick: tick,
		Publish: func(s *counterState, _ time.Time) *counterView { return &counterView{s.sum, s.ticks} },
	})
}

func ask(ctx context.Context, l *Loop[counterState, counterView], n int) (int, error) {
	return Ask(ctx, l, addAndGet{NewQuestion[int](), n})
}

// Guards against control state that two goroutines change at once, which would
// lose additions.
func TestLoopAppliesOneEventAtATime(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	l := newCounter(0)
	var loop, askers errgroup.Group
	loop.Go(func() error { l.Run(ctx); return nil })
	for range 16 {
		askers.Go(func() error {
			for range 200 {
				if _, err := ask(ctx, l, 1); err != nil {
					return err
				}
			}
			return nil
		})
	}
	is.NoErr(askers.Wait())
	sum, err := ask(ctx, l, 0)
	is.NoErr(err)
	is.Equal(sum, 3200)
	is.Equal(l.Snapshot().sum, 3200)
	cancel()
	_ = loop.Wait()
}

// Guards against askers that wait for ever: for a question that no stage
// answers, for one that is deferred, and after the loop has ended.
func TestAskEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		l := newCounter(0)
		go l.Run(ctx)
		n, err := Ask(ctx, l, unhandled{NewQuestion[int]()})
		is.NoErr(err)
		is.Equal(n, 0)
		later := make(chan int)
		go func() {
			n, _ := Ask(ctx, l, getLater{NewDeferred[int]()})
			later <- n
		}()
		synctest.Wait()
		_, err = ask(ctx, l, 7)
		is.NoErr(err)
		is.Equal(<-later, 7)
		limited, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		_, err = Ask(limited, l, getLater{NewDeferred[int]()})
		is.True(err != nil) // nobody answered within the time
		cancel()
		synctest.Wait()
		_, err = ask(context.Background(), l, 1)
		is.Equal(err, ErrStopped)
	})
}

// Guards against an answer that arrives before the snapshot that holds what the
// question changed.
func TestAnswerComesAfterThePublication(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l := newCounter(0)
	go l.Run(ctx)
	for i := range 2000 {
		sum, err := ask(ctx, l, 1)
		is.NoErr(err)
		is.Equal(sum, i+1)
		is.True(l.Snapshot().sum >= sum)
	}
}

// Guards against sources that fill the memory of a loop that is behind.
func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	l := newCounter(0) // not running
	for range DefaultQueueLen {
		is.True(l.TryPost(Tick{}))
	}
	is.True(!l.TryPost(Tick{}))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(l.Post(ctx, Tick{}) != nil)
}

// Guards against ticks that run ahead of time or stop.
func TestTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newCounter(100 * time.Millisecond)
		go l.Run(ctx)
		time.Sleep(time.Second + time.Millisecond)
		synctest.Wait()
		is.Equal(l.Snapshot().ticks, 10)
	})
}

// BenchmarkCapacityAsk is the cost of one question to the control loop and its
// reply, publication included.
func BenchmarkCapacityAsk(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	l := newCounter(0)
	go l.Run(ctx)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ask(ctx, l, 1); err != nil {
			b.Fatal(err)
		}
	}
}
