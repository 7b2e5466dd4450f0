package standin

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// inBubble runs f with virtual time and a context that ends with f.
func inBubble(t *testing.T, f func(ctx context.Context, is *is.I)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		f(ctx, is.New(t))
	})
}

// Guards against a lost answer that also loses the record, which would hide
// the need to read back.
func TestLogKeepsRecordWhoseAnswerIsLost(t *testing.T) {
	inBubble(t, func(ctx context.Context, is *is.I) {
		l := NewLogService()
		go l.Run(ctx)
		is.NoErr(l.SetFaults(ctx, LogServiceFaults{LoseAnswers: 1}))
		_, err := l.Append(ctx, "a", []byte("x"))
		is.True(errors.Is(err, ErrAnswerLost))
		b, err := l.Read(ctx, "a", 0, 0)
		is.NoErr(err)
		is.Equal(len(b.Records), 1)
		is.Equal(l.Faults().LoseAnswers, 0)
	})
}

// Guards against an outage that lets a call through or that a waiting read
// survives, and against a rate limit and retention that do not hold.
func TestLogOutageRateAndRetention(t *testing.T) {
	inBubble(t, func(ctx context.Context, is *is.I) {
		l := NewLogServiceWith(LogConfig{RetainAge: time.Minute, RetainCount: 3, AppendRate: 10})
		go l.Run(ctx)
		failed := 0
		for range 15 {
			if _, err := l.Append(ctx, "a", nil); errors.Is(err, ErrRate) {
				failed++
			}
		}
		is.Equal(failed, 5)
		b, err := l.Read(ctx, "a", 0, 0)
		is.NoErr(err)
		is.Equal(b.First, int64(7))
		is.Equal(len(b.Records), 3)

		waited := make(chan error, 1)
		go func() { _, err := l.Read(ctx, "a", 10, time.Hour); waited <- err }()
		synctest.Wait()
		is.NoErr(l.SetFaults(ctx, LogServiceFaults{Down: true}))
		is.True(errors.Is(<-waited, ErrDown))
		is.NoErr(l.SetFaults(ctx, LogServiceFaults{}))

		time.Sleep(2 * time.Minute)
		b, err = l.Read(ctx, "a", 0, 0)
		is.NoErr(err)
		is.Equal(b.First, int64(10))
		is.Equal(len(b.Records), 0)
	})
}
