package router

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/boottime"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// queryInterval is how often a router queries its store reader. Together with
	// the reader's own interval it stays well below the time after which a leaving
	// endpoint must get no new requests.
	queryInterval = 250 * time.Millisecond
	// queryTimeout bounds one query. Round trips between the data centres of a
	// region take milliseconds.
	queryTimeout = 200 * time.Millisecond
	// listTimeout bounds the transfer of the buckets of the list that differ, and of
	// a whole configuration. The configuration is not confirmed meanwhile, so it is
	// well below the time for which keys are accepted. A router without a list waits up to startListTimeout: after
	// the loss of a data centre, a reader sends 24 routers the whole list, and 3,000
	// endpoints, 197 KB, take 1.9 s on a link of 20 Mbit/s.
	listTimeout      = time.Second
	startListTimeout = 4 * time.Second
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
	// maxReaderQueries is the number of readers that are queried in turn before this
	// router reads the store itself.
	maxReaderQueries = 2
)

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
	r.deps.Store.ObserveEra(reply.Era)
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
	if reply.ListSince == reply.ListEra {
		list = withoutDeparted(list, reply.ListEra, snap.departed)
	}
	_ = r.loop.Post(ctx, listRead{list: list, era: cmp.Or(reply.ListEra, reply.Era), sent: sent - reply.ListAge})
	r.listKnown(ctx)
	position := reply.position(snap.Position.Era)
	if position.After(snap.Position) {
		r.gate.offerOrders(offeredOrders{position: position, config: reply.Config, deltas: reply.Deltas, evacuated: reply.Evacuated, rollouts: reply.Rollouts, windows: reply.Windows, sent: sent - reply.OrdersAge})
		return readerFresh
	}
	_ = r.loop.Post(ctx, ordersRead{sent: sent - reply.OrdersAge, position: snap.Position})
	return readerFresh
}

// callReader queries the reader at address for a router with the given snapshot.
func (r *Router) callReader(ctx context.Context, address string, snap *Snapshot) (StateReply, error) {
	args := StateArgs{List: snap.List.Hash, Era: snap.Position.Era, Position: snap.Position.Offset, Config: snap.configHash}
	reply, err := exchange.CallWithin[StateReply](ctx, r.node, queryTimeout, address, storeMethod, args)
	if err != nil {
		return StateReply{}, err
	}
	args.WholeConfig = r.gate.ordersUnread.Load() && reply.position(args.Era).After(snap.Position) && reply.Config != args.Config && len(reply.Deltas) == 0
	if !reply.Unknown && !args.WholeConfig {
		return reply, nil
	}
	timeout := listTimeout
	if !snap.Listed {
		timeout = startListTimeout
	}
	if reply.Unknown {
		args.Buckets = snap.List.Buckets()
	}
	return exchange.CallWithin[StateReply](ctx, r.node, timeout, address, storeMethod, args)
}
