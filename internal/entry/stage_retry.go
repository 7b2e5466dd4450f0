package entry

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// budgetRetries keeps the retry budgets of the pools.
type budgetRetries struct{}

func (budgetRetries) Name() string { return "budget_repeats" }

func (budgetRetries) Apply(s *State, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case spendRequest:
		s.retryBudgets.AddRequest(ev.pool)
	case retryQuery:
		ev.Reply(allowRetry(s, now, ev))
	}
	return false
}

// allowRetry decides whether a refused request may be sent again: never after a
// final refusal or for a suspect, otherwise by the budget of its pool.
func allowRetry(s *State, now time.Time, ev retryQuery) bool {
	switch ev.refusal.Reason {
	case model.ReasonSuspect, model.ReasonCancelled, model.ReasonDeadline, model.ReasonVoided, model.ReasonDuplicate:
		return false
	}
	if s.refused.RemainingTime(ev.request.Fingerprint, now) > 0 {
		return false
	}
	return s.retryBudgets.AllowRetry(ev.request.Pool, ev.refusal.Outcome, ev.request.Idempotent)
}
