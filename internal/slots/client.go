package slots

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// evidenceTime is how long rejections or load near the slots keep the credits in
	// force. It spans several load reports of the peers.
	evidenceTime = 2 * time.Second
	// settleTime is the time after which no requests are left at the endpoints that were
	// sent before the credits came into force.
	settleTime = 500 * time.Millisecond
	// agingPeriod is the number of starts of which one takes the request that has waited
	// longest, whatever its priority, so that no level starves.
	agingPeriod = 16
	// firstWorkTime is the time that a request takes before one has ended.
	firstWorkTime = 50 * time.Millisecond
	// workTimeWeight is the weight of the newest request in the average.
	workTimeWeight = 0.1
	// maxReturn bounds the time after which a refused caller is asked to come back.
	maxReturn = 5 * time.Second
	// minReturn keeps callers that were refused from coming back while the same requests
	// wait.
	minReturn = 50 * time.Millisecond
	// sharedStart is the part of the credits of the pool that a router assumes it can get
	// while the home says that they are not contended.
	sharedStart = 0.25
	// minRate is the lowest rate, a second, at which a router expects to start requests.
	minRate = 0.05
	// sentDemands is the number of sent demands whose times are kept.
	sentDemands = 16
	// shrinkMargin is the number of requests by which the demand has to be lower than stated
	// before that is worth a message.
	shrinkMargin = 2
	// demandPause is the shortest time between two demands. A request that arrives while
	// the answer to one is on its way is stated in the next one.
	demandPause = 10 * time.Millisecond
)

// Request is a request that needs a slot.
type Request struct {
	ID       uint64
	Priority int // 0 is the most urgent
	Arrived  time.Duration
	// Target is the time by which the answer is in time; 0 stands for Limit.
	Target time.Duration
	// Limit is the time by which the request must have been answered to be of use.
	Limit    time.Duration
	Excluded []uint32 // endpoints at which an earlier attempt ended
}

// target returns the time by which the answer is in time.
func (r Request) target() time.Duration { return cmp.Or(r.Target, r.Limit) }

// Start says that a request may be sent, to Endpoint if that is not 0.
type Start struct {
	ID       uint64
	Endpoint uint32
}

// Refusal says that a request cannot be answered in time.
type Refusal struct {
	ID         uint64
	RetryAfter time.Duration
}

// Step is what a client decided.
type Step struct {
	Starts   []Start
	Refusals []Refusal
	Demand   *Demand // to be sent to the home; nil if none
}

// Client is a router's side of one pool. Its methods must be called by one goroutine at a
// time, with the boot time.
type Client struct {
	config    Config
	endpoints []Endpoint
	routers   int // number of routers, this one included
	rank      int // of this router among them for the pool
	home      string

	queue   []Request // by urgency, limit and arrival
	running map[uint64]placed
	counts  map[uint32]int // running requests by endpoint
	levels  [Levels]int    // running requests by level
	starts  int            // requests that were started

	credits    map[uint32]int
	grant      Grant
	leaseEnd   time.Duration
	number     uint32 // of the last demand
	sent       []sentDemand
	stated     Demand        // the last demand
	statedAt   time.Duration // when it was sent
	answered   uint32        // number of the last demand that was answered
	messages   bucket
	evidence   time.Duration // until which the credits are in force
	engaged    time.Duration // since when
	rejected   int           // since the last demand
	scale      queueScale
	workTime   time.Duration
	arriving   [Levels]recent
	refused    [Levels]recent // requests
	nextOwn    time.Duration  // when a router whose share is below one may start a request
	nextReturn time.Duration  // when the next refused caller may come back
}

// placed is a running request.
type placed struct {
	endpoint uint32
	level    int
	at       time.Duration
}

// recent is a number of events that decays with the time over.
type recent struct {
	count float64
	at    time.Duration
}

func (r *recent) decay(now, over time.Duration) float64 {
	r.count *= math.Exp(-float64(now-r.at) / float64(over))
	r.at = now
	return r.count
}

func (r *recent) add(now, over time.Duration) {
	r.decay(now, over)
	r.count++
}

const (
	// rateTime is the time over which arrivals are counted.
	rateTime = time.Second
	// refusedTime is the time over which refused requests count as demand. Without them a
	// pool that refuses most requests would look as if nobody waited for it.
	refusedTime = 200 * time.Millisecond
)

type sentDemand struct {
	number uint32
	at     time.Duration
}

// NewClient returns a client without endpoints. Its demands are numbered from the boot
// time, so that those of a process before a restart are older.
func NewClient(now time.Duration, c Config) *Client {
	return &Client{config: c, routers: 1, running: map[uint64]placed{}, counts: map[uint32]int{}, credits: map[uint32]int{},
		number: uint32(now / time.Millisecond), workTime: firstWorkTime, messages: bucket{tokens: messageBurst, at: now}}
}

