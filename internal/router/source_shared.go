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
	// shareInterval is how often a router asks a reader of the store. With the
	// reader's own interval it stays well below the time in which a leaving
	// endpoint must get no more work.
	shareInterval = 250 * time.Millisecond
	// shareTime bounds one question. Data centres of a region are milliseconds
	// apart.
	shareTime = 200 * time.Millisecond
	// avoidTime is how long a reader is passed over that did not answer, and this
	// router if its own reads fail.
	avoidTime = 3 * time.Second
	// staleTime is the same for one that knew nothing recent. One whose own reader
	// failed reads the store itself two questions later.
	staleTime = 2 * shareInterval
	// staleMargin is the age beyond a reader's own interval at which what it
	// knows is too old. The ages of both, the questions and an own read add up to
	// less than the two seconds after which a leaving endpoint gets no work.
	staleMargin = 150 * time.Millisecond
	// groupSize is the number of routers that share one reader of the store.
	groupSize = 12
	// maxAsked bounds the readers that are asked in a row before this router
	// reads the store itself.
	maxAsked = 2
	// spareReaders is the number of routers beyond the readers that are asked in
	// place of those that do not answer or that the store turns away.
	spareReaders = 4
)

// storeService and its method are short, since each call carries their names.
const (
	storeService = "S"
	storeMethod  = "S.State"
)

// StateArgs says what the asking router knows.
type StateArgs struct{ List uint64 }

// StateReply says what the reader knows of the store. Ages count up to the
// reply, so what the reader knows was true that long before the reply, or later.
type StateReply struct {
	OrdersAge time.Duration
	Position  int64 // of the orders
	ListAge   time.Duration
	List      uint64 // hash of the instance list
	Whole     bool   // Delta leads from an empty list, not from the asker's
	Delta     place.Delta
}

// storeServer answers other routers from the snapshot.
type storeServer struct{ snapshot func() *Snapshot }

// State is a method of net/rpc.
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
	if reply.Delta, known = snap.Trail.Since(args.List); !known {
		reply.Whole, reply.Delta = true, place.Delta{Changed: snap.List.Endpoints}
	}
	return nil
}

// gate tells the loops that read the store whether this router reads it itself.
type gate struct {
	closed atomic.Bool // another router reads the store for this one
	failed atomic.Bool // an own read failed since the last question to others
	opened [2]chan struct{}
	newer  chan struct{} // there are orders that this router lacks
}

// The loops behind a gate.
const (
	ordersLoop = iota
	listLoop
)

func newGate() *gate {
	return &gate{opened: [2]chan struct{}{make(chan struct{}, 1), make(chan struct{}, 1)}, newer: make(chan struct{}, 1)}
}

// notify wakes the one goroutine that waits on c, now or when it comes to wait.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// set opens or closes the gate.
func (g *gate) set(closed bool) {
	if g.closed.Swap(closed) && !closed {
		notify(g.opened[ordersLoop])
		notify(g.opened[listLoop])
	}
}

// pass waits while the gate is closed for a loop. It reports false if the loop
// is let through only to read what this router lacks.
func (g *gate) pass(ctx context.Context, loop int) (open bool) {
	var newer chan struct{}
	if loop == ordersLoop {
		newer = g.newer
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

// shareStore asks another router what the store holds, if there is one to ask,
// and has this router read the store itself otherwise.
func (r *Router) shareStore(ctx context.Context) {
	avoid := map[model.InstanceID]time.Time{}
	for control.Pause(ctx, shareInterval) {
		routers, err := control.Ask(ctx, r.loop, readersAsked{Question: control.NewQuestion[map[model.InstanceID]string]()})
		if err != nil {
			return
		}
		r.gate.set(r.askReaders(ctx, routers, avoid))
	}
}

// askReaders asks the readers that fall to this router in turn and reports
// whether one answered. A router whose own reads fail is no reader either. The
// routers come with the addresses of their exchange.
func (r *Router) askReaders(ctx context.Context, routers map[model.InstanceID]string, avoid map[model.InstanceID]time.Time) bool {
	now := time.Now()
	if r.gate.failed.Swap(false) {
		avoid[r.settings.Instance] = now.Add(avoidTime)
	}
	n := (len(routers) + groupSize - 1) / groupSize
	readers := summary.Rendezvous(storeService, slices.Collect(maps.Keys(routers)), n+spareReaders)
	readers = slices.DeleteFunc(readers, func(name model.InstanceID) bool { return now.Before(avoid[name]) })
	for range maxAsked {
		next := readerFor(r.settings.Instance, readers[:min(n, len(readers))])
		if next == r.settings.Instance {
			return false
		}
		pause := r.askReader(ctx, next, routers[next])
		if pause == 0 {
			return true
		}
		avoid[next] = now.Add(pause)
		readers = slices.DeleteFunc(readers, func(name model.InstanceID) bool { return name == next })
	}
	return false
}

// readerFor returns the reader of a router: itself, if it is one of them or there
// is none, else the one that it falls to.
func readerFor(self model.InstanceID, readers []model.InstanceID) model.InstanceID {
	if len(readers) == 0 || slices.Contains(readers, self) {
		return self
	}
	return summary.Rendezvous(string(self), readers, 1)[0]
}

// askReader asks one reader and returns how long it is passed over, which is 0 if
// it knows the store well enough. What it knows counts from when the question was
// sent.
func (r *Router) askReader(ctx context.Context, name model.InstanceID, address string) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, shareTime)
	defer cancel()
	sent, snap := boottime.Now(), r.loop.Snapshot()
	var reply StateReply
	if err := r.node.Call(ctx, address, storeMethod, StateArgs{snap.List.Hash}, &reply); err != nil {
		r.log.Info("router does not tell the state of the store", "router", name, "error", err.Error())
		return avoidTime
	}
	// A read of the orders counts from when it was sent, so its age grows to two
	// waits before the next one returns.
	if reply.OrdersAge > 2*snap.Settings.FollowTime+staleMargin || reply.ListAge > snap.Settings.ListInterval+staleMargin {
		r.log.Info("router knows nothing recent of the store", "router", name,
			"orders_age_ms", reply.OrdersAge.Milliseconds(), "list_age_ms", reply.ListAge.Milliseconds())
		return staleTime
	}
	list := listAfter(snap.List, reply)
	if list.Hash != reply.List {
		r.log.Warn("list of endpoints does not match the one of another router", "router", name)
		return avoidTime
	}
	_ = r.loop.Post(ctx, listRead{list: list, sent: sent - reply.ListAge})
	if reply.Position > snap.Position {
		notify(r.gate.newer)
		return 0
	}
	_ = r.loop.Post(ctx, ordersRead{sent: sent - reply.OrdersAge, position: snap.Position})
	return 0
}

// listAfter returns the list that a reader told to a router with list l.
func listAfter(l place.List, reply StateReply) place.List {
	if reply.Whole {
		l = place.List{}
	}
	if reply.Delta.Empty() {
		return l
	}
	for i, e := range reply.Delta.Changed {
		if e.ColdLeft > 0 {
			// At least a millisecond, since the hash counts the list as it was.
			reply.Delta.Changed[i].ColdLeft = max(time.Millisecond, e.ColdLeft-reply.ListAge)
		}
	}
	return l.Apply(reply.Delta)
}
