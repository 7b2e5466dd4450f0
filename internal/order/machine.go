package order

import (
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Kind is the kind of an order.
type Kind string

// The kinds of order, named as in the engine API.
const (
	Load          Kind = "load"
	Unload        Kind = "unload"
	LoadAdapter   Kind = "load_adapter"
	UnloadAdapter Kind = "unload_adapter"
	SetRole       Kind = "role"
)

// Order is an order to an engine.
type Order struct {
	Fence    int64 // offset of the configuration from which the order was derived
	Kind     Kind
	Version  model.Version
	Adapter  string
	Role     string
	NotAfter time.Time // deadline for sending, by the clock of this process; after it the order is dropped
}

// State is the state of an engine as read back from it.
type State struct {
	Fence    int64 // highest fence that the engine accepted; 0 if it does not store fences
	Loaded   []model.Version
	Loading  []model.Version
	Adapters []string
	Role     string
}

// Step is the next action of the source, the goroutine that talks to the engine:
// send Order if it is set, else read the state if ReadState is set, else wait until
// Until.
type Step struct {
	Order     *Order
	ReadState bool
	Until     time.Time
}

// Times of a machine.
const (
	readRetryInterval = time.Second      // between reads while a load is in progress, and after a failure
	readInterval      = 30 * time.Second // between reads when there is nothing to do, to detect a restarted engine
	unloadDelay       = time.Minute      // after the target changed, before anything is unloaded, so that streams can end
	// membersStableTime is how long the members of the pool must be unchanged before
	// a load. The instance lists of different processes disagree for seconds; twice
	// that is safe.
	membersStableTime = 10 * time.Second
	// pauseThreshold is the time between two ticks above which the process counts
	// as paused. Ticks come every 100 ms.
	pauseThreshold = 2 * time.Second
	// pauseBackoff is how long no orders are sent after a pause of the process. In
	// this time a newer configuration arrives from the log or from a peer, which
	// takes at most 4 s.
	pauseBackoff = 4 * time.Second
	// maxOrderAge is the age above which an order is dropped instead of sent.
	maxOrderAge = 2 * time.Second
)

// Mechanism names a mechanism of a Machine that a test can disable to show that
// its check fails without it.
type Mechanism string

// The mechanisms of a Machine.
const (
	FenceCheck  Mechanism = "gate"     // orders with a fence below the last change of the target are dropped
	LoadSpacing Mechanism = "spacing"  // loads wait for their slot
	ReadBack    Mechanism = "readback" // the state is read back before the next order
)

// Machine is the state machine that decides the orders to one engine. It belongs
// to the control goroutine.
type Machine struct {
	self     model.EndpointID
	pool     model.Pool
	disabled Mechanism

	configOffset    int64 // offset of the accepted configuration
	target          Target
	targetOffset    int64     // configuration offset at which target last changed
	targetChangedAt time.Time // when target last changed
	loadSpacing     time.Duration

	members         []model.EndpointID
	membersStableAt time.Time // no loads until then; reset when the members change

	state        *State    // nil if it must be read back first
	lastLoadAt   time.Time // when the last order to load was decided
	stepPending  bool      // the source has not reported the end of the last step
	nextReadAt   time.Time
	lastTick     time.Time
	backoffUntil time.Time // no steps until then
}

// New returns the machine of an engine. Tests pass a mechanism to disable.
func New(self model.EndpointID, pool model.Pool, disabled ...Mechanism) *Machine {
	m := &Machine{self: self, pool: pool, configOffset: config.NoBase, targetOffset: config.NoBase}
	for _, d := range disabled {
		m.disabled = d
	}
	return m
}

// MinFence returns the lowest valid fence of an order: the configuration offset at
// which the target last changed.
func (m *Machine) MinFence() int64 { return m.targetOffset }

// SetConfig sets the accepted configuration.
func (m *Machine) SetConfig(now time.Time, c *config.Accepted) {
	target := DeriveTarget(c.Lists, m.pool)
	if m.configOffset == config.NoBase || !target.Equal(m.target) {
		m.target, m.targetOffset, m.targetChangedAt = target, c.Offset, now
		m.nextReadAt = now
	}
	m.configOffset, m.loadSpacing = c.Offset, c.Lists.Pools[m.pool].LoadSpacing
}

// SetMembers sets the endpoints of the pool.
func (m *Machine) SetMembers(now time.Time, members []model.EndpointID) {
	sorted := slices.Sorted(slices.Values(members))
	if !slices.Equal(sorted, m.members) || m.membersStableAt.IsZero() {
		m.members, m.membersStableAt = sorted, now.Add(membersStableTime)
	}
}

// Tick detects a pause of the process. After a pause the target may be stale until
// a newer configuration had time to arrive.
func (m *Machine) Tick(now time.Time) {
	if now.Sub(m.lastTick) > pauseThreshold && m.disabled != FenceCheck {
		m.backoffUntil = now.Add(pauseBackoff)
		m.state = nil
	}
	// A member may have been added and removed again during the pause, so that the
	// list looks unchanged while other sides still compute slots from another one.
	if now.Sub(m.lastTick) > pauseThreshold {
		m.membersStableAt = now.Add(membersStableTime)
	}
	m.lastTick = now
}

// Next returns the next step. The source must report the end of a step with
// SetState or OrderDone before the next step starts.
func (m *Machine) Next(now time.Time) Step {
	if m.stepPending || m.configOffset == config.NoBase {
		return Step{Until: now.Add(readInterval)}
	}
	if now.Before(m.backoffUntil) {
		return Step{Until: m.backoffUntil}
	}
	if m.state == nil || !now.Before(m.nextReadAt) {
		if m.state == nil && now.Before(m.nextReadAt) {
			return Step{Until: m.nextReadAt}
		}
		m.stepPending = true
		return Step{ReadState: true}
	}
	o, ok := m.decide(now)
	if !ok {
		return Step{Until: m.nextReadAt}
	}
	o.Fence, o.NotAfter = m.configOffset, now.Add(maxOrderAge)
	if o.readsWeightStore() && m.disabled != LoadSpacing {
		start, end := m.nextLoadWindow(now)
		if start.After(now) {
			return Step{Until: earlierTime(start, m.nextReadAt)}
		}
		o.NotAfter = earlierTime(o.NotAfter, end)
		m.lastLoadAt = now
	}
	m.stepPending = true
	return Step{Order: &o}
}

// readsWeightStore reports whether the engine reads from the weight store to carry
// out the order.
func (o Order) readsWeightStore() bool { return o.Kind == Load || o.Kind == LoadAdapter }

func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// nextLoadWindow returns the next time window in which this endpoint may start a
// load.
func (m *Machine) nextLoadWindow(now time.Time) (start, end time.Time) {
	from := now
	if len(m.members) == 0 {
		from = now.Add(membersStableTime) // the instance list has not been read yet
	}
	for _, t := range []time.Time{m.membersStableAt, m.lastLoadAt.Add(m.loadSpacing)} {
		if t.After(from) {
			from = t
		}
	}
	return newLoadSlots(m.loadSpacing, m.self, m.members).next(from)
}

// decide returns the next order that brings the state closer to the target, if
// any. Loads come first and unloads last, so that the engine always has a version
// to serve.
func (m *Machine) decide(now time.Time) (Order, bool) {
	state, target := m.state, m.target
	if state.Fence > m.configOffset {
		// Another process of this side has sent an order from a newer configuration.
		return Order{}, false
	}
	if len(state.Loading) > 0 {
		return Order{}, false
	}
	for _, v := range target.Versions {
		if !slices.Contains(state.Loaded, v) {
			return Order{Kind: Load, Version: v}, true
		}
	}
	for _, a := range target.Adapters {
		if !slices.Contains(state.Adapters, a) {
			return Order{Kind: LoadAdapter, Adapter: a}, true
		}
	}
	if target.Role != "" && target.Role != state.Role {
		return Order{Kind: SetRole, Role: target.Role}, true
	}
	if len(target.Versions) == 0 || now.Sub(m.targetChangedAt) < unloadDelay {
		return Order{}, false
	}
	for _, a := range state.Adapters {
		if !slices.Contains(target.Adapters, a) {
			return Order{Kind: UnloadAdapter, Adapter: a}, true
		}
	}
	for _, v := range state.Loaded {
		if !slices.Contains(target.Versions, v) {
			return Order{Kind: Unload, Version: v}, true
		}
	}
	return Order{}, false
}

// SetState ends a step that reads the state. s is nil if the read failed.
func (m *Machine) SetState(now time.Time, s *State) {
	m.stepPending, m.state = false, s
	m.nextReadAt = now.Add(readInterval)
	if s == nil || len(s.Loading) > 0 {
		m.nextReadAt = now.Add(readRetryInterval)
	}
}

// OrderDone ends a step that sends an order. Whether the answer was lost does not
// matter, since the state is read back before the next order.
func (m *Machine) OrderDone(now time.Time, failed bool) {
	m.stepPending = false
	if m.disabled == ReadBack {
		return
	}
	m.state = nil
	m.nextReadAt = now
	if failed {
		m.nextReadAt = now.Add(readRetryInterval)
	}
}

// StillValid reports whether an order may still be sent at now, given the current
// MinFence of the machine. The source checks it immediately before sending.
func StillValid(o Order, minFence int64, now time.Time) bool {
	return o.Fence >= minFence && !now.After(o.NotAfter)
}