// SetPool sets what the router knows of the pool: its endpoints, the number of routers, its
// own rank among them for the pool, and the name of the home.
func (c *Client) SetPool(endpoints []Endpoint, routers, rank int, home string) {
	c.endpoints, c.routers, c.rank = endpoints, max(1, routers), rank
	if home != c.home {
		// The new home does not know the credits of the former one.
		c.home, c.credits, c.leaseEnd, c.answered = home, map[uint32]int{}, 0, c.number
		c.grant, c.stated, c.statedAt, c.sent = Grant{}, Demand{}, 0, nil
	}
}

// SetConfig sets the parameters.
func (c *Client) SetConfig(config Config) { c.config = config }

// RecordEvidence records that the pool is near its slots or that an endpoint rejected a
// request. Requests need no credit unless that was so lately.
func (c *Client) RecordEvidence(now time.Duration) {
	if !c.Engaged(now) {
		c.engaged = now
	}
	c.evidence = now + evidenceTime
}

// RecordRejection records that a full endpoint rejected a request of this router.
func (c *Client) RecordRejection(now time.Duration) {
	c.RecordEvidence(now)
	if now-c.engaged < settleTime {
		return // requests that were sent without credits say nothing about these
	}
	c.rejected++
	c.scale.reject(now)
}

// Engaged reports whether requests need credits.
func (c *Client) Engaged(now time.Duration) bool { return now < c.evidence }

// Waiting returns the number of waiting requests.
func (c *Client) Waiting() int { return len(c.queue) }

// Running returns the number of requests that were started and have not ended.
func (c *Client) Running() int { return len(c.running) }

// Arrive adds a request. The step that follows starts it, refuses it, or leaves it in the
// queue.
func (c *Client) Arrive(now time.Duration, r Request) []Refusal {
	c.arriving[level(r.Priority)].add(now, rateTime)
	at, _ := slices.BinarySearchFunc(c.queue, r, before)
	c.queue = slices.Insert(c.queue, at, r)
	if !c.Engaged(now) {
		return nil
	}
	return c.refuseLate(now, at)
}

// before is the order of the queue.
func before(a, b Request) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.target(), b.target()), cmp.Compare(a.ID, b.ID))
}

// Leave removes a request that waits no longer.
func (c *Client) Leave(id uint64) {
	c.queue = slices.DeleteFunc(c.queue, func(r Request) bool { return r.ID == id })
}

// End ends a request that was started. answered says that its time counts for how long
// requests take.
func (c *Client) End(now time.Duration, id uint64, answered bool) {
	p, ok := c.running[id]
	if !ok {
		return
	}
	delete(c.running, id)
	c.levels[p.level]--
	if c.counts[p.endpoint]--; c.counts[p.endpoint] == 0 {
		delete(c.counts, p.endpoint)
	}
	if answered {
		c.workTime += time.Duration(workTimeWeight * float64(now-p.at-c.workTime))
	}
}

// ApplyGrant applies a grant of the router named from, unless that is not the home, the
// grant is older than the last one, or its lease has ended.
func (c *Client) ApplyGrant(now time.Duration, from string, g Grant) {
	if from != c.home || c.leaseEnd > 0 && !newer(g.Number, c.grant.Number) {
		return
	}
	i := slices.IndexFunc(c.sent, func(s sentDemand) bool { return s.number == g.Demand })
	if i < 0 {
		return
	}
	end := c.sent[i].at + c.config.leaseFor(g.Gap)
	if now >= end {
		return
	}
	c.grant, c.leaseEnd, c.credits = g, end, g.Credits
	if newer(g.Demand, c.answered) {
		c.answered = g.Demand
	}
}

// leased reports whether the router has a grant that is in force.
func (c *Client) leased(now time.Duration) bool { return now < c.leaseEnd }

// silent reports whether the home has left a demand unanswered for too long.
func (c *Client) silent(now time.Duration) bool {
	for _, s := range c.sent {
		if newer(s.number, c.answered) {
			return now-s.at >= c.config.Answer
		}
	}
	return false
}

// ownShare returns the requests that the router may keep at endpoints without a grant: its
// equal part of all credits. The routers whose rank is below the remainder of the division
// have one more. With less than one credit for each router, the others have none.
func (c *Client) ownShare(now time.Duration) int {
	credits := c.total(now)
	share := credits / c.routers
	if c.rank < credits%c.routers {
		share++
	}
	return share
}

// total returns the credits of the pool.
func (c *Client) total(now time.Duration) int {
	n, scale := 0, c.scale.at(now)
	if c.leased(now) {
		scale = float64(c.grant.Queue) / 100
	}
	for _, e := range c.endpoints {
		n += c.config.capacity(e.Slots, scale)
	}
	return n
}

