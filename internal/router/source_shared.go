package router

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/boottime"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
)

const (
	// queryInterval is how often a router queries its store reader. Together with
	// the reader's own interval it stays well below the time after which a leaving
	// endpoint must get no new requests.
	queryInterval = 250 * time.Millisecond
	// queryTimeout bounds one query. Round trips between the data centres of a
	// region take milliseconds.
	queryTimeout = 200 * time.Millisecond
	// failedReaderBackoff is how long a router is not used as store reader after it
	// did not answer, and this router itself after its own reads failed.
	failedReaderBackoff = 3 * time.Second
	// staleReaderBackoff is the same for a reader with stale data. A reader whose own
	// reader failed reads the store itself two queries later.
	staleReaderBackoff = 2 * queryInterval
	// staleMargin is how much older than the reader's own interval its data may be.
	// The ages at two readers, the queries and a read by this router add up to less
	// than the two seconds after which a leaving endpoint must get no new requests.
	staleMargin = 150 * time.Millisecond
	// routersPerReader is the number of routers that share one store reader.
	routersPerReader = 24
	// maxReaderQueries is the number of readers that are queried in turn before this
	// router reads the store itself.
	maxReaderQueries = 2
	// spareReaders is the number of further routers that can replace store readers
	// that do not answer or that the store rejects.
	spareReaders = 4
)

// The names of the RPC service and its method are short because each call carries
// them.
const (
	storeService = "S"
	storeMethod  = "S.State"
)

// StateArgs is the query of a router to its store reader. List is the hash of the
// instance list that the router has.
type StateArgs struct{ List uint64 }

// StateReply is the state of the store as the reader knows it. An age is the
// time between the start of the read of the store and the reply: the state was
// current that long before the reply, or later. net/rpc writes it with gob, so the
// names of its fields are part of the protocol.
type StateReply struct {
	OrdersAge time.Duration
	Position  int64 // position after the last order that was read
	ListAge   time.Duration
	List      uint64 // hash of the instance list
	Whole     bool   // Delta is relative to an empty list, not to StateArgs.List
	Delta     place.Delta
}

// storeServer answers the queries of peers from the snapshot.
type storeServer struct{ snapshot func() *Snapshot }

// State implements the RPC method storeMethod.
func (s *storeServer) State(args StateArgs, reply *StateReply) error {
	snap, now := s.snapshot(), boottime.Now()
	if snap.Catalog == nil || !snap.Listed {
		return eris.New("router: nothing is known yet")
	}
	*reply = StateReply{
		OrdersAge: now - snap.Confirmed, Position: snap.Position,
		ListAge: now - snap.ListSent, List: snap.List.Hash,
	}
	if args.List == snap.List.Hash {
		return nil
	}
	var known bool
	if reply.Delta, known = snap.History.Since(args.List); !known {
		reply.Whole, reply.Delta = true, place.Delta{Changed: snap.List.Endpoints}
	}
	return nil
}

// storeGate controls whether the loops that read the store run: it is closed while
// a store reader supplies this router.
type storeGate struct {
	closed     atomic.Bool      // another router reads the store for this one, or that is not known yet
	hasReader  atomic.Bool      // another router is to read the store for this one
	readFailed atomic.Bool      // a read by this router failed since the last query
	opened     [2]chan struct{} // by loop; wakes it when the gate opens
	newOrders  chan struct{}    // the store reader has orders that this router lacks
}

// The loops that wait at a storeGate.
const (
	ordersLoop = iota
	listLoop
)

