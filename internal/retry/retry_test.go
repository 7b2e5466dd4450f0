package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// amplification returns the executions per request of a pool in which every
// execution fails, with up to 2 retries per request.
func amplification(enforced bool) float64 {
	b := NewBudgets()
	b.enforced = enforced
	executions := 0
	const requests = 1000
	for range requests {
		b.AddRequest("chat")
		executions++
		for range 2 {
			if b.AllowRetry("chat", model.OutcomeUnknown, true) {
				executions++
			}
		}
	}
	return float64(executions) / requests
}

// Guards against more than 1.1 executions per request in a failing pool.
// Without the budget there are three.
func TestAmplificationIsBounded(t *testing.T) {
	is := is.New(t)
	is.True(amplification(true) <= 1.1)
	is.True(amplification(false) > 1.1) // fails without the budget
}

// Guards against a retry of a request that may have run and is not idempotent,
// and against attempts of requests that did not run being charged as executions.
func TestRetryRules(t *testing.T) {
	is := is.New(t)
	b := NewBudgets()
	is.True(!b.AllowRetry("chat", model.OutcomeUnknown, false))
	is.True(!b.AllowRetry("chat", model.OutcomeRan, false))
	for range initialBudget {
		is.True(b.AllowRetry("chat", model.OutcomeNotRun, false))
	}
	is.True(!b.AllowRetry("chat", model.OutcomeNotRun, false))
	is.True(b.AllowRetry("chat", model.OutcomeUnknown, true))
	is.True(b.AllowRetry("other", model.OutcomeNotRun, false)) // each pool has its own budget
}

// Guards against a wave of retries from a budget accumulated over a long time.
func TestBudgetIsCapped(t *testing.T) {
	is := is.New(t)
	b := NewBudgets()
	for range 100_000 {
		b.AddRequest("chat")
	}
	n := 0
	for b.AllowRetry("chat", model.OutcomeUnknown, true) {
		n++
	}
	is.Equal(n, maxBudget)
}

// Guards against waits outside of their bounds.
func TestBackoffBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempt := rapid.IntRange(-1, 1000).Draw(t, "attempt")
		jitter := rapid.Float64Range(0, 0.999).Draw(t, "jitter")
		if d := Backoff(attempt, jitter); d < 0 || d > backoffMax {
			t.Fatalf("backoff of %s", d)
		}
		if d := RetryAfter(time.Second, jitter); d < time.Second || d > 1500*time.Millisecond {
			t.Fatalf("retry after %s", d)
		}
	})
}
