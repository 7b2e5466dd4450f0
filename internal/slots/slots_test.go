package slots

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// trial is a fleet of routers before a few endpoints, in steps of a millisecond.
type trial struct {
	routers, endpoints int
	slots, queue       int // of each endpoint; more requests are rejected
	work               time.Duration
	load               float64 // times the capacity
	hot                float64 // part of the requests that arrive at the first eighth of the routers
	loss               float64 // part of the datagrams that are lost
	levels             int
	length             time.Duration
	off                bool // no credits at all
	static             bool // fixed shares, no home
	noCuts             bool // rejections leave the credits as they are
	config             Config
	step               func(*trial, time.Duration)
	levelOf            func(router int) int // nil if levels do not depend on the router
	from               time.Duration        // results count from then on

	random    *rand.Rand
	hotFrom   int // first of the routers at which the hot part arrives
	nodes     []*node
	homeOf    func(i int) int
	busy      [][]job // requests at each endpoint, those in slots first
	datagrams []datagram
	requests  map[uint64]*request
	loads     []int // in flight, each 10 ms

	arrivals, sends, rejections, inTime, late, refused, slowRefusals int
	sent                                                             []int
	idle, busyTime                                                   time.Duration
	byLevel, servedByLevel                                           [Levels]int
	longest                                                          int
}

type node struct {
	client       *Client
	home         *Home
	dead, frozen bool
}

type job struct {
	id    uint64
	until time.Duration
}

type request struct {
	Request
	router, sends int
	queued        bool
}

type datagram struct {
	at       time.Duration
	from, to int
	demand   *Demand
	grant    *Grant
}

const exchangeTime = 10 * time.Millisecond // two messages of 1.4 ms and the work on them

// testConfig has the defaults of the settings.
var testConfig = Config{Lease: time.Second, Answer: 60 * time.Millisecond, Queue: 1.5, PoolFactor: 4}

// never stands for a time that does not end, which turns a bound off.
const never = 24 * time.Hour

func name(i int) string { return fmt.Sprint("router-", i) }

func (f *trial) run() *trial {
	f.random = rand.New(rand.NewPCG(1, 2))
	f.requests, f.busy, f.sent = map[uint64]*request{}, make([][]job, f.endpoints), make([]int, f.routers)
	if f.homeOf == nil {
		f.homeOf = func(int) int { return 0 }
	}
	for range f.routers {
		f.nodes = append(f.nodes, &node{client: NewClient(0, f.config), home: NewHome(0, f.config)})
	}
	next, id := 0.0, uint64(0)
	for now := time.Duration(0); now < f.length; now += time.Millisecond {
		if f.step != nil {
			f.step(f, now)
		}
		f.deliver(now)
		f.serve(now)
		for next -= f.load * float64(f.endpoints*f.slots) / f.work.Seconds() / 1000; next < 0; next += f.random.ExpFloat64() {
			id++
			f.arrive(now, id)
		}
		for i := range f.nodes {
			f.advance(now, i)
		}
		f.measure(now)
	}
	return f
}

func (f *trial) arrive(now time.Duration, id uint64) {
	i := f.random.IntN(f.routers)
	if f.random.Float64() < f.hot {
		i = f.hotFrom + f.random.IntN(max(1, f.routers/8))
	}
	level := f.random.IntN(max(1, f.levels))
	if f.levelOf != nil {
		level = f.levelOf(i)
	}
	r := &request{Request: Request{ID: id, Priority: level, Arrived: now, Limit: now + 5*f.work}, router: i}
	n := f.nodes[i]
	if n.dead || n.frozen {
		return
	}
	f.count(now, &f.arrivals)
	f.count(now, &f.byLevel[level])
	f.requests[id] = r
	r.queued = true
	f.refuse(now, n.client.Arrive(now, r.Request))
}

func (f *trial) count(now time.Duration, n *int) {
	if now >= f.from {
		*n++
	}
}

