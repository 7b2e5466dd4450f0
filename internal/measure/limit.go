package measure

import (
	"container/heap"

	"math"
	"math/rand/v2"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/limit"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// limitScenarios returns the scenarios of workspace limits.
func limitScenarios() []Scenario { return []Scenario{{Name: "limit", Run: limitRun}} }

// Plan and requests of the limit scenarios: callers ask for up to eight times
// what their plan allows.
const (
	limitRate          = 20_000 // cost units a second
	limitBurst         = 40_000
	limitMaxCost       = 600
	limitSpan          = 60 * time.Second
	limitCycle         = 5 * time.Second
	limitPartitionFrom = 20 * time.Second
	limitPartitionTo   = 40 * time.Second
)

// limitDemand returns the demand as a multiple of the plan's rate: an idle time
// in which buckets and leases fill, moderate use for which entries borrow, and a
// surge.
func limitDemand(at time.Duration) float64 {
	switch phase := at % limitCycle; {
	case phase < 1200*time.Millisecond:
		return 0
	case phase < 3*time.Second:
		return 0.8
	}
	return 8
}

// limitRun reports the largest excess of the units admitted in any span of time
// over rate times span plus burst, in seconds of the rate. It also reports the
// units admitted as a fraction of what a single bucket would admit, and those
// admitted during a partition between the home entry and the others as a multiple
// of the limit.
func limitRun(env Env) []Figure {
	var out []Figure
	for _, u := range exUsers {
		rng := rand.New(rand.NewPCG(env.Seed, 3))
		normal := newLimitSim(u, rng, func(time.Duration) bool { return false })
		normal.run()
		// The leases outstanding, in seconds of the rate: about one second, since
		// each entry borrows a second of its use, and one request for each entry.
		outstanding := 1 + float64(u.entries*limitMaxCost)/limitRate
		partition := newLimitSim(u, rng, func(at time.Duration) bool { return at > limitPartitionFrom && at < limitPartitionTo })
		partition.run()
		nominal := limitRate*(limitPartitionTo-limitPartitionFrom).Seconds() + limitBurst
		name := "limit/" + u.name
		out = append(out,
			Figure{Name: name + "/overshoot", Value: limitRound(normal.overshoot()), Unit: "s", Relation: AtMost, Target: outstanding},
			Figure{Name: name + "/used", Value: limitRound(normal.admitted(0, limitSpan) / normal.allowed()), Unit: "part"},
			// While they cannot reach the home entry, the other entries share one
			// more limit.
			Figure{Name: name + "/admitted_home_cut", Value: limitRound(partition.admitted(limitPartitionFrom, limitPartitionTo) / nominal), Unit: "limits", Relation: AtMost, Target: limitRound(2 + outstanding*limitRate/nominal)},
		)
	}
	return out
}

func limitRound(v float64) float64 { return math.Round(v*1000) / 1000 }

// limitSim is a discrete-event simulation of one busy workspace, with the real
// leases and home bucket and with the message delay of the user's fleet.
type limitSim struct {
	user        exUser
	rng         *rand.Rand
	partitioned func(at time.Duration) bool
	home        *limit.Home
	leases      []*limit.Leases // by entry; the first entry is the home and has no use for its lease
	borrowing   []bool          // by entry; a borrow request is in flight
	waiting     [][]int64       // by entry; costs of the requests that wait for the borrow
	queue       limitQueue
	seq         int
	admissions  []limitUnits
	offered     []limitUnits
}

// limitUnits is the cost of a request and when it was offered or admitted.
type limitUnits struct {
	at    time.Duration
	units int64
}

type limitEvent struct {
	at  time.Duration
	seq int
	run func(at time.Duration)
}

type limitQueue []limitEvent

func (q limitQueue) Len() int { return len(q) }
func (q limitQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q limitQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *limitQueue) Push(x any)   { *q = append(*q, x.(limitEvent)) }
func (q *limitQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newLimitSim(u exUser, rng *rand.Rand, partitioned func(time.Duration) bool) *limitSim {
	s := &limitSim{user: u, rng: rng, partitioned: partitioned, home: limit.NewHome(), borrowing: make([]bool, u.entries), waiting: make([][]int64, u.entries)}
	for range u.entries {
		s.leases = append(s.leases, limit.NewLeases())
	}
	return s
}

var limitPlan = limit.Plan{Rate: limitRate, Burst: limitBurst}

const limitWorkspace = model.Workspace("ws")

func (s *limitSim) schedule(at time.Duration, run func(time.Duration)) {
	s.seq++
	heap.Push(&s.queue, limitEvent{at, s.seq, run})
}

// run sends requests at random times. For a third of the time they all go
// through one entry, otherwise through random entries.
func (s *limitSim) run() {
	meanCost := float64(limitMaxCost) / 2
	const step = time.Millisecond
	for t := time.Duration(0); t < limitSpan; t += step {
		due := limitDemand(t) * limitRate * step.Seconds() / meanCost
		for ; due > 0 && s.rng.Float64() < due; due-- {
			s.send(t + time.Duration(s.rng.Int64N(int64(step))))
		}
	}
	for len(s.queue) > 0 {
		ev := heap.Pop(&s.queue).(limitEvent)
		ev.run(ev.at)
	}
}

func (s *limitSim) send(at time.Duration) {
	e := s.rng.IntN(s.user.entries)
	if at/(2*limitCycle)%3 == 1 {
		e = s.user.entries - 1
	}
	cost := int64(1 + s.rng.IntN(limitMaxCost))
	s.offered = append(s.offered, limitUnits{at, cost})
	s.schedule(at, func(at time.Duration) { s.request(at, e, cost) })
}

func limitTime(at time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(at) }

func (s *limitSim) admit(at time.Duration, ok bool, cost int64) {
	if ok {
		s.admissions = append(s.admissions, limitUnits{at, cost})
	}
}

func (s *limitSim) request(at time.Duration, e int, cost int64) {
	now, leases := limitTime(at), s.leases[e]
	switch {
	case e == 0:
		s.admit(at, s.home.Borrow(now, limitWorkspace, limitPlan, cost, cost).Units > 0, cost)
	case leases.Spend(now, limitWorkspace, cost):
		s.admit(at, true, cost)
	case s.partitioned(at):
		s.admit(at, leases.SpendLocal(now, limitWorkspace, limitPlan, s.user.entries, cost).Units > 0, cost)
	case s.borrowing[e]:
		s.waiting[e] = append(s.waiting[e], cost)
	default:
		s.borrowing[e] = true
		want := leases.BorrowAmount(now, limitWorkspace, cost)
		s.schedule(at+s.user.oneWay, func(at time.Duration) {
			g := s.home.Borrow(limitTime(at), limitWorkspace, limitPlan, want, cost)
			s.schedule(at+s.user.oneWay, func(at time.Duration) { s.credit(at, e, cost, g) })
		})
	}
}

func (s *limitSim) credit(at time.Duration, e int, cost int64, g limit.Grant) {
	s.borrowing[e] = false
	s.leases[e].Credit(limitTime(at), limitWorkspace, g.Units)
	for _, c := range append([]int64{cost}, s.waiting[e]...) {
		s.admit(at, s.leases[e].SpendAfterBorrow(limitTime(at), limitWorkspace, c), c)
	}
	s.waiting[e] = nil
}

func (s *limitSim) admitted(from, to time.Duration) float64 {
	sum := 0.0
	for _, a := range s.admissions {
		if a.at >= from && a.at < to {
			sum += float64(a.units)
		}
	}
	return sum
}

// allowed returns the units that a single bucket for all requests would admit.
func (s *limitSim) allowed() float64 {
	home, sum := limit.NewHome(), 0.0
	for _, a := range s.offered {
		if home.Borrow(limitTime(a.at), limitWorkspace, limitPlan, a.units, a.units).Units > 0 {
			sum += float64(a.units)
		}
	}
	return sum
}

// overshoot returns the largest excess of the admitted units over rate times
// span plus burst, for any span, in seconds of the rate.
func (s *limitSim) overshoot() float64 {
	worst, sum, low := 0.0, 0.0, math.Inf(1)
	for _, a := range s.admissions {
		excess := sum - limitRate*a.at.Seconds()
		low = min(low, excess)
		sum += float64(a.units)
		worst = max(worst, sum-limitRate*a.at.Seconds()-low-limitBurst)
	}
	return worst / limitRate
}
