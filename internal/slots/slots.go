// Package slots decides which router may use the slots of a pool that has few of them
// relative to the number of routers. One router, the home of the pool, hands out credits:
// a credit lets a router keep one request at an endpoint for as long as its lease lasts.
// Routers state their demand to the home, queue what they have no credit for, and use a
// fixed share of the slots while the home does not answer. Credits exceed the slots by
// the queue of the endpoint, so a slot does not wait for an exchange between routers.
//
// A credit is a hint for order: an endpoint rejects what it has no room for, whatever the
// credits say.
package slots

import "time"

// Levels is the number of priority levels. Less urgent requests count in the last one.
const Levels = 10

// Level is the number of requests of one priority that a router has.
type Level struct{ Running, Waiting int }

// Demand is what a router states to the home of a pool. Each demand replaces the one
// before, so a lost one needs no repetition of its own.
type Demand struct {
	Number   uint32 // increases with each demand of the router
	Applied  uint32 // number of the grant that is in force at the router
	Rejected int    // requests that full endpoints rejected since the last demand
	Running  map[uint32]int
	Levels   [Levels]Level
}

// total returns the requests that the router has at endpoints or waiting, and those
// waiting.
func (d Demand) total() (all, waiting int) {
	for _, l := range d.Levels {
		all += l.Running + l.Waiting
		waiting += l.Waiting
	}
	return all, waiting
}

// Grant is what the home lets a router use.
type Grant struct {
	Number  uint32
	Demand  uint32         // number of the last demand of the receiver
	Credits map[uint32]int // requests that it may keep at each endpoint, by endpoint hash
	// Gap is the average time between two demands of a router, so that the messages of
	// the home do not grow with the number of routers.
	Gap time.Duration
	// Cut is the most urgent level whose demand the credits do not meet, or Levels if
	// there is none. Less urgent requests may use credits only, and no share of the
	// router's own.
	Cut int
	// Spare is the number of requests that a router may keep at endpoints beyond its
	// credits and its share, from credits that no router needs.
	Spare int
	// Queue is the percentage of the configured queue of the endpoints that is used, since
	// rejections cut it.
	Queue int
}

// contended reports whether the demand of all routers exceeds the credits.
func (g Grant) contended() bool { return g.Cut < Levels }

// Config holds the parameters of a home and its routers.
type Config struct {
	Lease  time.Duration // validity of a grant, at least
	Answer time.Duration // after which a router no longer waits for the home
	Queue  float64       // credits beyond the slots of an endpoint, as a multiple of them
	// PoolFactor is the number of slots for each router below which a pool has few.
	PoolFactor float64
}

const (
	// minCredits is the number of credits for each router from which slots are granted. A
	// router without a credit waits for the next answer of the home, which in a fleet of 46
	// takes longer than a call may: with 0.98 credits for each up to 0.087 of the requests
	// were refused that endpoints would have answered.
	minCredits = 1.25
	// evidenceShare is the part of the slots of a pool and the queues of its endpoints from
	// which a load causes grants, and the part of the slots down to which they stay in
	// force. Below the first, endpoints take what comes, and a router that waits for a
	// credit would be later than without. Ending there too would have grants come and go
	// while endpoints have shorter queues than configured.
	evidenceShare = 0.9
)

// room returns the requests that the endpoints with the given slots may run or have waiting.
func (c Config) room(slots int) float64 { return (1 + c.Queue) * float64(slots) }

// Grants reports whether the slots of a pool are granted: they are few relative to the
// number of routers, but enough for the credits to reach most of them.
func (c Config) Grants(slots, routers int) bool {
	return slots > 0 && float64(slots) < c.PoolFactor*float64(routers) && c.room(slots) >= minCredits*float64(routers)
}

// IsLoaded reports whether the load of a pool, in requests of all routers, causes grants or
// keeps them in force.
func (c Config) IsLoaded(load float64, slots int, inForce bool) bool {
	bound := c.room(slots)
	if inForce {
		bound = float64(slots)
	}
	return slots > 0 && load >= evidenceShare*bound
}

// Endpoint is an endpoint of the pool.
type Endpoint struct {
	Hash  uint32
	Slots int
	Avoid bool // it failed or rejected a request of this router lately
}

const (
	// gapPerRouter times the number of routers that state a demand is the average time
	// between two demands of one of them. With 12 ms the home receives and sends 83
	// datagrams of about 80 bytes a second each, 6.6 KB, whatever the number of routers.
	gapPerRouter = 15 * time.Millisecond
	minGap       = 50 * time.Millisecond
	// leaseGaps is the length of a lease in gaps, and renewShare the part of a lease
	// after which a router renews it. So a renewal may be lost twice, and half of a
	// router's demands are left for changes.
	leaseGaps  = 6
	renewShare = 3
	// messageBurst is the number of demands that a router may send at once.
	messageBurst = 3
)

// leaseFor returns the length of a lease for a gap.
func (c Config) leaseFor(gap time.Duration) time.Duration { return max(c.Lease, leaseGaps*gap) }

// gapFor returns the gap for a number of routers.
func gapFor(routers int) time.Duration {
	return max(minGap, time.Duration(routers)*gapPerRouter)
}

// bucket bounds the rate of messages.
type bucket struct {
	tokens float64
	at     time.Duration
}

// fill adds the tokens that came since the last call: one every gap, up to burst.
func (b *bucket) fill(now, gap time.Duration, burst float64) {
	b.tokens = min(burst, b.tokens+float64(now-b.at)/float64(gap))
	b.at = now
}

// take takes a token if there is one.
func (b *bucket) take(now, gap time.Duration, burst float64) bool {
	b.fill(now, gap, burst)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

const (
	// rejectionPause is the shortest time between two cuts of the credits. Requests that
	// are on their way when a cut is made are rejected too.
	rejectionPause = 500 * time.Millisecond
	// queueRecovery is the time in which a queue that was cut to nothing is used again.
	queueRecovery = 20 * time.Second
	// queueCut is what a cut leaves of the queue.
	queueCut = 0.5
)

// queueScale is the part of the configured queue of an endpoint that is used. Rejections
// reduce it, since an endpoint may have a shorter queue than configured or requests of
// routers without credits.
type queueScale struct {
	cut   time.Duration // when it was cut last
	value float64       // after that cut
	known bool
}

func (q *queueScale) at(now time.Duration) float64 {
	if !q.known {
		return 1
	}
	return min(1, q.value+float64(now-q.cut)/float64(queueRecovery))
}

func (q *queueScale) reject(now time.Duration) {
	if q.known && now-q.cut < rejectionPause {
		return
	}
	q.value, q.cut, q.known = q.at(now)*queueCut, now, true
}

// capacity returns the credits of an endpoint.
func (c Config) capacity(slots int, scale float64) int {
	return slots + int(c.Queue*float64(slots)*scale+0.5)
}
