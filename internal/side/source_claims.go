package side

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/claim"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
)

// claimWorkers is the number of partitions that can wait for the log service at
// once. A job takes up to 3 s in an outage, so there is one worker for each partition
// that a side of a small service owns.
const claimWorkers = 16

// runClaimJobs runs claim jobs against the log service until ctx ends. It waits for
// the append budget before it takes a job, so that calls that arrive in the meantime
// share the append.
func (p *Side) runClaimJobs(ctx context.Context) {
	for p.budget.Wait(ctx) == nil {
		job, err := control.Ask(ctx, p.loop, takeJob{control.NewDeferred[claim.Job]()})
		if err != nil {
			return
		}
		result := claim.RunJob(ctx, p.deps.Logs, job, func(b claim.Batch) {
			_ = p.loop.Post(ctx, claimRecords{job.Partition, b})
		})
		if len(job.Items) > 0 {
			metrics.GetOrCreateCounter(`goldcrest_log_appends_total{stream="claims"}`).Inc()
			metrics.GetOrCreateCounter(`goldcrest_log_items_total{stream="claims"}`).Add(len(job.Items))
		}
		_ = p.loop.Post(ctx, jobDone{job, result})
	}
}
