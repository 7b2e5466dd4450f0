package router

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

const (
	// heldOrderTime is how long orders that a restored store lacks stay in force. Operators
	// write them again within seconds. It also bounds how long one stays in force that they
	// removed before this router has read the restored store.
	heldOrderTime = 30 * time.Second
	// trialPause is how long no trial of a refused property is sent after a restore. Routers
	// that claimed one write it again meanwhile: they learn of the restore from their next
	// call to the store, or from their store reader within queryInterval.
	trialPause = 5 * time.Second
	// membersAfterRestore is the time from the announcement after a restore until the list of
	// routers is read again, which lacks those that announce themselves a little later.
	membersAfterRestore = 3 * time.Second
)

// eraSeen carries the highest era that answers of the store have had.
type eraSeen struct {
	era      int64
	restored bool // it has grown since this router started
}

func (eraSeen) EventName() string { return "era_seen" }

// watchEra tells the sources and the control loop when the store has been restored from an
// older copy, until ctx ends.
func (r *Router) watchEra(ctx context.Context) {
	for known := int64(0); ; {
		select {
		case <-ctx.Done():
			return
		case era := <-r.deps.Store.Eras():
			restored := known != 0
			known = era
			storeEra.Set(float64(era - 1))
			if restored {
				r.log.Warn("store was restored from an older copy", "era", era-1)
				storeRestores.Inc()
				wake(r.announceAgain)
				wake(r.suspects.reload)
			}
			_ = r.loop.Post(ctx, eraSeen{era: era, restored: restored})
		}
	}
}

// awaitMemberRead waits until the list of routers is to be read again and returns false if ctx
// has ended. After a restore of the store that is at once, with a new announcement, and again a
// little later.
func (r *Router) awaitMemberRead(ctx context.Context, announced *time.Time, interval *time.Duration) bool {
	t := time.NewTimer(*interval)
	defer t.Stop()
	*interval = memberReadInterval
	select {
	case <-ctx.Done():
		return false
	case <-r.announceAgain:
		*announced, *interval = time.Time{}, membersAfterRestore
	case <-r.membersWanted:
	case <-t.C:
	}
	return true
}

// applyEra records restores of the store.
type applyEra struct{}

func (applyEra) Name() string { return "era" }

func (applyEra) Apply(s *State, now time.Time, ev control.Event) bool {
	e, ok := ev.(eraSeen)
	if !ok {
		return false
	}
	s.era = e.era
	if e.restored {
		s.restoredAt = now
	}
	return e.restored
}

// trialsPaused reports whether the store was restored so recently that it may lack the trials
// that were claimed before.
func (s *State) trialsPaused(now time.Time) bool {
	return !s.restoredAt.IsZero() && now.Sub(s.restoredAt) < trialPause
}

// saveAfterRestore writes to a restored store what this router knows and the store may have
// lost: the crashes that it saw, and the refused properties of which it is the first router or
// knows a trial. The writer leaves out what the store holds.
func (f judgeCauses) saveAfterRestore(s *State, now time.Time) {
	if report := s.observed.Report(now, s.settings.Instance, s.causes.Count); len(report.Crashes)+len(report.Sound) > 0 {
		f.report(report)
	}
	var records []suspect.Record
	for key, refused := range s.causeView {
		if rec := s.causes.Record(key); refused && (rec.Trials > 0 || s.table.IsFirst(uint32(key))) {
			records = append(records, rec)
		}
	}
	f.save(records)
}

// heldOrders are orders in force that a restored store lacked when it was read first. Each is
// held until operators write its key again, or until a time.
type heldOrders struct {
	until     time.Time
	evacuated map[model.DataCentre]bool
	rollouts  map[model.Pool]model.Version // the versions in force
	stored    map[model.Pool]model.Version // what the store says in their place; empty if nothing
}

