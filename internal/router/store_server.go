package router

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/boottime"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
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
	Era      int64  // Position.Era of the last order that the router has
	Position int64  // Position.Offset after it
	Config   uint64 // hash of the encoded configuration that the router has
	// WholeConfig asks for the whole configuration, since the router cannot read it
	// from the store and has no base for the deltas.
	WholeConfig bool
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
	Era       int64  // Position.Era of the last order that was read
	Position  int64  // Position.Offset after it
	Config    uint64 // hash of the encoded configuration at Position
	// Deltas lead from StateArgs.Config to Config. They are empty if the router has the
	// configuration, and if the reader does not keep them or they are too long.
	Deltas    []ConfigDelta
	Evacuated []model.DataCentre           // data centres out of service at Position
	Rollouts  map[model.Pool]model.Version // Orders.Rollouts at Position
	Windows   map[model.Pool]time.Duration // Orders.RolloutWindows at Position
	ListAge   time.Duration
	ListEra   int64 // Position.Era of the instance list; 0 from readers of earlier versions
	// ListSince is the era of the first instance list that the reader had. If it is ListEra, the
	// reader does not know which endpoints had left before the store was restored.
	ListSince int64
	List      uint64 // hash of the instance list
	Delta     place.Delta
	Unknown   bool    // the reader does not know StateArgs.List, so Delta is empty
	Replaced  []uint8 // buckets of the list whose endpoints are those in Delta.Changed
}

// position returns the position of the reader's orders for a router with orders of an era. A
// reader of a version without eras, and one of a store without, is taken to have the same.
func (r StateReply) position(era int64) Position {
	return Position{Era: cmp.Or(r.Era, era), Offset: r.Position}
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
		OrdersAge: now - snap.Confirmed, Era: snap.Position.Era, Position: snap.Position.Offset,
		ListAge: now - snap.ListSent, ListEra: snap.ListEra, ListSince: snap.ListSince, List: snap.List.Hash,
	}
	if snap.Position.After(Position{Era: cmp.Or(args.Era, snap.Position.Era), Offset: args.Position}) {
		reply.Config, reply.Evacuated, reply.Rollouts, reply.Windows = snap.configHash, slices.Collect(maps.Keys(snap.evacuated)), snap.rollouts, snap.windows
		switch {
		case args.Config == snap.configHash:
		case args.WholeConfig:
			whole, err := newConfigDelta(nil, snap.config)
			if err != nil {
				return err
			}
			reply.Deltas = []ConfigDelta{whole}
		default:
			reply.Deltas = deltasSince(snap.deltas, args.Config)
		}
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