func (f *trial) refuse(now time.Duration, list []Refusal) {
	for _, r := range list {
		f.count(now, &f.refused)
		if now-f.requests[r.ID].Arrived > f.work {
			f.count(now, &f.slowRefusals)
		}
		delete(f.requests, r.ID)
	}
}

func (f *trial) advance(now time.Duration, i int) {
	n := f.nodes[i]
	if n.dead || n.frozen {
		return
	}
	var list []Endpoint
	for e := range f.endpoints {
		list = append(list, Endpoint{Hash: uint32(e + 1), Slots: f.slots})
	}
	home := ""
	if !f.static && !f.off {
		home = name(f.homeOf(i))
	}
	n.client.SetPool(list, f.routers, i, home)
	n.home.SetEndpoints(list)
	if at := len(f.loads) - 30; !f.off && at >= 0 && f.config.IsLoaded(float64(f.loads[at]), f.endpoints*f.slots, n.client.Engaged(now)) {
		n.client.RecordEvidence(now)
	}
	step := n.client.Step(now)
	f.refuse(now, step.Refusals)
	for _, s := range step.Starts {
		f.send(now, s)
	}
	if step.Demand != nil {
		f.post(now, datagram{from: i, to: f.homeOf(i), demand: step.Demand})
	}
	for _, push := range n.home.Push(now) {
		var to int
		_, _ = fmt.Sscanf(push.To, "router-%d", &to)
		f.post(now, datagram{from: i, to: to, grant: &push.Grant})
	}
}

// send sends a request to its endpoint, and again if that rejects it.
func (f *trial) send(now time.Duration, s Start) {
	r := f.requests[s.ID]
	r.queued = false
	e := int(s.Endpoint) - 1
	if e < 0 {
		e = f.random.IntN(f.endpoints)
	}
	f.count(now, &f.sends)
	r.sends++
	f.longest = max(f.longest, len(f.busy[e])+1)
	if len(f.busy[e]) < f.slots+f.queue {
		f.busy[e] = append(f.busy[e], job{id: s.ID})
		return
	}
	f.count(now, &f.rejections)
	c := f.nodes[r.router].client
	c.End(now, s.ID, false)
	switch {
	case f.off:
	case f.noCuts:
		c.RecordEvidence(now)
	default:
		c.RecordRejection(now)
	}
	if r.Excluded = append(r.Excluded, s.Endpoint); r.sends == 3 {
		f.count(now, &f.refused)
		delete(f.requests, s.ID)
		return
	}
	r.queued = true
	f.refuse(now, c.Arrive(now, r.Request))
}

func (f *trial) serve(now time.Duration) {
	for e, jobs := range f.busy {
		for i := 0; i < len(jobs) && i < f.slots; {
			switch {
			case jobs[i].until == 0:
				jobs[i].until = now + f.work
			case now >= jobs[i].until:
				f.finish(now, jobs[i].id)
				jobs = slices.Delete(jobs, i, i+1)
				continue
			}
			i++
		}
		f.busy[e] = jobs
	}
}

func (f *trial) finish(now time.Duration, id uint64) {
	r := f.requests[id]
	delete(f.requests, id)
	f.nodes[r.router].client.End(now, id, true)
	if now <= r.Limit {
		f.count(now, &f.inTime)
		f.count(now, &f.servedByLevel[r.Priority])
	} else {
		f.count(now, &f.late)
	}
}

func (f *trial) post(now time.Duration, d datagram) {
	if d.from != d.to {
		f.sent[d.from]++
		if f.random.Float64() < f.loss {
			return
		}
	}
	d.at = now + time.Duration(f.random.IntN(4))*time.Millisecond
	f.datagrams = append(f.datagrams, d)
}

