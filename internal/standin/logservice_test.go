package standin

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// withVirtualTime runs f in a synctest bubble, with a context that is cancelled
// when f returns.
func withVirtualTime(t *testing.T, f func(ctx context.Context, is *is.I)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		f(ctx, is.New(t))
	})
}

// Guards against a lost answer that also loses the record, which would hide that
// callers have to read back before a retry.
func TestLogKeepsRecordWhoseAnswerIsLost(t *testing.T) {
	withVirtualTime(t, func(ctx context.Context, is *is.I) {
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

// Guards against a call that succeeds, or a read that keeps waiting, while the
// service is down, and against a rate limit or a retention that is not applied.
func TestLogOutageRateAndRetention(t *testing.T) {
	withVirtualTime(t, func(ctx context.Context, is *is.I) {
		l := NewLogServiceWith(LogConfig{RetainAge: time.Minute, RetainCount: 3, AppendRate: 10})
		go l.Run(ctx)
		limited := 0
		for range 15 {
			if _, err := l.Append(ctx, "a", nil); errors.Is(err, ErrRateLimited) {
				limited++
			}
		}
		is.Equal(limited, 5)
		b, err := l.Read(ctx, "a", 0, 0)
		is.NoErr(err)
		is.Equal(b.First, int64(7))
		is.Equal(len(b.Records), 3)

		waitingRead := make(chan error, 1)
		go func() { _, err := l.Read(ctx, "a", 10, time.Hour); waitingRead <- err }()
		synctest.Wait()
		is.NoErr(l.SetFaults(ctx, LogServiceFaults{Down: true}))
		is.True(errors.Is(<-waitingRead, ErrDown))
		is.NoErr(l.SetFaults(ctx, LogServiceFaults{}))

		time.Sleep(2 * time.Minute)
		b, err = l.Read(ctx, "a", 0, 0)
		is.NoErr(err)
		is.Equal(b.First, int64(10))
		is.Equal(len(b.Records), 0)
	})
}
