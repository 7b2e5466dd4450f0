package entry

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

// guardSuspects refuses requests whose fingerprint was in flight at two crashes of
// endpoints. A request whose fingerprint was in flight at one crash is quarantined:
// it waits, so that copies in flight at other endpoints show whether they crash as
// well, and then goes to the same endpoint from every entry.
type guardSuspects struct {
	snapshot func() *Snapshot
	// mayRetry asks the retry budget whether a failed request may run again.
	mayRetry func(ctx context.Context, req *model.Request, refusal *model.Refusal) bool
}

func (guardSuspects) Name() string { return "guard" }

// maxCrashRetries is how often the entry itself retries a request that was in
// flight at a crash. After a second crash it is refused anyway.
const maxCrashRetries = 1

var (
	suspectsRefused     = metrics.GetOrCreateCounter(`goldcrest_suspects_refused_total{at="entry"}`)
	requestsQuarantined = metrics.GetOrCreateCounter(`goldcrest_suspects_quarantined_total`)
)

func (f guardSuspects) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	for retries := 0; ; retries++ {
		if err := f.check(ctx, req); err != nil {
			return nil, err
		}
		answer, err := next(ctx, req)
		if err == nil || retries == maxCrashRetries {
			return answer, err
		}
		refusal := model.AsRefusal(err)
		_, quarantined := f.snapshot().Quarantined.WaitTime(req.Fingerprint, time.Now())
		crashed := refusal.Reason == model.ReasonCrashed
		// Retry after a crash, or if the request became quarantined during an
		// attempt that did not run it.
		if !crashed && (!quarantined || req.Quarantined || refusal.Outcome != model.OutcomeNotRun) || !f.mayRetry(ctx, req, refusal) {
			return nil, err
		}
	}
}

// check refuses a suspect and delays a quarantined request.
func (f guardSuspects) check(ctx context.Context, req *model.Request) error {
	wait, quarantined := f.snapshot().Quarantined.WaitTime(req.Fingerprint, time.Now())
	if quarantined {
		requestsQuarantined.Inc()
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return model.Refuse(model.ReasonCancelled, "the caller left before the run")
		}
	}
	req.Quarantined = quarantined
	remaining := f.snapshot().Suspects.RemainingTime(req.Fingerprint, time.Now())
	if remaining == 0 {
		return nil
	}
	suspectsRefused.Inc()
	r := model.Refuse(model.ReasonSuspect, fmt.Sprintf("endpoints crashed while request %s ran", suspect.Name(req.Fingerprint)))
	r.RetryAfter = remaining
	return r
}

// quarantineOrder returns the endpoints for a quarantined request. The order
// depends only on the fingerprint and the instance list, so that all entries send
// equal requests to the same endpoint, regardless of chat, return token and known
// loads.
func quarantineOrder(s *Snapshot, req *model.Request) []model.EndpointID {
	type score struct {
		id   model.EndpointID
		hash uint64
	}
	var scores []score
	for _, e := range s.Pools[req.Pool] {
		if req.Version == "" || e.Version == req.Version {
			scores = append(scores, score{e.EndpointID(), xxhash.Sum64String(suspect.Name(req.Fingerprint) + "\x00" + string(e.ID))})
		}
	}
	slices.SortFunc(scores, func(a, b score) int { return cmp.Compare(b.hash, a.hash) })
	var out []model.EndpointID
	for _, c := range scores[:min(len(scores), maxAttempts)] {
		out = append(out, c.id)
	}
	return out
}