func (f *trial) deliver(now time.Duration) {
	list := f.datagrams
	f.datagrams = nil
	for _, d := range list {
		n := f.nodes[d.to]
		switch {
		case n.frozen && !n.dead || now < d.at:
			f.datagrams = append(f.datagrams, d)
		case n.dead:
		case d.grant != nil:
			n.client.ApplyGrant(now, name(d.from), *d.grant)
		default:
			if g, ok := n.home.Apply(now, name(d.from), *d.demand); ok {
				f.post(now, datagram{from: d.to, to: d.from, grant: &g})
			}
		}
	}
}

// measure counts the idle slots while a request has waited for longer than an exchange.
func (f *trial) measure(now time.Duration) {
	all, idle := 0, 0
	for _, jobs := range f.busy {
		all += len(jobs)
		idle += max(0, f.slots-len(jobs))
	}
	if now%(10*time.Millisecond) == 0 {
		f.loads = append(f.loads, all)
	}
	waits := 0
	for _, r := range f.requests {
		if r.queued && !f.nodes[r.router].dead && !f.nodes[r.router].frozen && now-r.Arrived > exchangeTime {
			waits++
		}
	}
	if now < f.from {
		return
	}
	f.idle += time.Duration(min(idle, waits)) * time.Millisecond
	f.busyTime += time.Duration(f.endpoints*f.slots) * time.Millisecond
}

func (f *trial) idlePart() float64 { return f.idle.Seconds() / f.busyTime.Seconds() }

func (f *trial) rejectedPart() float64 { return float64(f.rejections) / float64(max(1, f.sends)) }

// sentPerSecond is the number of datagrams that the busiest router sent.
func (f *trial) sentPerSecond() float64 { return float64(slices.Max(f.sent)) / f.length.Seconds() }

// useful is the part of the capacity that answered in time.
func (f *trial) useful() float64 {
	return float64(f.inTime) * f.work.Seconds() / f.busyTime.Seconds()
}

func (f *trial) String() string {
	return fmt.Sprintf("arrivals %d, sent %d, rejected %.3f, in time %.3f of capacity, late %d, refused %d (%d after a work time), idle while waiting %.4f, longest %d, datagrams/s of the busiest %.0f, by level %v of %v",
		f.arrivals, f.sends, f.rejectedPart(), f.useful(), f.late, f.refused, f.slowRefusals, f.idlePart(), f.longest, f.sentPerSecond(), f.servedByLevel[:3], f.byLevel[:3])
}

func casavolcan(load float64) *trial {
	return &trial{routers: 28, endpoints: 4, slots: 6, queue: 24, work: 60 * time.Millisecond, load: load, levels: 3, length: 10 * time.Second, config: testConfig}
}

func tmesu(load float64) *trial {
	return &trial{routers: 46, endpoints: 3, slots: 6, queue: 24, work: 30 * time.Millisecond, load: load, levels: 1, length: 10 * time.Second, config: testConfig}
}

// tolerance is the part of arrivals that may be rejected by the stated target. The same part
// of the time of the slots may be idle while a request waits.
const tolerance = 0.05

// Guards against rejections and idle slots behind many routers, at loads from half to four
// times the capacity, spread evenly or with 70 in 100 requests at an eighth of the routers,
// and against a throughput in time that falls below 0.9 of its peak in overload.
func TestSlotsAreUsedAndNotOverrun(t *testing.T) {
	for site, pool := range map[string]func(float64) *trial{"28 routers": casavolcan, "46 routers": tmesu} {
		for _, hot := range []float64{0, 0.7} {
			peak := 0.0
			for _, load := range []float64{0.5, 1, 2, 4} {
				f := pool(load)
				f.hot = hot
				f.run()
				t.Logf("%s, load %v, hot %v: %v", site, load, hot, f)
				peak = max(peak, f.useful())
				if f.rejectedPart() >= tolerance || f.idlePart() >= tolerance || load >= 1 && f.useful() < 0.9*peak {
					t.Errorf("%s, load %v, hot %v: too many rejections, idle slots or late answers", site, load, hot)
				}
				// 100 datagrams of less than 110 bytes with headers are 11 KB.
				if f.sentPerSecond() >= 100 {
					t.Errorf("%s, load %v, hot %v: too many datagrams", site, load, hot)
				}
				for level, n := range f.byLevel {
					if n > 0 && f.servedByLevel[level] == 0 {
						t.Errorf("%s, load %v, hot %v: level %d starves", site, load, hot, level)
					}
				}
			}
		}
	}
}

