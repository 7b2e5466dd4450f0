package place

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/catalog"
	"github.com/goldcrestturn/goldcrestturn/internal/locality"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// unevenFleet is a fleet of engines in three data centres, of which a part is slow or gone
// for a while, or the callers of the first data centre send more.
type unevenFleet struct {
	routers, engines int
	load             float64 // relative to the usual rate
	slowShare        float64 // of the engines
	slowFactor       float64
	stated           bool // engines state their work time
	price            locality.Price
	noSpill          bool    // no share of the requests is sent to other data centres
	surge            float64 // factor on the load of the callers of the first data centre
	gone             float64 // share of its engines
	from, to         time.Duration
	calmAfter        time.Duration
}

// withTimes returns f with the usual times of the trouble.
func (f unevenFleet) withTimes() unevenFleet {
	if f.to == 0 {
		f.from, f.to, f.calmAfter = 2*time.Second, 5*time.Second, time.Second
	}
	return f
}

// unevenKinds are kinds of requests with their rates a second for 50 engines.
var unevenKinds = []struct {
	name                model.Route
	shared, own, events int
	perSecond           float64
	bytes               int
}{{"long", 10512, 1300, 42, 111, 60_000}, {"short", 699, 130, 32, 202, 8000}, {"brief", 2041, 360, 3, 178, 12_000}}

// unevenResult is what the callers and the engines saw while engines were slow.
type unevenResult struct {
	arrivals, overBound, reads int // reads: of a part that the engine had not cached
	first                      []time.Duration
	reasons                    map[Reason]int
	remote                     map[RemoteReason]int
	calmBytes                  int // to other data centres before the trouble
	sampled                    []fleetSample
}

// fleetSample is the state of the fleet over a sampleInterval.
type fleetSample struct {
	at                        time.Duration
	localLoad, remoteLoad     float64       // mean of the engines of the first data centre and of the others
	sent, sentRemote          int           // requests of the callers of the first data centre
	localFirst, remoteFirst   time.Duration // sums of the times to the first event of the callers of the first data centre and of the others
	localAnswer, remoteAnswer int
}

const sampleInterval = 250 * time.Millisecond

func (r unevenResult) mean() time.Duration {
	total := time.Duration(0)
	for _, d := range r.first {
		total += d
	}
	return total / time.Duration(len(r.first))
}

func (r unevenResult) quantile(q float64) time.Duration {
	slices.Sort(r.first)
	return r.first[int(q*float64(len(r.first)-1))]
}

func (r unevenResult) overShare() float64 { return float64(r.overBound) / float64(r.arrivals) }

// reuse is the share of the requests whose shared part was cached.
func (r unevenResult) reuse() float64 { return 1 - float64(r.reads)/float64(r.arrivals) }

// engineModel reads prompts one after the other and generates for all requests in its
// slots at once.
type engineModel struct {
	slow, running int
	busyUntil     time.Duration // with reading prompts
	waiting       []func()
	cached        map[uint64]bool
}

