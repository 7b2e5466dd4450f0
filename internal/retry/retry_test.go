package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// amplification returns the executions per request of a pool in which every
// run fails, with up to 2 repeats a request.
func amplification(enforce bool) float64 {
	b := NewBudgets()
	b.enforce = enforce
	runs := 0
	const requests = 1000
	for range requests {
		b.AddRequest("chat")
		runs++
		for range 2 {
			if b.AllowRetry("chat", model.OutcomeUnknown, true) {
				runs++
			}
		}
	}
	return float64(runs) / requests
}

// Guards against a failing pool that gets more than 1.1 executions a request.
// Without the budget it gets three.
func TestAmplificationIsBounded(t *testing.T) {
	is := is.New(t)
	is.True(amplification(true) <= 1.1)
	is.True(amplification(false) > 1.1) // the mechanism is needed
}

// Guards against a repeat of a request that may have run and is not idempotent,
// and against hand-overs that use up the budget of executions.
func TestRules(t *testing.T) {
	is := is.New(t)
	b := NewBudgets()
	is.True(!b.AllowRetry("chat", model.OutcomeUnknown, false))
	is.True(!b.AllowRetry("chat", model.OutcomeRan, false))
	for range reserve {
		is.True(b.AllowRetry("chat", model.OutcomeNotRun, false))
	}
	is.True(!b.AllowRetry("chat", model.OutcomeNotRun, false))
	is.True(b.AllowRetry("chat", model.OutcomeUnknown, true))
	is.True(b.AllowRetry("other", model.OutcomeNotRun, false)) // pools do not share
}

// Guards against a wave of retries after a quiet time.
func TestSavingsAreBounded(t *testing.T) {
	is := is.New(t)
	b := NewBudgets()
	for range 100_000 {
		b.AddRequest("chat")
	}
	n := 0
	for b.AllowRetry("chat", model.OutcomeUnknown, true) {
		n++
	}
	is.Equal(n, maxSaved)
}

// Guards against pauses outside of their bounds.
func TestBackoffBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempt := rapid.IntRange(-1, 1000).Draw(t, "attempt")
		jitter := rapid.Float64Range(0, 0.999).Draw(t, "jitter")
		if d := Backoff(attempt, jitter); d < 0 || d > backoffMax {
			t.Fatalf("pause of %s", d)
		}
		if d := RetryAfter(time.Second, jitter); d < time.Second || d > 1500*time.Millisecond {
			t.Fatalf("retry after %s", d)
		}
	})
}
