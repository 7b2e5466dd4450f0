package ctl

import "context"

// optional runs a filter that reads the accepted configuration and ignores its
// failure, so that status works during an outage of the log service.
type optional struct{ Filter }

func (o optional) Run(ctx context.Context, job *Job) error {
	if o.Filter.Run(ctx, job) != nil {
		job.Follower = nil
	}
	return nil
}
