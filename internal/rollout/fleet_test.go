package rollout

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const fleetStep = 100 * time.Millisecond

// trackedRouter is a router of a trackedFleet.
type trackedRouter struct {
	name     string
	tracker  *Tracker
	report   Report
	reportAt time.Time
	bad      int64
	reported int64
	ready    bool // as reported last
	down     bool
	deaf     bool // hears no peers, but reads the store
}

// trackedFleet exchanges reports between trackers. It counts what the new version gets, as
// operators do.
type trackedFleet struct {
	terms    Terms
	routers  []*trackedRouter
	rate     int                                                              // requests a second for the pool
	bad      func(route int, at time.Duration, share float64) (bool, bool)    // probability draws: failed, slow
	lose     func(step int) bool                                              // the report is lost
	store    func(at time.Duration, stored, want Stage) (next Stage, ok bool) // conditional write; nil means one that works
	onStep   func(f *trackedFleet, at time.Duration)
	seed     int64
	after    time.Duration // for which the fleet runs after the deadline
	stored   Stage
	storedAt time.Duration
	writes   []Stage

	total, newer, badSeen int
	fiftieth              time.Duration // of the 50th bad response
	latest                time.Duration // last request at the new version before Completed
	oldAfter              int           // requests at the old version after Completed
}

func newTrackedFleet(n, rate int, window time.Duration) *trackedFleet {
	f := &trackedFleet{terms: Terms{Target: "v2", Window: window, Share: 0.1, Tolerance: 50, Rollback: 5 * time.Second}, rate: rate, after: 2 * time.Second}
	for i := range n {
		f.routers = append(f.routers, &trackedRouter{name: fmt.Sprint("r", i), tracker: NewTracker(start, f.terms, true), report: Report{Evidence: Evidence{}}})
	}
	return f
}

// judge returns the router that a router takes for the judge.
func (f *trackedFleet) judge(r *trackedRouter) *trackedRouter {
	if r.deaf {
		return r
	}
	for _, j := range f.routers {
		if !j.down && !j.deaf {
			return j
		}
	}
	return r
}

func (f *trackedFleet) run() {
	random := rand.New(rand.NewSource(f.seed))
	id := 0
	for step := 0; ; step++ {
		at := time.Duration(step) * fleetStep
		if at > f.terms.Window+f.after {
			return
		}
		now := start.Add(at)
		if f.onStep != nil {
			f.onStep(f, at)
		}
		for i := range f.rate / 10 {
			id++
			f.serve(f.routers[i%len(f.routers)], now, at, id, random)
		}
		for i, r := range f.routers {
			if !r.down {
				f.exchange(r, now, at, f.lose != nil && !f.routers[i].deaf && f.lose(step*len(f.routers)+i))
			}
		}
	}
}

// serve sends one request through a router.
func (f *trackedFleet) serve(r *trackedRouter, now time.Time, at time.Duration, id int, random *rand.Rand) {
	if r.down {
		return
	}
	share := r.tracker.RouterShare(now, len(f.routers))
	newer := Position("pool", fmt.Sprint(id)) < share
	route := random.Intn(2)
	failed, slow := random.Float64() < 0.005, random.Float64() < 0.03 // of both versions
	if newer && f.bad != nil {
		b, s := f.bad(route, at, share)
		failed, slow = failed || b && random.Float64() < 0.4, slow || s && random.Float64() < 0.4
	}
	c, times := Counts{Requests: 1}, Counts{Requests: 1}
	if failed {
		c.Failures, times = 1, Counts{}
	} else if slow {
		times.Slow = 1
	}
	if at < f.terms.Window {
		f.total++
		if newer {
			f.newer++
		}
	}
	r.report.Arrived++
	name := model.Route(fmt.Sprint("route", route))
	key := EvidenceKey(newer, name)
	r.report.Evidence[key] = r.report.Evidence[key].Add(c)
	if untimed := newer && id%2 == 0; !untimed { // prompts that the endpoint does not hold
		key = TimesKey(newer, name)
		r.report.Evidence[key] = r.report.Evidence[key].Add(times)
	}
	switch {
	case newer:
		r.report.Newer++
		f.latest = at
		if n := c.Failures + times.Slow; n > 0 {
			r.bad += n
			if f.badSeen += int(n); f.badSeen == 50 {
				f.fiftieth = at
			}
		}
	case f.stored == Completed:
		f.oldAfter++
	}
}