// place returns the endpoint for a request, or false if it has to wait.
func (c *Client) place(now time.Duration, r Request) (uint32, bool) {
	if !c.Engaged(now) || len(c.endpoints) == 0 {
		return 0, true
	}
	if c.leased(now) {
		// Requests that were sent before the grants came into force have no endpoint here.
		if e, ok := c.unused(r); ok && len(c.running) < sum(c.credits) {
			return e, true
		}
		if level(r.Priority) > c.grant.Cut && !c.silent(now) {
			return 0, false
		}
	}
	share := c.ownShare(now)
	if c.leased(now) {
		share += c.grant.Spare
	}
	switch {
	case len(c.running) < share:
		return c.leastUsed(r), true
	case share == 0 && len(c.running) == 0 && now >= c.nextOwn && c.silent(now):
		return c.leastUsed(r), true
	}
	return 0, false
}

// unused returns the endpoint with the most unused credits, one that is not excluded if
// possible.
func (c *Client) unused(r Request) (uint32, bool) {
	var out uint32
	top, found := 0, false
	for _, e := range c.endpoints {
		free := c.credits[e.Hash] - c.counts[e.Hash]
		if free <= 0 {
			continue
		}
		value := 2 * free
		if e.Avoid || slices.Contains(r.Excluded, e.Hash) {
			value -= 1 << 16
		}
		if !found || value > top {
			out, top, found = e.Hash, value, true
		}
	}
	return out, found
}

// leastUsed returns the endpoint with the fewest requests of this router, relative to its
// slots. Routers begin at different endpoints.
func (c *Client) leastUsed(r Request) uint32 {
	var out uint32
	top, found := 0.0, false
	for i := range c.endpoints {
		e := c.endpoints[(i+c.rank+c.starts)%len(c.endpoints)]
		value := -float64(c.counts[e.Hash]) / float64(max(1, e.Slots))
		if e.Avoid || slices.Contains(r.Excluded, e.Hash) {
			value -= 1 << 16
		}
		if !found || value > top {
			out, top, found = e.Hash, value, true
		}
	}
	return out
}

// rate returns the requests that this router can start in a second.
func (c *Client) rate(now time.Duration) float64 {
	n := float64(c.total(now)) / float64(c.routers)
	if c.leased(now) {
		n = max(n, float64(sum(c.credits)))
		if !c.grant.contended() {
			n = max(n, sharedStart*float64(c.total(now)))
		}
	}
	return max(n/c.workTime.Seconds(), minRate)
}

// refuseLate removes and refuses the requests from position from of the queue that cannot
// be answered in time, nor by their limit with the slots that others leave which can.
func (c *Client) refuseLate(now time.Duration, from int) (out []Refusal) {
	rate := c.rate(now)
	kept := c.queue[:from]
	for _, r := range c.queue[from:] {
		_, starts := c.place(now, r)
		left := rate // what more urgent requests leave
		for l := range level(r.Priority) {
			left -= c.arriving[l].decay(now, rateTime) / rateTime.Seconds()
		}
		wait := time.Duration(float64(len(kept)+1) / max(left, minRate) * float64(time.Second))
		late := left - c.arriving[level(r.Priority)].decay(now, rateTime)/rateTime.Seconds()
		if starts && len(kept) == 0 || now+wait+c.workTime <= r.target() || late > 0 && now+c.workTime+time.Duration(float64(len(kept)+1)/late*float64(time.Second)) <= r.Limit {
			kept = append(kept, r)
			continue
		}
		out = append(out, c.refuse(now, r, rate))
	}
	c.queue = kept
	return out
}

// refuse returns the refusal of a request. Refused callers come back one after the other
// at the rate at which this router starts requests.
func (c *Client) refuse(now time.Duration, r Request, rate float64) Refusal {
	c.refused[level(r.Priority)].add(now, refusedTime)
	c.nextReturn = min(max(c.nextReturn, now+minReturn)+time.Duration(float64(time.Second)/rate), now+maxReturn)
	return Refusal{ID: r.ID, RetryAfter: c.nextReturn - now}
}

// Step refuses the requests that waited too long, starts those that may be sent, and
// returns the demand that is due.
func (c *Client) Step(now time.Duration) Step {
	var out Step
	if c.Engaged(now) {
		c.queue = slices.DeleteFunc(c.queue, func(r Request) bool {
			late := r.Arrived < now && now+c.workTime > r.Limit
			if late {
				out.Refusals = append(out.Refusals, c.refuse(now, r, c.rate(now)))
			}
			return late
		})
	}
	for len(c.queue) > 0 {
		i := c.first(now)
		if (c.starts+1)%agingPeriod == 0 {
			i = c.oldest()
		}
		r := c.queue[i]
		e, ok := c.place(now, r)
		if !ok {
			break
		}
		c.queue = slices.Delete(c.queue, i, i+1)
		c.begin(now, r, e)
		out.Starts = append(out.Starts, Start{ID: r.ID, Endpoint: e})
	}
	if c.due(now) {
		out.Demand = c.demand(now)
	}
	return out
}

