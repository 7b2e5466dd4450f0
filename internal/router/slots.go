package router

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/mesh"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
	"github.com/goldcrestturn/goldcrestturn/internal/slots"
)

const (
	// slotTickInterval is how often waiting requests and leases are checked while slots are
	// granted. It is a fraction of the time that a request takes.
	slotTickInterval = 10 * time.Millisecond
	// slotRefresh is how often the endpoints, the load and the home of a pool are read from
	// the table, since that takes a pass over all routers.
	slotRefresh = 50 * time.Millisecond
)

// Events of the grants of slots.
type (
	// slotAsked asks for a slot. The reply comes once there is one or the request is
	// refused.
	slotAsked struct {
		control.Deferred[slotReply]
		ticket   *slotTicket
		priority int
		target   time.Duration // boot time until which an answer is in time; 0 if there is no target
		limit    time.Duration // boot time until which an answer is of use
		excluded []model.EndpointID
	}
	// slotReleased ends the use of a slot, or the wait for it.
	slotReleased struct {
		ticket   *slotTicket
		answered bool
	}
	// slotTick is posted every slotTickInterval while slots are granted.
	slotTick struct{}
)

func (slotAsked) EventName() string    { return "slot_asked" }
func (slotReleased) EventName() string { return "slot_released" }
func (slotTick) EventName() string     { return "slot_tick" }

// slotTicket identifies an attempt. Its id belongs to the control goroutine.
type slotTicket struct {
	pool model.Pool
	id   uint64 // 0 if the attempt is not counted
}

// slotReply is the reply to slotAsked.
type slotReply struct {
	endpoint   model.EndpointID // empty for any
	refused    bool
	retryAfter time.Duration
}

// slotPool is the state of the grants of one pool.
type slotPool struct {
	pool      model.Pool
	hash      uint32
	client    *slots.Client
	home      *slots.Home // nil unless this router is the home
	homeName  model.InstanceID
	waiting   map[uint64]slotAsked // attempts without a reply
	names     map[uint32]model.EndpointID
	refreshed time.Duration
	engaged   bool // as logged
}

// slotPoolHash returns the hash that stands for a pool in messages between routers.
func slotPoolHash(pool model.Pool) uint32 { return uint32(xxhash.Sum64String(string(pool))) }

// grantSlots queues requests for the slots of pools with few of them, and exchanges demands
// and grants with the homes of these pools.
type grantSlots struct {
	enabled bool
	send    func(to netip.AddrPort, m mesh.Message) // must not block
	wake    func()                                  // causes a slotTick
	now     func() time.Duration                    // boot time
	log     *slog.Logger
}

func (grantSlots) Name() string { return "slots" }

func (f grantSlots) Apply(s *State, now time.Time, ev control.Event) bool {
	if !f.enabled {
		if e, ok := ev.(slotAsked); ok {
			e.Reply(slotReply{})
		}
		return false
	}
	switch e := ev.(type) {
	case slotAsked:
		f.ask(s, now, e)
	case slotReleased:
		if p := s.slots[e.ticket.pool]; p != nil && e.ticket.id != 0 {
			delete(p.waiting, e.ticket.id)
			p.client.Leave(e.ticket.id)
			p.client.End(f.now(), e.ticket.id, e.answered)
			f.advance(s, now, p)
		}
	case requestEnded:
		ep, ok := s.table.Lookup(e.endpoint)
		if p := s.slots[ep.Pool]; ok && p != nil && e.result == place.Refused {
			p.client.RecordRejection(f.now())
		}
	case peerMessage:
		if e.slots != nil {
			f.receive(s, now, e)
		}
	case slotTick:
		for _, p := range s.slots {
			f.refresh(s, now, p)
			f.advance(s, now, p)
		}
	}
	return false
}

