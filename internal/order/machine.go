package order

import (
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Kind tells what an order changes.
type Kind string

// The kinds of order, named as in the engine's interface.
const (
	Load          Kind = "load"
	Unload        Kind = "unload"
	LoadAdapter   Kind = "load_adapter"
	UnloadAdapter Kind = "unload_adapter"
	SetRole       Kind = "role"
)

// Order is one order to the engine.
type Order struct {
	Fence    int64 // offset of the configuration behind the order
	Kind     Kind
	Version  model.Version
	Adapter  string
	Role     string
	NotAfter time.Time // on this process's clock; a later order is dropped
}

// State is what the engine has, as read back from it.
type State struct {
	Fence    int64 // highest fence that the engine has taken; 0 if it does not keep it
	Loaded   []model.Version
	Loading  []model.Version
	Adapters []string
	Role     string
}

// Step is what the source does next: give Order, else read the state if Read is
// set, else nothing until Until.
type Step struct {
	Order     *Order
	ReadState bool
	Until     time.Time
}

// Times of the machine.
const (
	readPause   = time.Second      // between reads while a load is in progress, and after a failure
	recheck     = 30 * time.Second // between reads when nothing is to be done, to notice a restarted engine
	unloadDelay = time.Minute      // for which a version that is no longer wanted serves its streams to the end
	// settle is the time for which the members of the pool must be unchanged
	// before a load. Instance lists disagree for seconds; twice that is safe.
	settle = 10 * time.Second
	// pauseLimit is the gap between two ticks from which the process counts as
	// paused. Ticks come every 100 ms.
	pauseLimit = 2 * time.Second
	// resumeHold is the time without orders after a pause, in which a newer
	// configuration arrives from the log or a peer (4 s at the latest).
	resumeHold = 4 * time.Second
	// maxAge is the age from which a decided order is dropped instead of sent.
	maxAge = 2 * time.Second
)

// Safeguard names one safeguard that a test can remove.
type Safeguard string

// The safeguards of the orders.
const (
	FenceCheck  Safeguard = "gate"     // an order older than what the side knows is dropped
	LoadSpacing Safeguard = "spacing"  // loads wait for their slot
	ReadBack    Safeguard = "readback" // the state is read before the next order
)

// Machine decides the orders of one engine. It belongs to the control
// goroutine.
type Machine struct {
	self    model.EndpointID
	pool    model.Pool
	without Safeguard

	offset  int64 // accepted configuration offset
	wanted  Target
	since   int64     // offset at which wanted last changed
	changed time.Time // when it did
	spacing time.Duration

	members []model.EndpointID
	settled time.Time // from when loads may start as far as the members go

	state     *State
	loadedAt  time.Time // when the last order to load was decided
	busy      bool      // a step is being carried out
	again     time.Time
	lastTick  time.Time
	heldUntil time.Time
}

// New returns the machine of an engine. Tests pass the mechanism to remove.
func New(self model.EndpointID, pool model.Pool, without ...Safeguard) *Machine {
	m := &Machine{self: self, pool: pool, offset: config.NoBase, since: config.NoBase}
	for _, w := range without {
		m.without = w
	}
	return m
}

// MinFence returns the offset from which on an order's fence must be: the one at
// which the target last changed.
func (m *Machine) MinFence() int64 { return m.since }

// SetConfig takes a newly accepted configuration.
func (m *Machine) SetConfig(now time.Time, c *config.Accepted) {
	w := DeriveTarget(c.Lists, m.pool)
	if m.offset == config.NoBase || !w.Equal(m.wanted) {
		m.wanted, m.since, m.changed = w, c.Offset, now
		m.again = now
	}
	m.offset, m.spacing = c.Offset, c.Lists.Pools[m.pool].LoadSpacing
}

// SetMembers takes the endpoints of the pool.
func (m *Machine) SetMembers(now time.Time, members []model.EndpointID) {
	sorted := slices.Sorted(slices.Values(members))
	if !slices.Equal(sorted, m.members) || m.settled.IsZero() {
		m.members, m.settled = sorted, now.Add(settle)
	}
}

// Tick notices a pause of the process: until a newer configuration had time to
// arrive, what this process wants may be old.
func (m *Machine) Tick(now time.Time) {
	if now.Sub(m.lastTick) > pauseLimit && m.without != FenceCheck {
		m.heldUntil = now.Add(resumeHold)
		m.state = nil
	}
	// A member may have come and gone during the pause, so that the list looks
	// unchanged while other sides still rank by another one.
	if now.Sub(m.lastTick) > pauseLimit {
		m.settled = now.Add(settle)
	}
	m.lastTick = now
}

// Next returns the next step. The source reports its end with Read or Given
// before it asks again.
func (m *Machine) Next(now time.Time) Step {
	if m.busy || m.offset == config.NoBase {
		return Step{Until: now.Add(recheck)}
	}
	if now.Before(m.heldUntil) {
		return Step{Until: m.heldUntil}
	}
	if m.state == nil || !now.Before(m.again) {
		if m.state == nil && now.Before(m.again) {
			return Step{Until: m.again}
		}
		m.busy = true
		return Step{ReadState: true}
	}
	o, ok := m.decide(now)
	if !ok {
		return Step{Until: m.again}
	}
	o.Fence, o.NotAfter = m.offset, now.Add(maxAge)
	if o.fetches() && m.without != LoadSpacing {
		start, end := m.loadTime(now)
		if start.After(now) {
			return Step{Until: minTime(start, m.again)}
		}
		o.NotAfter = minTime(o.NotAfter, end)
		m.loadedAt = now
	}
	m.busy = true
	return Step{Order: &o}
}

// fetches reports whether the order makes the engine read the weight store.
func (o Order) fetches() bool { return o.Kind == Load || o.Kind == LoadAdapter }

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// loadTime returns the next time span in which this endpoint may start a load.
func (m *Machine) loadTime(now time.Time) (start, end time.Time) {
	from := now
	if len(m.members) == 0 {
		from = now.Add(settle) // the list has not been read yet
	}
	for _, t := range []time.Time{m.settled, m.loadedAt.Add(m.spacing)} {
		if t.After(from) {
			from = t
		}
	}
	return newSlots(m.spacing, m.self, m.members).next(from)
}

// decide returns the next order that the state calls for. Loads go first and
// unloads last, so that the engine always has a version to serve.
func (m *Machine) decide(now time.Time) (Order, bool) {
	s, w := m.state, m.wanted
	if s.Fence > m.offset {
		// Another process of this side knew a newer configuration.
		return Order{}, false
	}
	if len(s.Loading) > 0 {
		return Order{}, false
	}
	for _, v := range w.Versions {
		if !slices.Contains(s.Loaded, v) {
			return Order{Kind: Load, Version: v}, true
		}
	}
	for _, a := range w.Adapters {
		if !slices.Contains(s.Adapters, a) {
			return Order{Kind: LoadAdapter, Adapter: a}, true
		}
	}
	if w.Role != "" && w.Role != s.Role {
		return Order{Kind: SetRole, Role: w.Role}, true
	}
	if len(w.Versions) == 0 || now.Sub(m.changed) < unloadDelay {
		return Order{}, false
	}
	for _, a := range s.Adapters {
		if !slices.Contains(w.Adapters, a) {
			return Order{Kind: UnloadAdapter, Adapter: a}, true
		}
	}
	for _, v := range s.Loaded {
		if !slices.Contains(w.Versions, v) {
			return Order{Kind: Unload, Version: v}, true
		}
	}
	return Order{}, false
}

// SetState takes the state that was read back, or nil after a failure.
func (m *Machine) SetState(now time.Time, s *State) {
	m.busy, m.state = false, s
	m.again = now.Add(recheck)
	if s == nil || len(s.Loading) > 0 {
		m.again = now.Add(readPause)
	}
}

// OrderDone takes the end of an order. Whether its answer was lost does not matter:
// the state is read back before the next one.
func (m *Machine) OrderDone(now time.Time, failed bool) {
	m.busy = false
	if m.without == ReadBack {
		return
	}
	m.state = nil
	m.again = now
	if failed {
		m.again = now.Add(readPause)
	}
}

// StillValid reports whether an order may still be sent, given what the side knows
// at the time of sending. It is checked by the source right before the send.
func StillValid(o Order, known int64, now time.Time) bool {
	return o.Fence >= known && !now.After(o.NotAfter)
}