// newStoreGate returns a closed gate. Each loop reads the store once without waiting
// at it; by the next read the first query of the store readers has decided.
func newStoreGate() *storeGate {
	g := &storeGate{opened: [2]chan struct{}{make(chan struct{}, 1), make(chan struct{}, 1)}, newOrders: make(chan struct{}, 1)}
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

// waitOpen waits until the gate is open or ctx ends. It returns false if the gate
// is still closed and the loop should only read the orders that the store reader
// has and this router lacks.
func (g *storeGate) waitOpen(ctx context.Context, loop int) (open bool) {
	var newer chan struct{}
	if loop == ordersLoop {
		newer = g.newOrders
	}
	for g.closed.Load() {
		select {
		case <-g.opened[loop]:
		case <-newer:
			return false
		case <-ctx.Done():
			return true
		}
	}
	return true
}

// queryStoreReaders queries the store readers at queryInterval until ctx ends. While
// none of them has fresh data, this router reads the store itself.
func (r *Router) queryStoreReaders(ctx context.Context) {
	backoffUntil := map[model.InstanceID]time.Time{}
	for control.Pause(ctx, queryInterval) {
		routers, err := control.Ask(ctx, r.loop, storeReadersQuery{Question: control.NewQuestion[map[model.InstanceID]string]()})
		if err != nil {
			return
		}
		r.gate.setClosed(r.queryReaders(ctx, routers, backoffUntil))
	}
}

// queryReaders queries the readers of this router in turn and reports whether one
// had fresh data. routers holds the exchange addresses of the live routers.
// backoffUntil holds the routers that are not used as readers for a while, which
// include this one after its own reads failed.
func (r *Router) queryReaders(ctx context.Context, routers map[model.InstanceID]string, backoffUntil map[model.InstanceID]time.Time) bool {
	now := time.Now()
	if r.gate.readFailed.Swap(false) {
		backoffUntil[r.settings.Instance] = now.Add(failedReaderBackoff)
	}
	n := (len(routers) + routersPerReader - 1) / routersPerReader
	readers := summary.Rendezvous(storeService, slices.Collect(maps.Keys(routers)), n+spareReaders)
	readers = slices.DeleteFunc(readers, func(name model.InstanceID) bool { return now.Before(backoffUntil[name]) })
	for range maxReaderQueries {
		next := readerFor(r.settings.Instance, readers[:min(n, len(readers))])
		r.gate.hasReader.Store(next != r.settings.Instance)
		if next == r.settings.Instance {
			return false
		}
		backoff := r.queryReader(ctx, next, routers[next])
		if backoff == 0 {
			return true
		}
		backoffUntil[next] = now.Add(backoff)
		readers = slices.DeleteFunc(readers, func(name model.InstanceID) bool { return name == next })
	}
	return false
}

// readerFor returns the reader of the router self: itself if it is a reader or
// there is none, else the first of the readers in its rendezvous order.
func readerFor(self model.InstanceID, readers []model.InstanceID) model.InstanceID {
	if len(readers) == 0 || slices.Contains(readers, self) {
		return self
	}
	return summary.Rendezvous(string(self), readers, 1)[0]
}

// queryReader queries one reader, posts its data to the control loop and returns
// the backoff of the reader, which is 0 if its data is fresh. The age of the data
// counts from the time at which the query was sent.
func (r *Router) queryReader(ctx context.Context, name model.InstanceID, address string) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	sent, snap := boottime.Now(), r.loop.Snapshot()
	var reply StateReply
	if err := r.node.Call(ctx, address, storeMethod, StateArgs{snap.List.Hash}, &reply); err != nil {
		r.log.Info("router does not tell the state of the store", "router", name, "error", err.Error())
		return failedReaderBackoff
	}
	// The age of the orders counts from when their read was sent, so it grows to two
	// waits before the next read returns.
	if reply.OrdersAge > 2*snap.Settings.FollowWait+staleMargin || reply.ListAge > snap.Settings.ListInterval+staleMargin {
		r.log.Info("router knows nothing recent of the store", "router", name,
			"orders_age_ms", reply.OrdersAge.Milliseconds(), "list_age_ms", reply.ListAge.Milliseconds())
		return staleReaderBackoff
	}
	list := applyReply(snap.List, reply)
	if list.Hash != reply.List {
		r.log.Warn("list of endpoints does not match the one of another router", "router", name)
		return failedReaderBackoff
	}
	_ = r.loop.Post(ctx, listRead{list: list, sent: sent - reply.ListAge})
	if reply.Position > snap.Position {
		wake(r.gate.newOrders)
		return 0
	}
	_ = r.loop.Post(ctx, ordersRead{sent: sent - reply.OrdersAge, position: snap.Position})
	return 0
}

// applyReply returns the instance list of a reader that sent reply to a router with
// list l.
func applyReply(l place.List, reply StateReply) place.List {
	if reply.Whole {
		l = place.List{}
	}
	if reply.Delta.Empty() {
		return l
	}
	for i, e := range reply.Delta.Changed {
		if e.ColdLeft > 0 {
			// At least a millisecond: the endpoint must stay cold in this list, since
			// the hash covers that it was cold in the reader's list.
			reply.Delta.Changed[i].ColdLeft = max(time.Millisecond, e.ColdLeft-reply.ListAge)
		}
	}
	return l.Apply(reply.Delta)
}
