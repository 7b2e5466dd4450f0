package ctl

import "context"

// optional runs a filter whose failure does not fail the command, such as a
// read of the log for a status during an outage.
type optional struct{ Filter }

func (o optional) Run(ctx context.Context, job *Job) error {
	if o.Filter.Run(ctx, job) != nil {
		job.Follower = nil
	}
	return nil
}