// update begins to hold orders if e is the first read of a restored store, and ends that for
// those that operators have written again.
func (h *heldOrders) update(s *State, now time.Time, e ordersRead) {
	if e.current && s.position.Era != 0 && e.position.Era > s.position.Era {
		*h = heldOrders{until: now.Add(heldOrderTime), evacuated: maps.Clone(s.evacuated), rollouts: maps.Clone(s.rollouts), stored: map[model.Pool]model.Version{}}
		for pool, version := range e.orders.Rollouts {
			if h.rollouts[pool] == version {
				delete(h.rollouts, pool)
			} else if _, held := h.rollouts[pool]; held {
				h.stored[pool] = version
			}
		}
	} else if !e.current {
		for pool := range e.orders.Rollouts {
			delete(h.rollouts, pool)
		}
	}
	for dc, out := range e.orders.Evacuated {
		if out || !e.current {
			delete(h.evacuated, dc)
		}
	}
}

// expire removes the orders whose time has passed and returns e with their ends.
func (h *heldOrders) expire(now time.Time, e ordersRead) ordersRead {
	if len(h.evacuated)+len(h.rollouts) == 0 || now.Before(h.until) {
		return e
	}
	e.orders.Evacuated, e.orders.Rollouts = maps.Clone(e.orders.Evacuated), maps.Clone(e.orders.Rollouts)
	if e.orders.Evacuated == nil {
		e.orders.Evacuated = map[model.DataCentre]bool{}
	}
	if e.orders.Rollouts == nil {
		e.orders.Rollouts = map[model.Pool]model.Version{}
	}
	for dc := range h.evacuated {
		e.orders.Evacuated[dc] = false
	}
	for pool := range h.rollouts {
		e.orders.Rollouts[pool] = h.stored[pool]
	}
	*h = heldOrders{}
	return e
}

// holdOrders keeps in force what a restored store lacks, and returns e with the orders that are
// no longer held.
func (f applyOrders) holdOrders(s *State, now time.Time, e ordersRead) ordersRead {
	restored := e.current && s.position.Era != 0 && e.position.Era > s.position.Era
	s.held.update(s, now, e)
	if n := len(s.held.evacuated) + len(s.held.rollouts); restored && n > 0 {
		f.log.Warn("orders stay in force although the restored store lacks them", "evacuations", len(s.held.evacuated), "rollouts", len(s.held.rollouts), "for_ms", heldOrderTime.Milliseconds())
	}
	return s.held.expire(now, e)
}

// departedTime is how long it is remembered which endpoints have left, longer than the copy of a
// restored store is old.
const departedTime = fullReadInterval

// departure is the end of the entry of an endpoint.
type departure struct {
	started int64 // of the process that was listed
	era     int64 // of the store that no longer listed it
	at      time.Time
}

// withoutDeparted returns a list of an era without the endpoints that had left in an earlier one.
func withoutDeparted(list place.List, era int64, departed map[model.EndpointID]departure) place.List {
	var left []model.EndpointID
	for _, e := range list.Endpoints {
		if d, ok := departed[e.ID]; ok && d.era < era && e.Started <= d.started {
			left = append(left, e.ID)
		}
	}
	if len(left) == 0 {
		return list
	}
	return list.Apply(place.Delta{Gone: left})
}

// recordDepartures returns departed with the changes from one list to the next, of an era.
func recordDepartures(departed map[model.EndpointID]departure, now time.Time, from, to place.List, era int64) map[model.EndpointID]departure {
	started := make(map[model.EndpointID]int64, len(from.Endpoints))
	for _, e := range from.Endpoints {
		started[e.ID] = e.Started
	}
	out := map[model.EndpointID]departure{}
	for id, d := range departed {
		if now.Sub(d.at) < departedTime {
			out[id] = d
		}
	}
	delta := from.Diff(to)
	for _, id := range delta.Gone {
		out[id] = departure{started[id], era, now}
	}
	for _, e := range delta.Changed {
		delete(out, e.ID)
	}
	return out
}

// heldEndpoints is what was known of endpoints before the store was restored, for those that
// have not written their records again. The zero value holds nothing.
type heldEndpoints struct {
	until    time.Time
	before   place.List
	departed map[model.EndpointID]departure
}

