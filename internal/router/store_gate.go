package router

import (
	"context"
	"sync/atomic"
)

// storeGate controls whether the loops that read the store run: it is closed while
// a store reader supplies this router.
type storeGate struct {
	closed    atomic.Bool // another router reads the store for this one, or that is not known yet
	hasReader atomic.Bool // another router is to read the store for this one
	// ordersUnread is set after a failed read of orders that this router still lacks.
	ordersUnread atomic.Bool
	readFailed   atomic.Bool        // a read by this router failed since the last query
	opened       [2]chan struct{}   // by loop; wakes it when the gate opens
	newOrders    chan offeredOrders // from the store reader
}

// The loops that wait at a storeGate.
const (
	ordersLoop = iota
	listLoop
)

// newStoreGate returns a closed gate. It stays closed until the first query of the
// store readers has decided, so that not all routers that start at once read the
// store.
func newStoreGate() *storeGate {
	g := &storeGate{opened: [2]chan struct{}{make(chan struct{}, 1), make(chan struct{}, 1)}, newOrders: make(chan offeredOrders, 1)}
	g.closed.Store(true)
	return g
}

// wake wakes the goroutine that waits on c, or the next one that will wait on it.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// setClosed opens or closes the gate and wakes the waiting loops when it opens.
func (g *storeGate) setClosed(closed bool) {
	if g.closed.Swap(closed) && !closed {
		wake(g.opened[ordersLoop])
		wake(g.opened[listLoop])
	}
}

// offerOrders passes orders of the store reader to the loop that follows the orders.
// They replace those that the loop has not taken yet. Only the goroutine that queries
// the store readers may call it.
func (g *storeGate) offerOrders(o offeredOrders) {
	select {
	case <-g.newOrders:
	default:
	}
	g.newOrders <- o
}

// waitOpen waits until the gate is open or ctx ends. It returns false and the orders
// if the gate is still closed and the store reader has orders for the loop.
func (g *storeGate) waitOpen(ctx context.Context, loop int) (o offeredOrders, open bool) {
	var offered chan offeredOrders
	if loop == ordersLoop {
		offered = g.newOrders
	}
	for g.closed.Load() {
		select {
		case <-g.opened[loop]:
		case o = <-offered:
			return o, false
		case <-ctx.Done():
			return o, true
		}
	}
	return o, true
}
