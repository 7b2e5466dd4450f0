package router

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

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
	// listTimeout bounds the transfer of the buckets of the list that differ. After
	// the loss of a data centre, a reader sends 24 routers the whole list: 3,000
	// endpoints take 2.4 s on a link of 20 Mbit/s.
	listTimeout = 4 * time.Second
	// startQueryInterval is how often a starting router queries a reader that is
	// starting too, and startReaderTimeout how long it does so before it reads the
	// store itself.
	startQueryInterval = 50 * time.Millisecond
	startReaderTimeout = 800 * time.Millisecond
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
	// minLocalRouters is the number of routers in a data centre from which it has
	// store readers of its own, so that the instance list crosses into it once for
	// each of them and not once for each router. Smaller ones share theirs with
	// others, which saves calls to the store.
	minLocalRouters = routersPerReader / 2
)

// The names of the RPC service and its method are short because each call carries
// them.
const (
	storeService = "S"
	storeMethod  = "S.State"
)

// StateArgs is the query of a router to its store reader.
type StateArgs struct {
	List     uint64 // hash of the instance list that the router has
	Position int64  // after the last order that the router has
	// Buckets are the hashes of the buckets of that list. They are sent in a second
	// query if the reader does not know List.
	Buckets []uint32
}

// StateReply is the state of the store as the reader knows it. An age is the
// time between the start of the read of the store and the reply: the state was
// current that long before the reply, or later. net/rpc writes it with gob, so the
// names of its fields are part of the protocol.
type StateReply struct {
	Starting  bool // the reader knows nothing yet; the other fields are empty
	OrdersAge time.Duration
	Position  int64 // position after the last order that was read
	// Orders are the orders from StateArgs.Position to Position, compressed, or empty
	// if the reader does not keep them.
	Orders   [][]byte
	ListAge  time.Duration
	List     uint64 // hash of the instance list
	Delta    place.Delta
	Unknown  bool    // the reader does not know StateArgs.List, so Delta is empty
	Replaced []uint8 // buckets of the list whose endpoints are those in Delta.Changed
}

// storeServer answers the queries of peers from the snapshot.
type storeServer struct{ snapshot func() *Snapshot }

// State implements the RPC method storeMethod.
func (s *storeServer) State(args StateArgs, reply *StateReply) error {
	snap, now := s.snapshot(), boottime.Now()
	if snap.Catalog == nil || !snap.Listed {
		reply.Starting = true
		return nil
	}
	*reply = StateReply{
		OrdersAge: now - snap.Confirmed, Position: snap.Position,
		ListAge: now - snap.ListSent, List: snap.List.Hash,
	}
	if args.Position < snap.Position {
		reply.Orders = batchesSince(snap.orders, args.Position)
	}
	if args.List == snap.List.Hash {
		return nil
	}
	var known bool
	if reply.Delta, known = snap.History.Since(args.List); known {
		return nil
	}
	if args.Buckets == nil {
		reply.Unknown = true
		return nil
	}
	reply.Replaced, reply.Delta.Changed = snap.List.Differing(args.Buckets)
	return nil
}

