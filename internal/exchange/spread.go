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

// hopTime is the time by which each hop of a crash notice shortens the wait for
// the next one, so that a dead process far down does not fail the hops before.
const hopTime = 200 * time.Millisecond

// PassOn passes a crash notice on and waits until the processes behind have it,
// so that the request cannot come back before the notice.
func (n *Node) PassOn(addresses []string, a CrashArgs) {
	wait := min(millis(a.WaitMS), CallTimeout)
	a.WaitMS -= hopTime.Milliseconds()
	n.Spread(context.Background(), addresses, MethodCrash, a, wait)
}