// ask queues an attempt.
func (f grantSlots) ask(s *State, now time.Time, e slotAsked) {
	p := f.pool(s, now, e.ticket.pool)
	if p == nil || !s.settings.Slots.Enabled {
		e.Reply(slotReply{})
		return
	}
	s.slotTickets++
	e.ticket.id = s.slotTickets
	p.waiting[e.ticket.id] = e
	at := f.now()
	r := slots.Request{ID: e.ticket.id, Priority: e.priority, Arrived: at, Target: e.target, Limit: e.limit}
	for _, id := range e.excluded {
		r.Excluded = append(r.Excluded, place.EndpointHash(id))
	}
	f.refuse(p, p.client.Arrive(at, r))
	f.advance(s, now, p)
	if _, waits := p.waiting[e.ticket.id]; waits {
		slotResults[slotWaited].Inc()
	}
}

// pool returns the state of a pool, or nil if its slots are not granted or not known.
func (f grantSlots) pool(s *State, now time.Time, pool model.Pool) *slotPool {
	p := s.slots[pool]
	if p == nil {
		if !grants(s, now, pool) {
			return nil
		}
		p = &slotPool{pool: pool, hash: slotPoolHash(pool), client: slots.NewClient(f.now(), s.settings.Slots.config()), waiting: map[uint64]slotAsked{}, refreshed: -slotRefresh}
		s.slots[pool] = p
	}
	f.refresh(s, now, p)
	return p
}

// grants reports whether the slots of a pool are granted.
func grants(s *State, now time.Time, pool model.Pool) bool {
	_, n, _ := s.table.Slots(now, pool)
	return s.settings.Slots.config().Grants(n, s.table.Routers(now))
}

// refresh reads the state of a pool from the table. A pool that has become large has no
// endpoints here, so its requests need no grant.
func (f grantSlots) refresh(s *State, now time.Time, p *slotPool) {
	at := f.now()
	if at-p.refreshed < slotRefresh {
		return
	}
	p.refreshed = at
	list, n, load := s.table.Slots(now, p.pool)
	if !s.settings.Slots.Enabled || !grants(s, now, p.pool) {
		list, n = nil, 0
	}
	var endpoints []slots.Endpoint
	p.names = map[uint32]model.EndpointID{}
	for _, e := range list {
		endpoints = append(endpoints, slots.Endpoint{Hash: e.Hash, Slots: e.Slots, Avoid: e.Backoff})
		p.names[e.Hash] = e.ID
	}
	home, rank := s.table.First(now, p.hash, s.settings.Instance)
	p.client.SetConfig(s.settings.Slots.config())
	p.client.SetPool(endpoints, s.table.Routers(now), rank, string(home))
	switch {
	case home != s.settings.Instance:
		p.home = nil
	case p.home == nil:
		p.home = slots.NewHome(at, s.settings.Slots.config())
	}
	if p.home != nil {
		p.home.SetConfig(s.settings.Slots.config())
		p.home.SetEndpoints(endpoints)
	}
	if s.settings.Slots.config().IsLoaded(load, n, p.client.Engaged(at)) {
		p.client.RecordEvidence(at)
	}
	if engaged := p.client.Engaged(at); engaged != p.engaged || engaged && home != p.homeName {
		p.engaged = engaged
		f.log.Info("grants of slots", "pool", p.pool, "in_force", engaged, "slots", n, "load", load, "home", home, "waiting", p.client.Waiting())
	}
	p.homeName = home
}

// receive applies a demand or a grant of a peer.
func (f grantSlots) receive(s *State, now time.Time, e peerMessage) {
	p := f.poolByHash(s, now, e.slots.Pool)
	if p == nil {
		return
	}
	if g := e.slots.Grant; g != nil {
		p.client.ApplyGrant(f.now(), e.name, *g)
	}
	// A router that is not the home by its own view does not answer, so that only routers
	// that cannot hear each other hand out the same slots.
	if d := e.slots.Demand; d != nil && p.home != nil {
		if g, ok := p.home.Apply(f.now(), e.name, *d); ok {
			f.sendGrant(s, p, e.name, g)
		}
	}
	f.advance(s, now, p)
}

