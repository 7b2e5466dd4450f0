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
	sum      int
	ticks    int
	deferred []Deferred[int]
}

type counterView struct{ sum, ticks int }

type (
	addAndGet struct {
		Question[int]
		n int
	}
	getDeferred struct{ Deferred[int] }
	unhandled   struct{ Question[int] }
)

func (addAndGet) EventName() string   { return "add_and_get" }
func (getDeferred) EventName() string { return "get_later" }
func (unhandled) EventName() string   { return "unhandled" }

type count struct{}

func (count) Name() string { return "count" }

func (count) Apply(s *counterState, _ time.Time, ev Event) bool {
	switch ev := ev.(type) {
	case addAndGet:
		s.sum += ev.n
		ev.Reply(s.sum)
		for _, q := range s.deferred {
			q.Reply(s.sum)
		}
		s.deferred = nil
	case getDeferred:
		s.deferred = append(s.deferred, ev.Deferred)
	case Tick:
		s.ticks++
	default:
		return false
	}
	return true
}

// newCounter returns a loop that sums up the numbers posted to it.
func newCounter(tick time.Duration) *Loop[counterState, counterView] {
	return New(Config[counterState, counterView]{
		State: &counterState{}, Stages: []Stage[counterState]{count{}}, Tick: tick,
		Publish: func(s *counterState, _ time.Time) *counterView { return &counterView{s.sum, s.ticks} },
	})
}

func ask(ctx context.Context, l *Loop[counterState, counterView], n int) (int, error) {
	return Ask(ctx, l, addAndGet{NewQuestion[int](), n})
}

// Guards against control state that two goroutines change concurrently, which
// loses additions.
func TestEventsAreAppliedSerially(t *testing.T) {
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

// Guards against calls of Ask that block forever: if no stage replies, if the reply
// is deferred, and after the loop has ended.
func TestAskReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		l := newCounter(0)
		go l.Run(ctx)
		n, err := Ask(ctx, l, unhandled{NewQuestion[int]()})
		is.NoErr(err)
		is.Equal(n, 0)
		replies := make(chan int)
		go func() {
			n, _ := Ask(ctx, l, getDeferred{NewDeferred[int]()})
			replies <- n
		}()
		synctest.Wait()
		_, err = ask(ctx, l, 7)
		is.NoErr(err)
		is.Equal(<-replies, 7)
		timeoutCtx, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		_, err = Ask(timeoutCtx, l, getDeferred{NewDeferred[int]()})
		is.True(err != nil) // no reply within the timeout
		cancel()
		synctest.Wait()
		_, err = ask(context.Background(), l, 1)
		is.Equal(err, ErrStopped)
	})
}

// Guards against a reply that arrives before the snapshot with the changes of the
// event is published.
func TestReplyFollowsPublication(t *testing.T) {
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

// Guards against an event queue that grows without bound while the loop is slow.
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

// Guards against ticks that come early or stop.
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

// BenchmarkCapacityAsk measures one question to the control loop and its reply,
// including the publication of a snapshot.
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