// told applies a decision as routers do.
func (r *trackedRouter) told(now time.Time, d Decision) {
	if d.Quorum || d.Stage == Reverted {
		r.tracker.Told(now, d)
	}
}

// exchange is what a router does in each step: it judges, reports and stores.
func (f *trackedFleet) exchange(r *trackedRouter, now time.Time, at time.Duration, lost bool) {
	n, j := len(f.routers), f.judge(r)
	r.report.Elapsed, r.report.Certain, r.report.Ready = r.tracker.Elapsed(now), r.tracker.Certain(), r.tracker.Ready()
	copied := r.report
	copied.Evidence = Evidence{}
	copied.Evidence.Merge(r.report.Evidence)
	r.tracker.Add(now, r.name, copied)
	d := r.tracker.Decide(now, n, j == r)
	if j == r {
		r.told(now, d)
	} else if interval := ReportInterval(n, r.bad > r.reported); !now.Before(r.reportAt.Add(interval)) || copied.Ready && !r.ready {
		r.reportAt, r.reported, r.ready = now, r.bad, copied.Ready && !lost
		if !lost {
			for range 2 { // a repeated report does not count twice
				j.tracker.Add(now, r.name, copied)
			}
			r.told(now, j.tracker.Decide(now, n, f.judge(j) == j))
		}
	}
	if want, ok := r.tracker.ToStore(); ok && f.stored < Completed && (j == r || want == Reverted) {
		next, written := want, true
		if f.store != nil {
			next, written = f.store(at, f.stored, want)
		}
		if written {
			f.stored, f.storedAt = next, at
			f.writes = append(f.writes, next)
		}
	}
	if f.stored >= Completed {
		r.tracker.SetStored(f.stored)
	}
}

// checkBounds checks the operators' bounds on a bad version.
func (f *trackedFleet) checkBounds(t *testing.T) {
	t.Helper()
	is := is.New(t)
	t.Logf("new version: %d of %d requests, %d bad, 50th at %v, last request at %v, stored %d at %v", f.newer, f.total, f.badSeen, f.fiftieth, f.latest, f.stored, f.storedAt)
	is.True(float64(f.newer) <= 0.1*float64(f.total)+50) // exposure
	is.True(f.fiftieth == 0 || f.latest <= f.fiftieth+5*time.Second)
}

// Guards against a bad version that gets more than its share or gets requests long after
// its bad responses, whenever and wherever they begin, and against one that is completed.
func TestBadVersionsAreReverted(t *testing.T) {
	for name, bad := range map[string]func(route int, at time.Duration, share float64) (bool, bool){
		"at once":      func(int, time.Duration, float64) (bool, bool) { return true, false },
		"later":        func(_ int, at time.Duration, _ float64) (bool, bool) { return at > 4*time.Second, false },
		"on one route": func(route int, _ time.Duration, _ float64) (bool, bool) { return route == 1, false },
		"slow":         func(int, time.Duration, float64) (bool, bool) { return false, true },
		"under load":   func(_ int, _ time.Duration, share float64) (bool, bool) { return share == 1, false },
	} {
		for _, n := range []int{1, 28, 46} {
			for _, window := range []time.Duration{10 * time.Second, 30 * time.Second} {
				t.Run(fmt.Sprintf("%s, %d routers, %v", name, n, window), func(t *testing.T) {
					f := newTrackedFleet(n, 400, window)
					f.bad = bad
					f.run()
					f.checkBounds(t)
					if name != "under load" { // at most the last twentieth of the window shows it
						is.New(t).Equal(f.stored, Reverted)
					}
				})
			}
		}
	}
}

