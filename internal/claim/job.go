package claim

import (
	"context"

	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
)

// RunJob does the I/O of a job. It passes every batch to feed before it returns.
func RunJob(ctx context.Context, log logsvc.Log, job Job, feed func(Batch)) JobResult {
	stream := Stream(job.Partition)
	var res JobResult
	upTo := int64(-1)
	if len(job.Items) > 0 {
		data, err := Record{ID: job.RecordID, Items: job.Items}.Encode()
		if err != nil {
			return JobResult{Append: logsvc.AppendResult{Err: err}, ReadErr: err}
		}
		res.Append = logsvc.AppendOnce(ctx, log, stream, job.RecordID, data, job.From)
		if res.Append.State == logsvc.AppendUnknown {
			res.ReadErr = res.Append.Err
			return res
		}
		if res.Append.State == logsvc.AppendDone {
			upTo = res.Append.Offset
		}
	}
	readCtx, cancel := context.WithTimeout(ctx, logsvc.ReadBackTimeout)
	defer cancel()
	res.ReadErr = logsvc.ReadAll(readCtx, log, stream, job.From, func(b logsvc.Batch) bool {
		feed(DecodeBatch(b))
		return upTo < 0 || b.Next <= upTo
	})
	return res
}