// poolByHash returns the state of the pool with a hash, or nil if there is none with few
// slots.
func (f grantSlots) poolByHash(s *State, now time.Time, hash uint32) *slotPool {
	for _, p := range s.slots {
		if p.hash == hash {
			f.refresh(s, now, p)
			return p
		}
	}
	if s.catalog == nil {
		return nil
	}
	for pool := range s.catalog.Pools {
		if slotPoolHash(pool) == hash {
			return f.pool(s, now, pool)
		}
	}
	return nil
}

// advance carries out what the client and the home of a pool decide.
func (f grantSlots) advance(s *State, now time.Time, p *slotPool) {
	at := f.now()
	f.step(s, p, at)
	if p.home != nil {
		for _, push := range p.home.Push(at) {
			f.sendGrant(s, p, push.To, push.Grant)
		}
		f.step(s, p, at) // with what the home granted to this router
	}
	waiting := 0
	for _, other := range s.slots {
		waiting += other.client.Waiting()
	}
	slotsWaiting.Set(float64(waiting))
	if p.client.Engaged(at) || p.client.Waiting() > 0 || p.home != nil && p.home.Routers() > 0 {
		f.wake()
	}
}

// step carries out what the client of a pool decides.
func (f grantSlots) step(s *State, p *slotPool, at time.Duration) {
	step := p.client.Step(at)
	f.refuse(p, step.Refusals)
	for _, start := range step.Starts {
		if e, ok := p.waiting[start.ID]; ok {
			delete(p.waiting, start.ID)
			slotResults[slotStarted].Inc()
			e.Reply(slotReply{endpoint: p.names[start.Endpoint]})
		}
	}
	if step.Demand == nil {
		return
	}
	slotMessages[slotDemand].Inc()
	if p.home != nil {
		if g, ok := p.home.Apply(at, string(s.settings.Instance), *step.Demand); ok {
			f.sendGrant(s, p, string(s.settings.Instance), g)
		}
		return
	}
	f.post(s, p.homeName, mesh.Message{Slots: &mesh.Slots{Pool: p.hash, Demand: step.Demand}})
}

// refuse replies to the attempts that cannot be answered in time.
func (f grantSlots) refuse(p *slotPool, list []slots.Refusal) {
	for _, r := range list {
		if e, ok := p.waiting[r.ID]; ok {
			delete(p.waiting, r.ID)
			e.ticket.id = 0
			slotResults[slotRefused].Inc()
			e.Reply(slotReply{refused: true, retryAfter: r.RetryAfter})
		}
	}
}

// sendGrant passes a grant of this home to a router.
func (f grantSlots) sendGrant(s *State, p *slotPool, to string, g slots.Grant) {
	if to == string(s.settings.Instance) {
		p.client.ApplyGrant(f.now(), to, g)
		return
	}
	slotMessages[slotGrant].Inc()
	f.post(s, model.InstanceID(to), mesh.Message{Slots: &mesh.Slots{Pool: p.hash, Grant: &g}})
}

// post sends a message to one peer.
func (f grantSlots) post(s *State, to model.InstanceID, m mesh.Message) {
	if a, err := netip.ParseAddrPort(s.addresses[to].address); err == nil {
		f.send(a, m)
	}
}

// askSlot asks the control goroutine for a slot.
func (r *Router) askSlot(ctx context.Context, e slotAsked) (slotReply, error) {
	return control.Ask(ctx, r.loop, e)
}

// releaseSlot ends the use of a slot, or the wait for it.
func (r *Router) releaseSlot(ticket *slotTicket, answered bool) {
	_ = r.loop.Post(context.Background(), slotReleased{ticket, answered})
}

// slotsEnabled reports whether requests may need a grant.
func (r *Router) slotsEnabled() bool {
	return r.deps.Features.Slots && r.loop.Snapshot().Settings.Slots.Enabled
}

// wakeSlots causes a slotTick after slotTickInterval.
func (r *Router) wakeSlots() {
	select {
	case r.slotWakes <- struct{}{}:
	default:
	}
}

// tickSlots posts the slotTicks that were asked for until ctx ends.
func (r *Router) tickSlots(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.slotWakes:
		}
		if !control.Pause(ctx, slotTickInterval) || r.loop.Post(ctx, slotTick{}) != nil {
			return
		}
	}
}