// rewritten drops what is held of the endpoints whose records have been written since.
func (h *heldEndpoints) rewritten(d place.Delta) {
	if h.until.IsZero() || d.Empty() {
		return
	}
	gone := slices.Clone(d.Gone)
	for _, e := range d.Changed {
		gone = append(gone, e.ID)
	}
	h.before = h.before.Apply(place.Delta{Gone: gone})
	for _, id := range gone {
		delete(h.departed, id)
	}
}

// keep returns the endpoints that a restored store lists, together with what is held: those that
// are missing, those that leave, and those that have started since. It leaves out those that had
// left.
func (h *heldEndpoints) keep(read []place.Endpoint) (list []place.Endpoint, kept, left int) {
	n := len(read)
	read = slices.DeleteFunc(read, func(e place.Endpoint) bool {
		d, ok := h.departed[e.ID]
		return ok && e.Started <= d.started
	})
	left = n - len(read)
	index := make(map[model.EndpointID]int, len(read))
	for i, e := range read {
		index[e.ID] = i
	}
	for _, e := range h.before.Endpoints {
		i, listed := index[e.ID]
		switch {
		case !listed:
			read = append(read, e)
		case e.Started > read[i].Started || e.Started == read[i].Started && e.Draining && !read[i].Draining:
			read[i] = e
		default:
			continue
		}
		kept++
	}
	return read, kept, left
}

const (
	// configPeers is the number of peers that a starting router asks for a newer
	// configuration than the store's, and configPeerTimeout bounds the time that this adds to
	// its start, the wait for the list of routers included.
	configPeers       = 3
	configPeerTimeout = 300 * time.Millisecond
)

// newestConfig returns orders with the configuration of a peer in place of the store's if that
// is newer. A starting router cannot know whether the store has just been restored from an older
// copy, which may hold keys that have been revoked since.
func (r *Router) newestConfig(ctx context.Context, orders Orders) Orders {
	ctx, cancel := context.WithTimeout(ctx, configPeerTimeout)
	defer cancel()
	select {
	case <-r.membersReady:
	case <-ctx.Done():
		return orders
	}
	routers, err := control.Ask(ctx, r.loop, storeReadersQuery{Question: control.NewQuestion[map[model.InstanceID]exchangeAddress]()})
	if err != nil {
		return orders
	}
	delete(routers, r.settings.Instance)
	peers := summary.Rendezvous(string(r.settings.Instance), slices.Collect(maps.Keys(routers)), configPeers)
	offered := make(chan Orders, len(peers))
	for _, name := range peers {
		go func() {
			o, err := r.configOfPeer(ctx, routers[name].address, configHash(orders.Config))
			if err != nil {
				r.log.Info("router does not tell its configuration", "router", name, "error", err.Error())
			}
			offered <- o
		}()
	}
	for range peers {
		if o := <-offered; o.Catalog != nil && (orders.Catalog == nil || o.Catalog.Version > orders.Catalog.Version) {
			r.log.Warn("another router has a newer configuration than the store", "version", o.Catalog.Version)
			orders.Catalog, orders.Config = o.Catalog, o.Config
		}
	}
	return orders
}

// configOfPeer returns the configuration of the router at address, or none if its hash is the
// given one or it has none.
func (r *Router) configOfPeer(ctx context.Context, address string, hash uint64) (Orders, error) {
	args := StateArgs{Config: hash}
	reply, err := exchange.CallWithin[StateReply](ctx, r.node, configPeerTimeout, address, storeMethod, args)
	if err != nil || reply.Starting || reply.Config == 0 || reply.Config == hash {
		return Orders{}, err
	}
	args.WholeConfig = true
	if reply, err = exchange.CallWithin[StateReply](ctx, r.node, configPeerTimeout, address, storeMethod, args); err != nil || len(reply.Deltas) != 1 {
		return Orders{}, err
	}
	config, err := reply.Deltas[0].apply(nil)
	if err != nil {
		return Orders{}, err
	}
	c, err := r.deps.Store.DecodeConfig(config)
	return Orders{Catalog: c, Config: config}, err
}
