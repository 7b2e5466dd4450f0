package control

import (
	"context"
	"time"
)

// Pause waits for d or until ctx ends. It reports false if ctx ended first.
func Pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
