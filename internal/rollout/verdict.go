package rollout

import (
	"fmt"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Measure is what a version was judged by.
type Measure string

// The measures.
const (
	MeasureFailures Measure = "failures"
	MeasureSlow     Measure = "slow_first_token"
)

// Verdict is the latch of one rollout. Once Suspended it stays so; verdicts
// from several processes are joined, in any order and any number of times.
type Verdict struct {
	Suspended bool
	Enough    bool // both versions have the minimum of evidence
	Route     model.Route
	Measure   Measure
	New, Old  Counts // evidence on the route when the fault showed
}

// Join returns the union of v and w.
func (v Verdict) Join(w Verdict) Verdict {
	out := v
	if w.Suspended && (!v.Suspended || w.cause() < v.cause()) {
		out = w
	}
	out.Enough = v.Enough || w.Enough
	return out
}

// cause orders the reasons of suspended verdicts, so that every process ends
// with the same reason.
func (v Verdict) cause() string {
	return fmt.Sprintf("%s\x00%s\x00%v\x00%v", v.Route, v.Measure, v.New, v.Old)
}

// Reason says in a short sentence why the version was taken back.
func (v Verdict) Reason() string {
	if !v.Suspended {
		return ""
	}
	return fmt.Sprintf("%s on route %s are higher than with the old version", v.Measure, v.Route)
}

// Evidence lists the counts behind the reason.
func (v Verdict) Evidence() string {
	if !v.Suspended {
		return ""
	}
	bad := func(c Counts) int64 {
		if v.Measure == MeasureSlow {
			return c.Slow
		}
		return c.Failures
	}
	return fmt.Sprintf("new %d of %d, old %d of %d", bad(v.New), v.New.Requests, bad(v.Old), v.Old.Requests)
}