// Guards against a test that passes without the mechanism: without credits most arrivals
// are rejected, and with fixed shares slots are idle while requests wait at few routers.
func TestNeitherSharesNorEndpointsAloneSuffice(t *testing.T) {
	off := casavolcan(4)
	off.off = true
	t.Logf("no credits: %v", off.run())
	static := casavolcan(1)
	static.static, static.hot = true, 0.7
	t.Logf("fixed shares: %v", static.run())
	if off.rejectedPart() < tolerance || static.idlePart() < tolerance && static.useful() > 0.9 {
		t.Errorf("no difference: %v, %v", off, static)
	}
}

// Guards against less urgent requests at one router that are served while more urgent ones
// wait at another, and against the opposite, that they are never served.
func TestUrgencyHoldsAcrossRouters(t *testing.T) {
	run := func(static bool) *trial {
		f := casavolcan(4) // the urgent half alone is twice the capacity
		f.static, f.from = static, time.Second
		f.levelOf = func(router int) int { return router % 2 }
		return f.run()
	}
	f, off := run(false), run(true)
	t.Logf("home: %v", f)
	t.Logf("fixed shares: %v", off)
	part := func(f *trial) float64 {
		return float64(f.servedByLevel[0]) / float64(f.servedByLevel[0]+f.servedByLevel[1])
	}
	if part(f) < 0.75 || f.servedByLevel[1] == 0 || part(off) >= 0.75 {
		t.Errorf("urgent part %.3f, with fixed shares %.3f", part(f), part(off))
	}
}

// Guards against slots that are idle since the home has ended or is frozen, and its last
// grants keep less urgent requests from using them.
func TestRoutersDoWithoutTheirHome(t *testing.T) {
	for _, failure := range []string{"ends", "freezes"} {
		run := func(c Config) *trial {
			f := casavolcan(4)
			f.from = 3500 * time.Millisecond
			f.levelOf = func(router int) int { return router % 2 }
			f.step = func(f *trial, now time.Duration) {
				if now == 3*time.Second { // from now on all requests are less urgent
					f.nodes[0].dead, f.nodes[0].frozen = failure == "ends", failure == "freezes"
					f.load, f.levelOf = 1, func(int) int { return 1 }
					for _, n := range f.nodes {
						n.client.SetConfig(c)
					}
				}
				if now == 8*time.Second {
					f.nodes[0].frozen = false
				}
			}
			return f.run()
		}
		f, off := run(testConfig), run(Config{Lease: never, Answer: never, Queue: testConfig.Queue})
		t.Logf("home %s: %v", failure, f)
		t.Logf("home %s, no bounds: %v", failure, off)
		if f.idlePart() >= tolerance || f.rejectedPart() >= tolerance || off.idlePart() < tolerance {
			t.Errorf("home %s: idle %.3f, without bounds %.3f", failure, f.idlePart(), off.idlePart())
		}
	}
}

// Guards against endpoints that are overrun by the credits of two homes, or since their
// queues are shorter than the settings say. After a cut of short queues slots may be idle.
func TestRejectionsCutTheCredits(t *testing.T) {
	for name, c := range map[string]struct {
		homes, queue int
		config       float64
	}{"two homes": {2, 24, 4}, "short queues": {1, 4, 1.5}} {
		run := func(noCuts bool) *trial {
			f := casavolcan(4)
			f.queue, f.config.Queue, f.noCuts, f.hot, f.from = c.queue, c.config, noCuts, 0.7, 2*time.Second
			f.homeOf = func(i int) int { return i % c.homes }
			return f.run()
		}
		f, off := run(false), run(true)
		t.Logf("%s: %v", name, f)
		t.Logf("%s, no cuts: %v", name, off)
		if f.rejectedPart() >= tolerance || c.homes > 1 && f.idlePart() >= tolerance || off.rejectedPart() < tolerance {
			t.Errorf("%s: rejected %.3f, without cuts %.3f", name, f.rejectedPart(), off.rejectedPart())
		}
	}
}

