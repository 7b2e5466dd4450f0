package exchange

import (
	"context"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/member"
)

// Broadcast calls method at all hops concurrently and waits up to wait for their
// replies. If a hop does not answer, it calls the hop's children directly. Calls
// that take longer than wait continue in the background.
func (n *Node) Broadcast(ctx context.Context, hops []member.Hop, method string, args any, wait time.Duration) {
	done := make(chan struct{}, len(hops))
	for _, h := range hops {
		go func() {
			if _, err := Call[Ack](ctx, n, h.To, method, args); err != nil {
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
			_, _ = Call[Ack](ctx, n, address, method, args)
			done <- struct{}{}
		}()
	}
	for range addresses {
		<-done
	}
}

// hopWaitReduction is the time by which each hop of a crash notice shortens the
// wait of the next one, so that a dead process far down the tree does not make
// the calls of the hops before it time out.
const hopWaitReduction = 200 * time.Millisecond

// ForwardCrash forwards a crash notice and waits, up to the time in the message,
// until the next hops have acknowledged it. They do so after they have forwarded
// it themselves, so no retry of the request arrives before the notice.
func (n *Node) ForwardCrash(hops []member.Hop, a CrashArgs) {
	wait := min(millis(a.WaitMS), CallTimeout)
	a.WaitMS -= hopWaitReduction.Milliseconds()
	n.Broadcast(context.Background(), hops, MethodCrash, a, wait)
}
