package exchange

import (
	"context"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/member"
)

// Broadcast calls method at all hops at once and waits up to wait until they have
// replied. For a hop that does not answer it calls those behind. Calls that take
// longer go on.
func (n *Node) Broadcast(ctx context.Context, hops []member.Hop, method string, args any, wait time.Duration) {
	done := make(chan struct{}, len(hops))
	for _, h := range hops {
		go func() {
			if n.Call(ctx, h.To, method, args, &Ack{}) != nil {
				n.callAll(ctx, h.Children, method, args)
			}
			done <- struct{}{}
		}()
	}
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for range hops {
		select {
		case <-done:
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) callAll(ctx context.Context, addresses []string, method string, args any) {
	done := make(chan struct{}, len(addresses))
	for _, address := range addresses {
		go func() {
			_ = n.Call(ctx, address, method, args, &Ack{})
			done <- struct{}{}
		}()
	}
	for range addresses {
		<-done
	}
}

// hopTime is the time by which each hop of a crash notice shortens the wait for
// the next one, so that a dead process far down does not fail the hops before.
const hopTime = 200 * time.Millisecond

// ForwardCrash passes a crash notice on and waits until the processes behind have it,
// so that the request cannot come back before the notice.
func (n *Node) ForwardCrash(hops []member.Hop, a CrashArgs) {
	wait := min(millis(a.WaitMS), CallTimeout)
	a.WaitMS -= hopTime.Milliseconds()
	n.Broadcast(context.Background(), hops, MethodCrash, a, wait)
}