// simulateUneven plays the load on one table for each router, which know each other's
// requests only from load reports, new holders and notices of work times.
func simulateUneven(f unevenFleet, seed uint64) unevenResult {
	f = f.withTimes()
	const (
		networkDelay = 1500 * time.Microsecond
		slots        = 128
		tokensPerMs  = 112
		stepTime     = 3230 * time.Microsecond
		eventTokens  = 9
	)
	rng := rand.New(rand.NewPCG(seed, 3))
	list := engines(f.engines)
	tables := make([]*Table, f.routers)
	for i := range tables {
		tables[i] = New(model.InstanceID(fmt.Sprint("router-", i)), model.DataCentre(fmt.Sprint("dc-", i%3)))
		tables[i].SetPools(map[model.Pool]catalog.Pool{"p": {Name: "p", Engine: true}})
		tables[i].SetEndpoints(start, list)
		tables[i].SetLocality(f.price)
	}
	states := map[model.EndpointID]*engineModel{}
	for i, e := range list {
		states[e.ID] = &engineModel{slow: i, cached: map[uint64]bool{}}
	}
	var now time.Duration
	var queue fleetEvents
	after := func(d time.Duration, do func()) { heap.Push(&queue, fleetEvent{now + d, do}) }
	clock := func() time.Time { return start.Add(now) }
	toPeers := func(from int, do func(*Table)) {
		after(networkDelay, func() {
			for i, t := range tables {
				if i != from {
					do(t)
				}
			}
		})
	}
	for i := range tables {
		name := fmt.Sprint("router-", i)
		var report func()
		report = func() {
			loads := tables[i].Loads()
			toPeers(i, func(t *Table) {
				t.UpdatePeerLoads(clock(), name, loads)
				t.SetPeerDataCentre(name, tables[i].home)
			})
			after(LoadReportInterval(f.routers-1), report)
		}
		after(time.Duration(rng.Float64()*float64(LoadReportInterval(f.routers-1))), report)
	}
	workTime := func(e *engineModel) float64 {
		w := 0.7 + 0.6*rng.Float64()
		if now >= f.from && now < f.to && float64(e.slow) < f.slowShare*float64(f.engines) {
			w *= f.slowFactor
		}
		return w
	}
	inFlight, total := map[model.EndpointID]int{}, 0
	out := unevenResult{reasons: map[Reason]int{}, remote: map[RemoteReason]int{}}
	var sample fleetSample
	var record func()
	record = func() {
		var load, count [2]float64
		for i, e := range list {
			side := min(i%3, 1)
			if gone := now >= f.from && now < f.to && float64(i/3) < f.gone*float64(f.engines)/3; side == 1 || !gone {
				load[side] += float64(inFlight[e.ID])
				count[side]++
			}
		}
		sample.at, sample.localLoad, sample.remoteLoad = now, load[0]/count[0], load[1]/count[1]
		out.sampled, sample = append(out.sampled, sample), fleetSample{}
		after(sampleInterval, record)
	}
	after(sampleInterval, record)
	listed := float64(f.engines)
	relist := func(share float64) {
		var left []Endpoint
		for i, e := range list {
			if i%3 != 0 || float64(i/3) >= share*float64(f.engines)/3 {
				left = append(left, e)
			}
		}
		listed = float64(len(left))
		for _, t := range tables {
			t.SetEndpoints(clock(), left)
		}
	}
	after(f.from, func() { relist(f.gone) })
	after(f.to, func() { relist(0) })
	send := func(kind, i int) {
		k := unevenKinds[kind]
		part := uint64(kind)<<32 | uint64(1+rng.ExpFloat64()*6)
		if f.noSpill {
			clear(tables[i].spills)
		}
		arrived, counts := now, now >= f.from && now < f.to
		c, ok := tables[i].Pick(clock(), Query{Pool: "p", Kind: k.name, Part: part, Tokens: k.shared, PromptTokens: k.shared + k.own, Key: rng.Uint64()})
		if !ok {
			return
		}
		id, e := c.Endpoint.ID, states[c.Endpoint.ID]
		isRemote := c.Endpoint.DataCentre != tables[i].home
		if isRemote && now < f.from && now > f.from/2 {
			out.calmBytes += k.bytes
		}
		if i%3 == 0 {
			sample.sent++
			if isRemote {
				sample.sentRemote++
			}
		}
		if c.NewHolder {
			toPeers(i, func(t *Table) { t.AddHolder(clock(), part, EndpointHash(id)) })
		}
		if counts {
			out.arrivals++
			out.reasons[c.Reason]++
			if isRemote {
				out.remote[c.Remote]++
			}
			if mean := float64(total) / listed; float64(inFlight[id]) > 2*mean+3 {
				out.overBound++
			}
		}
		inFlight[id]++
		total++
		run := func() {
			e.running++
			uncached := k.own
			if !e.cached[part] {
				e.cached[part] = true
				uncached += k.shared
				if counts {
					out.reads++
				}
			}
			w := workTime(e)
			e.busyUntil = max(now, e.busyUntil) + time.Duration(w*float64(uncached)/tokensPerMs*float64(time.Millisecond))
			step := func() time.Duration {
				return time.Duration(workTime(e) * eventTokens * float64(stepTime) * (1 + float64(e.running)/slots))
			}
			after(e.busyUntil-now+step(), func() {
				first := now - arrived
				if isRemote {
					first += 2 * networkDelay
				}
				if i%3 == 0 {
					sample.localFirst += first
					sample.localAnswer++
				} else {
					sample.remoteFirst += first
					sample.remoteAnswer++
				}
				if counts {
					out.first = append(out.first, first)
				}
				load := StatedLoad{Running: e.running, Waiting: len(e.waiting), Slots: slots, Known: true}
				if f.stated {
					load.WorkTime = workTime(e)
				}
				h, atBound := tables[i].RecordStatedLoad(clock(), id, load)
				if atBound {
					toPeers(i, func(t *Table) { t.ApplyStatedLoad(clock(), h, load.Requests()) })
				}
				if h, figure, _, tell := tables[i].WorkTimeNotice(clock(), id); f.stated && tell {
					toPeers(i, func(t *Table) { t.ApplyWorkTime(clock(), h, figure) })
				}
				left := k.events - 1
				var next func()
				next = func() {
					if left--; left > 0 {
						after(step(), next)
						return
					}
					e.running--
					inFlight[id]--
					total--
					tables[i].RecordAnswerTime(clock(), id, AnswerTime{Kind: k.name, Stated: load, Load: c.Load, Bytes: k.bytes, Uncached: c.Uncached, Fetched: c.Fetched, FirstEvent: first, Whole: now - arrived})
					tables[i].Complete(clock(), id, Answered, 0)
					if len(e.waiting) > 0 {
						start := e.waiting[0]
						e.waiting = e.waiting[1:]
						start()
					}
				}
				after(step(), next)
			})
		}
		if e.running < slots {
			run()
		} else {
			e.waiting = append(e.waiting, run)
		}
	}
	for kind, k := range unevenKinds {
		rate := k.perSecond * f.load * float64(f.engines) / 50
		var arrive, surge func()
		surge = func() {
			if now < f.to {
				send(kind, 3*rng.IntN((f.routers+2)/3))
				after(time.Duration(rng.ExpFloat64()/rate*3/(f.surge-1)*float64(time.Second)), surge)
			}
		}
		if f.surge > 1 {
			after(f.from, surge)
		}
		arrive = func() {
			send(kind, rng.IntN(f.routers))
			after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
		arrive()
	}
	for now < f.to+f.calmAfter {
		ev := heap.Pop(&queue).(fleetEvent)
		now = ev.at
		ev.do()
	}
	return out
}

// simulateRuns returns the sum of runs with different seeds.
func simulateRuns(f unevenFleet, runs uint64) unevenResult {
	out := simulateUneven(f, 1)
	for seed := uint64(2); seed <= runs; seed++ {
		r := simulateUneven(f, seed)
		out.arrivals, out.overBound, out.reads, out.first = out.arrivals+r.arrivals, out.overBound+r.overBound, out.reads+r.reads, append(out.first, r.first...)
	}
	return out
}

// Guards against callers that wait for engines which became slow for a while, as of a
// quarter of a pool, with routers that pick the same engines from old load reports to avoid
// the slow ones, and with prompts that are read again without need. The target is that at
// most half of the time that slow engines add to the first event is left, and that at most
// 2 in 100 more requests find their shared part not cached.
func TestSlowEnginesGetLess(t *testing.T) {
	const maxLeft, maxReadAgain = 0.5, 0.02
	for _, f := range []unevenFleet{
		{routers: 28, engines: 50, load: 1, slowShare: 0.25, slowFactor: 4},
		{routers: 28, engines: 50, load: 4, slowShare: 0.25, slowFactor: 4},
		{routers: 46, engines: 53, load: 2, slowShare: 0.25, slowFactor: 4},
	} {
		t.Run(fmt.Sprintf("%d routers, load %v", f.routers, f.load), func(t *testing.T) {
			is := is.New(t)
			without, calm := f, f
			calm.slowShare = 0
			f.stated = true
			runs := uint64(4 / f.load) // with about as many requests each
			r, unaware, usual := simulateRuns(f, runs), simulateRuns(without, runs), simulateRuns(calm, runs)
			for name, r := range map[string]unevenResult{"calm": usual, "without work times": unaware, "with work times": r} {
				t.Logf("%s: %d requests, first event mean %v p99 %v, %.4f over the bound, %.4f reuse", name, r.arrivals, r.mean(), r.quantile(0.99), r.overShare(), r.reuse())
			}
			is.True(float64(r.mean()-usual.mean()) <= maxLeft*float64(unaware.mean()-usual.mean()))
			is.True(r.overShare() <= maxOverShare)
			is.True(r.reuse() >= unaware.reuse()-maxReadAgain)
		})
	}
}

// Guards against engines that get nothing because half of the pool is twice as slow, so that
// the others are loaded up to the load bound and callers wait longer than before.
func TestFastEnginesAreNotOverloaded(t *testing.T) {
	is := is.New(t)
	f := unevenFleet{routers: 28, engines: 50, load: 6, slowShare: 0.5, slowFactor: 2}
	unaware := simulateUneven(f, 1)
	f.stated = true
	r := simulateUneven(f, 1)
	t.Logf("first event mean %v p99 %v, without work times %v and %v", r.mean(), r.quantile(0.99), unaware.mean(), unaware.quantile(0.99))
	is.True(r.mean() < unaware.mean())
	is.True(r.quantile(0.99) < unaware.quantile(0.99))
	is.True(r.overShare() <= maxOverShare)
}

// Guards against prompts that leave their cache holders because work times vary by some
// tens of percent as usual.
func TestUsualVariationMovesNoPrompts(t *testing.T) {
	is := is.New(t)
	r := simulateUneven(unevenFleet{routers: 28, engines: 50, load: 4, stated: true}, 1)
	t.Logf("%d requests, %.4f reuse, %v", r.arrivals, r.reuse(), r.reasons)
	is.True(float64(r.reasons[HoldersSlow]) <= 0.002*float64(r.arrivals)) // a tenth of what is allowed while engines are slow
}
