package rollout

import (
	"fmt"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Metric is a quantity by which versions are compared.
type Metric string

// The metrics.
const (
	MetricFailures       Metric = "failures"
	MetricSlowFirstToken Metric = "slow_first_token"
)

// Verdict is the result of the tests of one rollout. Once Suspended is set it
// stays set. Verdicts of several processes can be merged in any order and any
// number of times.
type Verdict struct {
	Suspended      bool
	EnoughEvidence bool // both versions have the minimum of evidence
	Route          model.Route
	Metric         Metric
	New, Old       Counts // evidence on the route when the regression was detected
}

// Merge returns the union of v and w.
func (v Verdict) Merge(w Verdict) Verdict {
	out := v
	if w.Suspended && (!v.Suspended || w.sortKey() < v.sortKey()) {
		out = w
	}
	out.EnoughEvidence = v.EnoughEvidence || w.EnoughEvidence
	return out
}

// sortKey orders suspended verdicts, so that every process ends up with the same
// reason.
func (v Verdict) sortKey() string {
	return fmt.Sprintf("%s\x00%s\x00%v\x00%v", v.Route, v.Metric, v.New, v.Old)
}

// Reason returns a short sentence that says why the version was rolled back.
func (v Verdict) Reason() string {
	if !v.Suspended {
		return ""
	}
	return fmt.Sprintf("%s on route %s are higher than with the old version", v.Metric, v.Route)
}

// Evidence returns the counts behind the reason.
func (v Verdict) Evidence() string {
	if !v.Suspended {
		return ""
	}
	bad := func(c Counts) int64 {
		if v.Metric == MetricSlowFirstToken {
			return c.Slow
		}
		return c.Failures
	}
	return fmt.Sprintf("new %d of %d, old %d of %d", bad(v.New), v.New.Requests, bad(v.Old), v.Old.Requests)
}