// storeGate controls whether the loops that read the store run: it is closed while
// a store reader supplies this router.
type storeGate struct {
	closed     atomic.Bool       // another router reads the store for this one, or that is not known yet
	hasReader  atomic.Bool       // another router is to read the store for this one
	readFailed atomic.Bool       // a read by this router failed since the last query
	opened     [2]chan struct{}  // by loop; wakes it when the gate opens
	newOrders  chan orderRecords // from the store reader
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
	g := &storeGate{opened: [2]chan struct{}{make(chan struct{}, 1), make(chan struct{}, 1)}, newOrders: make(chan orderRecords, 1)}
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
// It drops them if the loop has not taken the last ones, since the next query offers
// them again.
func (g *storeGate) offerOrders(o orderRecords) {
	select {
	case g.newOrders <- o:
	default:
	}
}

// waitOpen waits until the gate is open or ctx ends. It returns false and the orders
// if the gate is still closed and the store reader has orders for the loop.
func (g *storeGate) waitOpen(ctx context.Context, loop int) (o orderRecords, open bool) {
	var offered chan orderRecords
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

// queryStoreReaders queries the store readers at queryInterval until ctx ends. While
// none of them has fresh data, this router reads the store itself.
func (r *Router) queryStoreReaders(ctx context.Context) {
	backoffUntil := map[model.InstanceID]time.Time{}
	r.gate.setClosed(r.awaitFirstReader(ctx))
	for control.Pause(ctx, queryInterval) {
		routers, err := control.Ask(ctx, r.loop, storeReadersQuery{Question: control.NewQuestion[map[model.InstanceID]exchangeAddress]()})
		if err != nil {
			return
		}
		r.gate.setClosed(r.queryReaders(ctx, routers, backoffUntil))
	}
}

// awaitFirstReader queries the store reader of a starting router until it has data,
// and reports whether it has. A router that is a reader itself, or whose reader
// cannot be reached, does not wait.
func (r *Router) awaitFirstReader(ctx context.Context) bool {
	begin := time.Now()
	await(ctx, r.membersReady, begin.Add(startReaderTimeout))
	for time.Since(begin) < startReaderTimeout {
		routers, err := control.Ask(ctx, r.loop, storeReadersQuery{Question: control.NewQuestion[map[model.InstanceID]exchangeAddress]()})
		if err != nil {
			return false
		}
		readers := r.readers(routers)
		next := readerFor(r.settings.Instance, readers[:min(r.readerCount(routers), len(readers))])
		r.gate.hasReader.Store(next != r.settings.Instance)
		if next == r.settings.Instance {
			return false
		}
		if state := r.queryReader(ctx, next, routers[next].address); state != readerStarting {
			return state == readerFresh
		}
		if !control.Pause(ctx, startQueryInterval) {
			return false
		}
	}
	return false
}

// readerCount returns the number of store readers of this router's group.
func (r *Router) readerCount(routers map[model.InstanceID]exchangeAddress) int {
	return (len(sharesReaders(r.settings.DataCentre, routers)) + routersPerReader - 1) / routersPerReader
}

// readers returns the store readers of this router's group and then their
// replacements.
func (r *Router) readers(routers map[model.InstanceID]exchangeAddress) []model.InstanceID {
	return summary.Rendezvous(storeService, sharesReaders(r.settings.DataCentre, routers), r.readerCount(routers)+spareReaders)
}

// sharesReaders returns the routers that have the same store readers as those in data
// centre home: the routers in home if there are minLocalRouters, else those of all
// data centres that have fewer.
func sharesReaders(home model.DataCentre, routers map[model.InstanceID]exchangeAddress) []model.InstanceID {
	byDataCentre := map[model.DataCentre][]model.InstanceID{}
	for name, at := range routers {
		byDataCentre[at.dataCentre] = append(byDataCentre[at.dataCentre], name)
	}
	if len(byDataCentre[home]) >= minLocalRouters {
		return byDataCentre[home]
	}
	var out []model.InstanceID
	for _, names := range byDataCentre {
		if len(names) < minLocalRouters {
			out = append(out, names...)
		}
	}
	return out
}

// queryReaders queries the readers of this router in turn and reports whether one
// had fresh data. routers are the live routers. backoffUntil holds the routers that are not used as readers for a while, which
// include this one after its own reads failed.
func (r *Router) queryReaders(ctx context.Context, routers map[model.InstanceID]exchangeAddress, backoffUntil map[model.InstanceID]time.Time) bool {
	now := time.Now()
	if r.gate.readFailed.Swap(false) {
		backoffUntil[r.settings.Instance] = now.Add(failedReaderBackoff)
	}
	n := r.readerCount(routers)
	readers := slices.DeleteFunc(r.readers(routers), func(name model.InstanceID) bool { return now.Before(backoffUntil[name]) })
	for range maxReaderQueries {
		next := readerFor(r.settings.Instance, readers[:min(n, len(readers))])
		r.gate.hasReader.Store(next != r.settings.Instance)
		if next == r.settings.Instance {
			return false
		}
		state := r.queryReader(ctx, next, routers[next].address)
		if state == readerFresh {
			return true
		}
		backoffUntil[next] = now.Add(readerBackoff[state])
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

// readerState is the state of a store reader as a query shows it.
type readerState int

// The states of a reader.
const (
	readerFresh    readerState = iota // its data was posted to the control loop
	readerStale                       // its data is too old
	readerStarting                    // it knows nothing yet
	readerFailed                      // it did not answer, or with a list that does not match
)

// readerBackoff is how long a reader is not queried.
var readerBackoff = map[readerState]time.Duration{
	readerStale: staleReaderBackoff, readerStarting: staleReaderBackoff, readerFailed: failedReaderBackoff,
}

// queryReader queries one reader, posts its data to the control loop if it is fresh
// and returns the state of the reader. The age of the data counts from the time at
// which the query was sent.
func (r *Router) queryReader(ctx context.Context, name model.InstanceID, address string) readerState {
	sent, snap := boottime.Now(), r.loop.Snapshot()
	reply, err := r.callReader(ctx, address, snap)
	if err != nil {
		r.log.Info("router does not tell the state of the store", "router", name, "error", err.Error())
		return readerFailed
	}
	if reply.Starting {
		return readerStarting
	}
	// The age of the orders counts from when their read was sent, so it grows to two
	// waits before the next read returns.
	if reply.OrdersAge > 2*snap.Settings.FollowWait+staleMargin || reply.ListAge > snap.Settings.ListInterval+staleMargin {
		r.log.Info("router knows nothing recent of the store", "router", name,
			"orders_age_ms", reply.OrdersAge.Milliseconds(), "list_age_ms", reply.ListAge.Milliseconds())
		return readerStale
	}
	list := applyReply(snap.List, reply)
	if list.Hash != reply.List {
		r.log.Warn("list of endpoints does not match the one of another router", "router", name)
		return readerFailed
	}
	_ = r.loop.Post(ctx, listRead{list: list, sent: sent - reply.ListAge})
	r.listKnown(ctx)
	if reply.Position > snap.Position {
		r.gate.offerOrders(orderRecords{from: snap.Position, to: reply.Position, packed: reply.Orders, sent: sent - reply.OrdersAge})
		return readerFresh
	}
	_ = r.loop.Post(ctx, ordersRead{sent: sent - reply.OrdersAge, position: snap.Position})
	return readerFresh
}

// callReader queries the reader at address for a router with the given snapshot.
func (r *Router) callReader(ctx context.Context, address string, snap *Snapshot) (StateReply, error) {
	var reply StateReply
	args := StateArgs{List: snap.List.Hash, Position: snap.Position}
	err := r.node.CallWithin(ctx, queryTimeout, address, storeMethod, args, &reply)
	if err != nil || !reply.Unknown {
		return reply, err
	}
	reply, args.Buckets = StateReply{}, snap.List.Buckets()
	err = r.node.CallWithin(ctx, listTimeout, address, storeMethod, args, &reply)
	return reply, err
}

// applyReply returns the instance list of a reader that sent reply to a router with
// list l.
func applyReply(l place.List, reply StateReply) place.List {
	if reply.Delta.Empty() && reply.Replaced == nil {
		return l
	}
	for i, e := range reply.Delta.Changed {
		if e.ColdLeft > 0 {
			// At least a millisecond: the endpoint must stay cold in this list, since
			// the hash covers that it was cold in the reader's list.
			reply.Delta.Changed[i].ColdLeft = max(time.Millisecond, e.ColdLeft-reply.ListAge)
		}
	}
	if reply.Replaced != nil {
		return l.ReplaceBuckets(reply.Replaced, reply.Delta.Changed)
	}
	return l.Apply(reply.Delta)
}
