package entry

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// budgetRepeats keeps the retry budgets of the pools.
type budgetRepeats struct{}

func (budgetRepeats) Name() string { return "budget_repeats" }

func (budgetRepeats) Apply(s *State, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case spendRequest:
		s.budgets.AddRequest(ev.pool)
	case repeatRequest:
		ev.Reply(allowRepeat(s, now, ev))
	}
	return false
}

func allowRepeat(s *State, now time.Time, ev repeatRequest) bool {
	switch ev.refusal.Reason {
	case model.ReasonSuspect, model.ReasonCancelled, model.ReasonDeadline, model.ReasonVoided, model.ReasonDuplicate:
		return false
	}
	if s.refused.RemainingTime(ev.request.Fingerprint, now) > 0 {
		return false
	}
	return s.budgets.AllowRetry(ev.request.Pool, ev.refusal.Outcome, ev.request.Idempotent)
}
