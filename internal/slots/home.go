package slots

import (
	"maps"
	"slices"
	"time"
)

// rotationTime is how long the credits that do not divide evenly stay with the same
// routers.
const rotationTime = time.Second

// maxRouters bounds the routers whose demand is kept, since any host can send one. It is
// far above the 370 of the target size.
const maxRouters = 2048

// spareParts divides the credits that no router needs for the use of those that suddenly
// need some. More than one router may use them until the home has heard of it, so each gets
// between minSpare and maxSpare. Without minSpare routers wait at loads near the capacity,
// where the last demands of some routers are peaks that are over.
const (
	spareParts = 4
	minSpare   = 1
	maxSpare   = 3
)

// pushGap is the average time between two grants that were not asked for.
const pushGap = 2 * gapPerRouter

// Home hands out the credits of one pool. Its methods must be called by one goroutine at a
// time, with the boot time.
type Home struct {
	config    Config
	endpoints map[uint32]int // slots
	routers   map[string]*holder
	sorted    []string // names of routers; nil if they have changed
	number    uint32   // of the last grant
	scale     queueScale
	pushes    bucket
	targets   map[string]int
	cut       int
	spare     int
}

// holder is a router with a demand.
type holder struct {
	demand  Demand
	heard   time.Duration
	expires time.Duration
	grant   uint32         // number of the last grant
	credits map[uint32]int // of that grant
	// held are the credits that the router may use by any grant whose lease has not
	// ended. It is above credits until the router states that it applied the last grant.
	held map[uint32]int
}

// NewHome returns a home without endpoints. Its grants are numbered from the boot time, so
// that those of a process before a restart are older.
func NewHome(now time.Duration, c Config) *Home {
	return &Home{config: c, endpoints: map[uint32]int{}, routers: map[string]*holder{}, number: uint32(now / time.Millisecond)}
}

// SetEndpoints replaces the endpoints of the pool.
func (h *Home) SetEndpoints(list []Endpoint) {
	clear(h.endpoints)
	for _, e := range list {
		h.endpoints[e.Hash] = e.Slots
	}
}

// SetConfig sets the parameters.
func (h *Home) SetConfig(config Config) { h.config = config }

// Routers returns the number of routers whose demand is in force.
func (h *Home) Routers() int { return len(h.routers) }

// Held returns the credits that routers may use at an endpoint.
func (h *Home) Held(endpoint uint32) int {
	n := 0
	for _, r := range h.routers {
		n += r.held[endpoint]
	}
	return n
}

// newer reports whether number a comes after b.
func newer(a, b uint32) bool { return int32(a-b) > 0 }

// Apply applies a demand and returns the grant for it. It returns false if the demand is
// older than the last one.
func (h *Home) Apply(now time.Duration, from string, d Demand) (Grant, bool) {
	h.expire(now)
	r := h.routers[from]
	if r == nil {
		if len(h.routers) >= maxRouters {
			return Grant{}, false
		}
		r = &holder{credits: map[uint32]int{}, held: map[uint32]int{}}
		h.routers[from], h.sorted = r, nil
	} else if !newer(d.Number, r.demand.Number) {
		return Grant{}, false
	}
	r.demand, r.heard = d, now
	if d.Rejected > 0 {
		h.scale.reject(now)
	}
	if d.Applied == r.grant {
		r.held = maps.Clone(r.credits)
	}
	for e, n := range d.Running {
		r.held[e] = max(r.held[e], n)
	}
	h.divide(now)
	h.adjust(now, from, r)
	return h.grant(now, r), true
}

// Push is a grant for a router that did not ask.
type Push struct {
	To    string
	Grant Grant
}

// Push returns grants for routers that did not ask: those that get credits for waiting
// requests, and those that hold unused credits for which others wait. Their number is
// bounded, since the next demand of a router has the same effect.
func (h *Home) Push(now time.Duration) (out []Push) {
	h.expire(now)
	h.pushes.fill(now, pushGap, float64(len(h.routers)))
	if h.pushes.tokens < 1 || !h.waiting() {
		return nil
	}
	h.divide(now)
	free := h.free(now)
	for _, name := range h.names() {
		r := h.routers[name]
		_, waiting := r.demand.total()
		before := sum(r.credits)
		unused := before > 0 && waiting == 0 && before > h.targets[name]
		needs := waiting > 0 && before < h.targets[name] && free > 0
		if !unused && !needs || !h.pushes.take(now, pushGap, float64(len(h.routers))) {
			continue
		}
		h.adjust(now, name, r)
		free = h.free(now)
		if sum(r.credits) != before {
			out = append(out, Push{name, h.grant(now, r)})
		}
	}
	return out
}