// first returns the position of the next request to start: of the most urgent ones the first
// that can be answered in time, or the first if none can. Late ones get the slots that are
// left, since with the others waiting behind them all would become late.
func (c *Client) first(now time.Duration) int {
	for i, r := range c.queue {
		if r.Priority != c.queue[0].Priority {
			break
		}
		if now+c.workTime <= r.target() {
			return i
		}
	}
	return 0
}

// oldest returns the position of the request that has waited longest.
func (c *Client) oldest() int {
	out := 0
	for i, r := range c.queue {
		if r.Arrived < c.queue[out].Arrived {
			out = i
		}
	}
	return out
}

func level(priority int) int { return min(max(priority, 0), Levels-1) }

// begin records a request as running at e.
func (c *Client) begin(now time.Duration, r Request, e uint32) {
	c.starts++
	c.running[r.ID] = placed{e, level(r.Priority), now}
	c.counts[e]++
	c.levels[level(r.Priority)]++
	// A router whose share is below one starts one request without a grant in the time in
	// which the pool serves one of each router.
	c.nextOwn = now + time.Duration(float64(c.workTime)*float64(c.routers)/float64(max(1, c.total(now))))
}

// summary returns the demand without its numbers. Requests that were refused lately count
// as waiting.
func (c *Client) summary(now time.Duration) Demand {
	d := Demand{Rejected: c.rejected, Running: maps.Clone(c.counts)}
	delete(d.Running, 0) // started without an endpoint
	for l, n := range c.levels {
		d.Levels[l].Running = n
	}
	for l := range d.Levels {
		d.Levels[l].Waiting = int(c.refused[l].decay(now, refusedTime) + 0.5)
	}
	for _, r := range c.queue {
		d.Levels[level(r.Priority)].Waiting++
	}
	return d
}

// due reports whether a demand is to be sent now.
func (c *Client) due(now time.Duration) bool {
	if c.home == "" || !c.Engaged(now) || now-c.statedAt < demandPause {
		return false
	}
	gap := max(c.grant.Gap, minGap)
	if c.grant.Gap == 0 {
		gap = gapFor(c.routers)
	}
	lease := c.config.leaseFor(gap)
	renew := now-c.statedAt >= lease/renewShare
	c.messages.fill(now, gap, messageBurst)
	if !renew && !c.changed(now) && !(c.shrunk(now) && c.messages.tokens >= 2) {
		return false
	}
	return c.messages.take(now, gap, messageBurst)
}

// changed reports whether the home should know more than was stated last.
func (c *Client) changed(now time.Duration) bool {
	d := c.summary(now)
	all, waiting := d.total()
	stated, _ := c.stated.total()
	switch {
	case !c.leased(now) || c.silent(now):
		return now-c.statedAt >= c.config.Answer
	case c.rejected > 0:
		return true // the home cuts the credits of all
	case waiting > 0 && all > stated:
		return true
	case waiting > 0 && c.stated.Levels != d.Levels && c.moreUrgent(d):
		return true
	case c.grant.contended() && all < sum(c.credits) && all < stated:
		return true // others wait for the unused credits
	}
	return c.grant.contended() && c.grant.Number != c.stated.Applied && c.within()
}

// shrunk reports whether the router needs much less than was stated. The home would take a
// peak that is over for demand. It is less urgent than what changed reports.
func (c *Client) shrunk(now time.Duration) bool {
	all, waiting := c.summary(now).total()
	stated, _ := c.stated.total()
	return waiting == 0 && all+shrinkMargin <= stated
}

// moreUrgent reports whether more urgent requests wait than were stated.
func (c *Client) moreUrgent(d Demand) bool {
	for l := range Levels {
		if now, was := d.Levels[l].Running+d.Levels[l].Waiting, c.stated.Levels[l].Running+c.stated.Levels[l].Waiting; now != was {
			return now > was
		}
	}
	return false
}

// within reports whether the router uses no more than its credits, so that the home can
// give others those of the grant before.
func (c *Client) within() bool {
	for e, n := range c.counts {
		if e != 0 && n > c.credits[e] {
			return false
		}
	}
	return true
}

// demand returns the next demand and records it as sent.
func (c *Client) demand(now time.Duration) *Demand {
	d := c.summary(now)
	c.number++
	d.Number = c.number
	if c.leased(now) {
		d.Applied = c.grant.Number
	}
	c.rejected = 0
	c.stated, c.statedAt = d, now
	c.sent = append(c.sent, sentDemand{d.Number, now})
	if len(c.sent) > sentDemands {
		c.sent = c.sent[1:]
	}
	return &d
}