// Guards against a good version that is not completed by its deadline, or gets more than
// its share before, and against requests for the old version once it is.
func TestGoodVersionsAreCompleted(t *testing.T) {
	for _, n := range []int{1, 28, 46} {
		for _, rate := range []int{170, 400, 6900} { // the first is that of the smallest pool of tmesu and casavolcan
			for _, window := range []time.Duration{10 * time.Second, 30 * time.Second} {
				t.Run(fmt.Sprintf("%d routers, %d a second, %v", n, rate, window), func(t *testing.T) {
					is := is.New(t)
					f := newTrackedFleet(n, rate, window)
					f.run()
					f.checkBoundsOfShare(t)
					is.Equal(f.writes, []Stage{Completed})
					is.True(f.storedAt <= window)
					is.True(f.oldAfter <= f.rate/10) // those of the step in which the verdict was stored
				})
			}
		}
	}
}

func (f *trackedFleet) checkBoundsOfShare(t *testing.T) {
	t.Helper()
	t.Logf("new version: %d of %d requests, stored %d at %v", f.newer, f.total, f.stored, f.storedAt)
	is.New(t).True(float64(f.newer) <= 0.1*float64(f.total)+50)
}

// Guards against routers that hear nobody and raise the share or let a version pass, and
// against a bad version that gets requests from routers that cannot learn of the verdict.
func TestRoutersThatHearNobodyKeepTheBound(t *testing.T) {
	for _, deaf := range []int{14, 28} { // half of them, and all
		f := newTrackedFleet(28, 400, 12*time.Second)
		for _, r := range f.routers[:deaf] {
			r.deaf = true
		}
		f.bad = func(int, time.Duration, float64) (bool, bool) { return true, false }
		f.run()
		f.checkBounds(t)
		is.New(t).Equal(f.stored, Reverted)
		f = newTrackedFleet(28, 400, 12*time.Second)
		for _, r := range f.routers[:deaf] {
			r.deaf = true
		}
		f.run()
		f.checkBoundsOfShare(t)
		is.New(t).Equal(f.stored, Reverted) // nobody knows enough to complete it
	}
}

// Guards against a roll-out that ends with its judge.
func TestAnotherRouterTakesOver(t *testing.T) {
	for _, bad := range []bool{false, true} {
		is := is.New(t)
		f := newTrackedFleet(28, 400, 20*time.Second)
		if bad {
			f.bad = func(_ int, at time.Duration, _ float64) (bool, bool) { return at > 9*time.Second, false }
		}
		f.onStep = func(f *trackedFleet, at time.Duration) {
			if at == 8*time.Second {
				f.routers[0].down = true
			}
		}
		f.run()
		f.checkBoundsOfShare(t)
		if bad {
			f.checkBounds(t)
			is.Equal(f.stored, Reverted)
		} else {
			is.Equal(f.writes, []Stage{Completed})
		}
	}
}

// Guards against evidence that is lost, or counted twice, with the reports that carry it.
func TestLostReports(t *testing.T) {
	for _, bad := range []bool{false, true} {
		f := newTrackedFleet(28, 400, 20*time.Second)
		f.lose = func(i int) bool { return Position("lost", fmt.Sprint(i)) < 0.2 }
		if bad {
			f.bad = func(int, time.Duration, float64) (bool, bool) { return true, false }
		}
		f.run()
		f.checkBoundsOfShare(t)
		if bad {
			f.checkBounds(t)
			is.New(t).Equal(f.stored, Reverted)
		} else {
			is.New(t).Equal(f.writes, []Stage{Completed})
		}
	}
}