// Guards against credits that are lost with datagrams, and against a holder that ends with
// most of them.
func TestCreditsSurviveLostDatagramsAndHolders(t *testing.T) {
	run := func(lease time.Duration) *trial {
		f := casavolcan(1)
		f.loss, f.hot, f.config.Lease, f.from = 0.2, 0.7, lease, 6*time.Second
		f.step = func(f *trial, now time.Duration) {
			if now == 3*time.Second {
				for _, n := range f.nodes[1:4] {
					n.dead = true
				}
				f.hotFrom = 20
			}
		}
		return f.run()
	}
	f, off := run(testConfig.Lease), run(never)
	t.Logf("lease ends: %v", f)
	t.Logf("lease does not end: %v", off)
	if f.rejectedPart() >= tolerance || f.idlePart() >= tolerance || off.idlePart() < tolerance && off.useful() >= f.useful() {
		t.Errorf("idle %.3f, without the end of leases %.3f", f.idlePart(), off.idlePart())
	}
}

// Guards against a queue in another order than urgency, the end of the time and arrival,
// against requests that are held although they cannot be answered in time, and against
// refused callers that come back together or before a slot is free.
func TestQueueOrderAndRefusals(t *testing.T) {
	c := NewClient(0, testConfig)
	c.SetPool([]Endpoint{{Hash: 1, Slots: 2}}, 5, 0, "") // 5 credits, one of them for this router
	second := time.Second
	c.Arrive(0, Request{ID: 1, Priority: 9, Limit: second})
	if got := c.Step(0).Starts; len(got) != 1 || got[0].Endpoint != 0 {
		t.Fatalf("a request waits for a grant without load: %v", got)
	}
	c.RecordEvidence(0)
	for id, r := range []Request{{Priority: 2, Limit: second}, {Priority: 0, Limit: 2 * second}, {Priority: 0, Limit: second}, {Priority: 2, Limit: second / 2}} {
		r.ID = uint64(id + 2)
		if refused := c.Arrive(0, r); len(refused) > 0 {
			t.Fatalf("%v is refused although its time is enough", r)
		}
	}
	order := []uint64{1}
	for i := 0; i < 4; i++ {
		now := time.Duration(i+1) * firstWorkTime
		c.End(now, order[i], true)
		for _, s := range c.Step(now).Starts {
			order = append(order, s.ID)
		}
	}
	if !slices.Equal(order, []uint64{1, 4, 3, 5, 2}) {
		t.Errorf("order %v", order)
	}
	last := time.Duration(0)
	for id := uint64(10); id < 20; id++ { // one of them in the time of each request
		for _, r := range c.Arrive(5*firstWorkTime, Request{ID: id, Priority: 5, Limit: 7*firstWorkTime + firstWorkTime/2}) {
			if r.RetryAfter < last+firstWorkTime/2 || r.RetryAfter > maxReturn {
				t.Errorf("the caller after one that returns in %v is to return in %v", last, r.RetryAfter)
			}
			last = r.RetryAfter
		}
	}
	if last == 0 || c.Waiting() > 2 {
		t.Errorf("%d wait, last refused until %v", c.Waiting(), last)
	}
}

