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

// guard refuses requests that coincided with two crashes of endpoints. One that
// shared a single crash is quarantined: it waits, so that copies in flight
// elsewhere show whether they crash too, and then goes to the same endpoint from
// every entry.
type guard struct {
	snapshot func() *Snapshot
	// again asks the retry budget whether a request that failed may run again.
	again func(ctx context.Context, req *model.Request, refusal *model.Refusal) bool
}

func (guard) Name() string { return "guard" }

// maxCrashRepeats is how often the entry itself sends a request again that
// shared a crash. A second crash refuses it anyway.
const maxCrashRepeats = 1

var (
	suspectsRefused = metrics.GetOrCreateCounter(`goldcrest_suspects_refused_total{at="entry"}`)
	quarantined     = metrics.GetOrCreateCounter(`goldcrest_suspects_quarantined_total`)
)

func (f guard) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	for repeats := 0; ; repeats++ {
		if err := f.check(ctx, req); err != nil {
			return nil, err
		}
		answer, err := next(ctx, req)
		if err == nil || repeats == maxCrashRepeats {
			return answer, err
		}
		refusal := model.AsRefusal(err)
		_, touched := f.snapshot().Quarantined.WaitTime(req.Fingerprint, time.Now())
		crashed := refusal.Reason == model.ReasonCrashed
		if !crashed && (!touched || req.Quarantined || refusal.Outcome != model.OutcomeNotRun) || !f.again(ctx, req, refusal) {
			return nil, err
		}
	}
}

// check refuses a suspect and holds a quarantined request back.
func (f guard) check(ctx context.Context, req *model.Request) error {
	hold, touched := f.snapshot().Quarantined.WaitTime(req.Fingerprint, time.Now())
	if touched {
		quarantined.Inc()
		t := time.NewTimer(hold)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return model.Refuse(model.ReasonCancelled, "the caller left before the run")
		}
	}
	req.Quarantined = touched
	left := f.snapshot().Suspects.RemainingTime(req.Fingerprint, time.Now())
	if left == 0 {
		return nil
	}
	suspectsRefused.Inc()
	r := model.Refuse(model.ReasonSuspect, fmt.Sprintf("endpoints crashed while request %s ran", suspect.Name(req.Fingerprint)))
	r.RetryAfter = left
	return r
}

// quarantineOrder returns the endpoints for a quarantined request. It depends
// on the fingerprint and the list only, so that equal requests of all entries
// meet at one endpoint, whatever their chat, return token or known load.
func quarantineOrder(s *Snapshot, req *model.Request) []model.EndpointID {
	type scored struct {
		id   model.EndpointID
		hash uint64
	}
	var list []scored
	for _, e := range s.Pools[req.Pool] {
		if req.Version == "" || e.Version == req.Version {
			list = append(list, scored{e.EndpointID(), xxhash.Sum64String(suspect.Name(req.Fingerprint) + "\x00" + string(e.ID))})
		}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.hash, a.hash) })
	var out []model.EndpointID
	for _, c := range list[:min(len(list), maxHandOvers)] {
		out = append(out, c.id)
	}
	return out
}
