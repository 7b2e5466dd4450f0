package retry

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// executionsPerRequest keeps executions per request at 1.1.
	executionsPerRequest = 0.1
	// handOversPerRequest bounds the offers of refused requests to further
	// endpoints. They are not executions; a pool without room gets at most two
	// offers a request on average.
	handOversPerRequest = 1.0
	// reserve lets a quiet pool send a few requests again. It is an advance on
	// what the first requests add, so executions stay at 1.1 a request from the
	// 50th request on.
	reserve = 5
	// maxSaved bounds what a busy pool saves up, so that a failure after a
	// quiet hour does not release a wave of retries.
	maxSaved = 20
)

// Budget is the retry budget of one pool.
type Budget struct {
	executions, handOvers float64
	advance               float64 // part of the reserve that requests have not paid back
}

// Budgets holds the budgets of an entry's pools. It belongs to the control
// goroutine.
type Budgets struct {
	pools   map[model.Pool]*Budget
	enforce bool // tests switch it off
}

// NewBudgets returns a table without pools.
func NewBudgets() *Budgets { return &Budgets{pools: map[model.Pool]*Budget{}, enforce: true} }

func (b *Budgets) pool(p model.Pool) *Budget {
	it := b.pools[p]
	if it == nil {
		it = &Budget{executions: reserve, handOvers: reserve, advance: reserve}
		b.pools[p] = it
	}
	return it
}

// AddRequest notes a new request of a pool, which adds to its budget.
func (b *Budgets) AddRequest(p model.Pool) {
	it := b.pool(p)
	if it.advance > 0 {
		it.advance -= executionsPerRequest
	} else {
		it.executions = min(maxSaved, it.executions+executionsPerRequest)
	}
	it.handOvers = min(maxSaved, it.handOvers+handOversPerRequest)
}

// AllowRetry reports whether a refused request may be sent again and charges the
// budget. A refusal "not run" costs a hand-over. Any other outcome costs an
// execution and is allowed for idempotent requests only.
func (b *Budgets) AllowRetry(p model.Pool, outcome model.Outcome, idempotent bool) bool {
	it := b.pool(p)
	if outcome == model.OutcomeNotRun {
		return b.take(&it.handOvers)
	}
	return idempotent && b.take(&it.executions)
}

func (b *Budgets) take(from *float64) bool {
	if *from < 1 {
		return !b.enforce
	}
	*from--
	return true
}

// Backoff bounds.
const (
	backoffBase = 10 * time.Millisecond
	backoffMax  = time.Second
)

// Backoff returns the pause before attempt, counted from 1. jitter is uniform
// in [0, 1); the pause is drawn from the whole interval, which spreads callers
// that failed together.
func Backoff(attempt int, jitter float64) time.Duration {
	limit := min(backoffMax, backoffBase<<min(max(attempt-1, 0), 10))
	return time.Duration(jitter * float64(limit))
}

// RetryAfter returns the time that a refused caller is asked to wait: base and up to
// half of it more.
func RetryAfter(base time.Duration, jitter float64) time.Duration {
	return base + time.Duration(jitter*float64(base)/2)
}
