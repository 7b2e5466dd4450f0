package logsvc

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Budget limits the rate of appends of one process to its share of the fleet's
// budget. It is safe for concurrent use.
type Budget struct{ limiter *rate.Limiter }

// budgetBurst is the number of appends in one burst. It covers the partitions of
// one side when all of them change their owner at the same time.
const budgetBurst = 16

// NewBudget returns a budget of perSecond appends a second.
func NewBudget(perSecond float64) *Budget {
	return &Budget{rate.NewLimiter(rate.Limit(perSecond), budgetBurst)}
}

// SetShare sets the budget to a fraction (0 to 1) of the fleet's appends a
// second, divided by the number of processes that share it.
func (b *Budget) SetShare(fleet int64, fraction float64, processes int) {
	b.limiter.SetLimit(rate.Limit(float64(fleet) * fraction / float64(max(1, processes))))
}

// Rate returns the appends a second of this process.
func (b *Budget) Rate() float64 { return float64(b.limiter.Limit()) }

// Wait waits until the budget allows one append.
func (b *Budget) Wait(ctx context.Context) error { return b.limiter.Wait(ctx) }

// WaitFor waits at most limit until the budget allows one append, and reports
// whether it does.
func (b *Budget) WaitFor(ctx context.Context, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return b.limiter.Wait(ctx) == nil
}
