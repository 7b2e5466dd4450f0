package logsvc

import (
	"context"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
)

// FollowWait is how long one read waits for new records.
const FollowWait = 10 * time.Second

// retryDelay is the time between a failed read and the next one. It bounds the
// load on a service that recovers, and the delay of the records that it then
// serves.
const retryDelay = 250 * time.Millisecond

// readTimeoutMargin is the time after FollowWait at which a read has failed.
// Without this timeout a service that hangs would never be read again.
const readTimeoutMargin = 5 * time.Second

// Follow reads stream from offset from and calls each with every batch, until
// ctx ends. It calls failed after a failed read and retries from the same
// offset.
func Follow(ctx context.Context, log Log, stream string, from int64, each func(Batch), failed func(error)) {
	for ctx.Err() == nil {
		timeoutCtx, cancel := context.WithTimeout(ctx, FollowWait+readTimeoutMargin)
		batch, err := log.Read(timeoutCtx, stream, from, FollowWait)
		cancel()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			failed(err)
			control.Pause(ctx, retryDelay)
			continue
		}
		if batch.First > from || len(batch.Records) > 0 {
			each(batch)
		}
		from = max(from, batch.Next)
	}
}
