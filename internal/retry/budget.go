package retry

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// executionsPerRequest is the number of retries per request that may execute
	// a request again. It keeps executions at 1.1 per request.
	executionsPerRequest = 0.1
	// attemptsPerRequest is the number of further attempts per request for
	// requests that were refused without running. They are not executions; in a
	// pool without capacity a request makes at most two attempts on average.
	attemptsPerRequest = 1.0
	// initialBudget allows a few retries in a pool with little traffic. It is an
	// advance on what the first requests add, so executions stay at 1.1 per
	// request from the 50th request on.
	initialBudget = 5
	// maxBudget caps the accumulated budget, so that a failure after a quiet hour
	// does not release a wave of retries.
	maxBudget = 20
)

// Budget is the retry budget of one pool.
type Budget struct {
	executions, attempts float64 // further executions and attempts that are allowed now
	debt                 float64 // part of initialBudget that requests have not paid back yet
}

// Budgets holds the retry budgets of an entry's pools. It belongs to the
// control goroutine.
type Budgets struct {
	pools    map[model.Pool]*Budget
	enforced bool // tests switch it off
}

// NewBudgets returns a table without pools.
func NewBudgets() *Budgets { return &Budgets{pools: map[model.Pool]*Budget{}, enforced: true} }

func (b *Budgets) pool(p model.Pool) *Budget {
	budget := b.pools[p]
	if budget == nil {
		budget = &Budget{executions: initialBudget, attempts: initialBudget, debt: initialBudget}
		b.pools[p] = budget
	}
	return budget
}

// AddRequest counts a new request of a pool, which adds to its budget.
func (b *Budgets) AddRequest(p model.Pool) {
	budget := b.pool(p)
	if budget.debt > 0 {
		budget.debt -= executionsPerRequest
	} else {
		budget.executions = min(maxBudget, budget.executions+executionsPerRequest)
	}
	budget.attempts = min(maxBudget, budget.attempts+attemptsPerRequest)
}

// AllowRetry reports whether a request may be retried after the given outcome,
// and charges the budget. A retry of a request that did not run is charged as an
// attempt. Any other retry is charged as an execution and allowed only for
// idempotent requests.
func (b *Budgets) AllowRetry(p model.Pool, outcome model.Outcome, idempotent bool) bool {
	budget := b.pool(p)
	if outcome == model.OutcomeNotRun {
		return b.take(&budget.attempts)
	}
	return idempotent && b.take(&budget.executions)
}

func (b *Budgets) take(from *float64) bool {
	if *from < 1 {
		return !b.enforced
	}
	*from--
	return true
}

// Backoff bounds.
const (
	backoffBase = 10 * time.Millisecond
	backoffMax  = time.Second
)

// Backoff returns the wait before an attempt, counted from 1. jitter is uniform
// in [0, 1); the wait is drawn from the whole interval (full jitter), which
// spreads callers that failed together.
func Backoff(attempt int, jitter float64) time.Duration {
	limit := min(backoffMax, backoffBase<<min(max(attempt-1, 0), 10))
	return time.Duration(jitter * float64(limit))
}

// RetryAfter returns the time that a refused caller is asked to wait: base plus
// up to half of it as jitter.
func RetryAfter(base time.Duration, jitter float64) time.Duration {
	return base + time.Duration(jitter*float64(base)/2)
}
