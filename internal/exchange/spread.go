package exchange

import (
	"context"
	"time"
)

// Spread calls method at all addresses at once and waits up to wait until they
// have replied. Calls that take longer go on.
func (n *Node) Spread(ctx context.Context, addresses []string, method string, args any, wait time.Duration) {
	done := make(chan struct{}, len(addresses))
	for _, address := range addresses {
		go func() {
			_ = n.Call(ctx, address, method, args, &Ack{})
			done <- struct{}{}
		}()
	}
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for range addresses {
		select {
		case <-done:
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