// Guards against good versions that are reverted by chance. The tests reject one in
// thousands, and one of 20 may lack a clear verdict at its deadline, since a warning may be
// wrong that often.
func TestGoodVersionsAreNotRevertedByChance(t *testing.T) {
	is := is.New(t)
	const trials = 60
	completed := 0
	for seed := range int64(trials) {
		f := newTrackedFleet(10, 400, 12*time.Second)
		f.seed = seed
		f.run()
		if f.stored == Completed {
			completed++
		} else {
			is.True(f.storedAt >= f.terms.Window) // not rejected by a test
		}
	}
	t.Logf("completed %d of %d", completed, trials)
	is.True(completed >= trials*9/10) // twice what one of 20 leaves
}

// Guards against two verdicts after responses of the store that are lost or late, and
// against requests for a bad version while the verdict cannot be stored.
func TestVerdictsWhileTheStoreFails(t *testing.T) {
	is := is.New(t)
	f := newTrackedFleet(28, 400, 12*time.Second)
	f.bad = func(int, time.Duration, float64) (bool, bool) { return true, false }
	f.store = func(at time.Duration, _, want Stage) (Stage, bool) { return want, at > 9*time.Second }
	f.run()
	f.checkBounds(t)
	is.Equal(f.writes, []Stage{Reverted})
	is.True(f.latest < 6*time.Second) // routers told each other

	f = newTrackedFleet(28, 400, 12*time.Second)
	f.bad = func(_ int, _ time.Duration, share float64) (bool, bool) { return share == 1, false }
	f.store = func(at time.Duration, _, want Stage) (Stage, bool) { return want, at > 12900*time.Millisecond }
	f.run()
	f.checkBounds(t)
	is.Equal(f.writes, []Stage{Reverted}) // the version turned bad before Completed was stored
}

// Guards against a router that starts, or was replaced, and takes the deadline for later
// than it is.
func TestRoutersThatStartDoNotKnowTheDeadline(t *testing.T) {
	is := is.New(t)
	f := newTrackedFleet(3, 400, 10*time.Second)
	f.after = 7 * time.Second // past the deadline as the routers see it
	f.onStep = func(f *trackedFleet, at time.Duration) {
		if at == 5*time.Second {
			for _, r := range f.routers {
				r.tracker, r.report = NewTracker(start.Add(at), f.terms, false), Report{Evidence: Evidence{}}
			}
		}
	}
	f.run()
	f.checkBoundsOfShare(t)
	is.True(f.stored != Completed)
}

// Guards against versions that are completed with too little evidence.
func TestVersionsWithoutEvidenceAreReverted(t *testing.T) {
	f := newTrackedFleet(10, 10, 10*time.Second)
	f.run()
	f.checkBoundsOfShare(t)
	is.New(t).Equal(f.writes, []Stage{Reverted})
}

// Guards against a version that is completed while a router that was heard lately does not
// know that the whole share has begun: its requests would go to endpoints that have stopped.
func TestNothingIsCompletedBeforeAllRoutersKnow(t *testing.T) {
	f := newTrackedFleet(28, 400, 10*time.Second)
	f.lose = func(i int) bool { return i%28 == 3 && i/28 >= 75 } // one router, from 7.5 s
	f.run()
	f.checkBoundsOfShare(t)
	is.New(t).True(f.stored != Completed || f.storedAt > f.terms.Window)
}

// Guards against the usual time that follows no change of the load, or counts usual times
// as slow.
func TestBaseline(t *testing.T) {
	is := is.New(t)
	var b Baseline
	is.True(!b.Slow(time.Hour)) // nothing to compare with
	for i := range 400 {
		b.Add(time.Duration(60+i%20) * time.Millisecond)
	}
	is.True(!b.Slow(110 * time.Millisecond))
	is.True(b.Slow(250 * time.Millisecond))
	for range 400 {
		b.Add(200 * time.Millisecond)
	}
	is.True(!b.Slow(250 * time.Millisecond))
}