// waiting reports whether a router has waiting requests and less than its part.
func (h *Home) waiting() bool {
	for _, r := range h.routers {
		if all, waiting := r.demand.total(); waiting > 0 && sum(r.credits) < all {
			return true
		}
	}
	return false
}

// names returns the names of the routers in order.
func (h *Home) names() []string {
	if h.sorted == nil {
		h.sorted = slices.Sorted(maps.Keys(h.routers))
	}
	return h.sorted
}

// expire removes the routers whose lease has ended.
func (h *Home) expire(now time.Duration) {
	before := len(h.routers)
	maps.DeleteFunc(h.routers, func(_ string, r *holder) bool { return now >= r.expires })
	if len(h.routers) < before {
		h.sorted = nil
	}
}

// divide sets the targets of all routers.
func (h *Home) divide(now time.Duration) {
	names := h.names()
	demands := make([]Demand, len(names))
	for i, name := range names {
		demands[i] = h.routers[name].demand
	}
	credits := 0
	for _, slots := range h.endpoints {
		credits += h.config.capacity(slots, h.scale.at(now))
	}
	parts, cut, unused := divide(credits, demands, int(now/rotationTime))
	h.cut, h.spare, h.targets = cut, 0, make(map[string]int, len(names))
	for i, name := range names {
		h.targets[name] = parts[i]
	}
	if cut == Levels {
		h.spare = min(max(unused/spareParts, minSpare), maxSpare)
	}
}

// free returns the credits that no router may use.
func (h *Home) free(now time.Duration) int {
	n := 0
	for e, slots := range h.endpoints {
		n += max(0, h.config.capacity(slots, h.scale.at(now))-h.Held(e))
	}
	return n
}

// adjust moves the credits of a router towards its target. It adds those that are free
// and removes those that are not in use first.
func (h *Home) adjust(now time.Duration, name string, r *holder) {
	credits := map[uint32]int{}
	for e, n := range r.credits {
		if h.endpoints[e] > 0 {
			credits[e] = n
		}
	}
	target := h.targets[name]
	for n := sum(credits); n > target; n-- {
		e := best(credits, func(e uint32) int { return 1000*(credits[e]-r.demand.Running[e]) + h.Held(e) })
		if credits[e]--; credits[e] == 0 {
			delete(credits, e)
		}
	}
	room := func(e uint32) int { // after one more credit
		n := h.config.capacity(h.endpoints[e], h.scale.at(now)) - h.Held(e)
		if credits[e] >= r.held[e] {
			n-- // one that the router may not use already by an earlier grant
		}
		return n
	}
	for n := sum(credits); n < target; n++ {
		e := best(h.endpoints, room)
		if room(e) < 0 {
			break
		}
		credits[e]++
		r.held[e] = max(r.held[e], credits[e])
	}
	r.credits = credits
}

// best returns the key with the highest value, the lowest of several.
func best(keys map[uint32]int, value func(uint32) int) uint32 {
	var out uint32
	top, found := 0, false
	for e := range keys {
		if v := value(e); !found || v > top || v == top && e < out {
			out, top, found = e, v, true
		}
	}
	return out
}

// grant returns the next grant for a router.
func (h *Home) grant(now time.Duration, r *holder) Grant {
	h.number++
	gap := gapFor(len(h.routers))
	// The router counts its lease from when it sent the demand, which is earlier. It may
	// have got only a grant with a longer lease.
	r.grant, r.expires = h.number, max(r.expires, r.heard+h.config.leaseFor(gap))
	return Grant{Number: h.number, Demand: r.demand.Number, Credits: maps.Clone(r.credits), Gap: gap, Cut: h.cut, Spare: h.spare,
		Queue: int(100 * h.scale.at(now))}
}

func sum(m map[uint32]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}