// Guards against requests that are refused although they can be answered soon after their
// target, against late ones that delay those still in time, and against late ones that are
// held while the requests in time need all slots.
func TestLateRequestsGetTheSlotsThatAreLeft(t *testing.T) {
	start := func(arrivals int) (c *Client, refused int) {
		c = NewClient(0, testConfig)
		c.SetPool([]Endpoint{{Hash: 1, Slots: 2}}, 5, 0, "") // 5 credits, one of them for this router
		c.RecordEvidence(0)
		c.Arrive(0, Request{ID: 1, Limit: time.Minute})
		c.Step(0)
		for range arrivals {
			c.arriving[level(0)].add(0, rateTime)
		}
		for id := uint64(2); id < 5; id++ { // the target of the last ones has passed when a slot is free
			refused += len(c.Arrive(0, Request{ID: id, Target: firstWorkTime * 5 / 4, Limit: time.Minute}))
		}
		return c, refused
	}
	c, refused := start(0)
	if refused > 0 {
		t.Errorf("%d refused without other load", refused)
	}
	c.Arrive(firstWorkTime, Request{ID: 9, Target: 10 * firstWorkTime, Limit: time.Minute})
	c.End(firstWorkTime, 1, true)
	if got := c.Step(firstWorkTime).Starts; len(got) != 1 || got[0].ID != 9 {
		t.Errorf("started before the request that is in time: %v", got)
	}
	if _, refused := start(1000); refused == 0 {
		t.Error("late requests are held although others take all slots")
	}
}

// Guards against credits that two routers hold at once, whatever datagrams are lost, late,
// repeated or out of order: together the routers would overrun an endpoint.
func TestCreditsInForceNeverExceedTheEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const routers, endpoints, size = 4, 2, 3
		f := &trial{routers: routers, endpoints: endpoints, slots: size, config: Config{Lease: 300 * time.Millisecond, Answer: 60 * time.Millisecond, Queue: 1}}
		home, list := NewHome(0, f.config), []Endpoint{{Hash: 1, Slots: size}, {Hash: 2, Slots: size}}
		home.SetEndpoints(list)
		for range routers {
			f.nodes = append(f.nodes, &node{client: NewClient(0, f.config)})
		}
		var mail []datagram
		var now time.Duration
		id := uint64(0)
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, routers-1).Draw(t, "router")
			c := f.nodes[i].client
			c.SetPool(list, routers, i, "home")
			c.RecordEvidence(now)
			for range rapid.IntRange(0, 8).Draw(t, "arrivals") {
				id++
				c.Arrive(now, Request{ID: id, Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Arrived: now, Limit: now + time.Second})
			}
			for _, running := range slices.Sorted(maps.Keys(c.running)) {
				if rapid.Bool().Draw(t, "ends") {
					c.End(now, running, true)
				}
			}
			if d := c.Step(now).Demand; d != nil {
				mail = append(mail, datagram{from: i, demand: d})
			}
			for _, p := range home.Push(now) {
				to := 0
				_, _ = fmt.Sscanf(p.To, "router-%d", &to)
				mail = append(mail, datagram{to: to, grant: &p.Grant})
			}
			for n := rapid.IntRange(0, 3).Draw(t, "delivered"); n > 0 && len(mail) > 0; n-- {
				k := rapid.IntRange(0, len(mail)-1).Draw(t, "datagram")
				d := mail[k]
				if !rapid.Bool().Draw(t, "again") {
					mail = slices.Delete(mail, k, k+1)
				}
				if d.grant != nil {
					f.nodes[d.to].client.ApplyGrant(now, "home", *d.grant)
				} else if g, ok := home.Apply(now, name(d.from), *d.demand); ok {
					mail = append(mail, datagram{to: d.from, grant: &g})
				}
			}
			for _, e := range list {
				held := 0
				for _, n := range f.nodes {
					if n.client.leased(now) {
						held += n.client.credits[e.Hash]
					}
				}
				if held > f.config.capacity(size, 1) {
					t.Fatalf("%d credits in force at an endpoint of %d", held, f.config.capacity(size, 1))
				}
			}
		}
	})
}
