package measure

import (
	"container/heap"

	"math"
	"math/rand/v2"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/limit"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// limitScenarios lists the scenarios of workspace limits.
func limitScenarios() []Scenario { return []Scenario{{Name: "limit", Run: limitRun}} }

// Plan and requests of the limit scenarios: callers ask for up to eight times
// what their plan allows.
const (
	limitRate    = 20_000 // cost units a second
	limitBurst   = 40_000
	limitMaxCost = 600
	limitSpan    = 60 * time.Second
	limitCycle   = 5 * time.Second
	limitCutFrom = 20 * time.Second
	limitCutTo   = 40 * time.Second
)

// limitDemand is the demand over the plan's rate: idle times in which buckets
// and batches fill, moderate use that makes entries borrow, and a surge.
func limitDemand(at time.Duration) float64 {
	switch part := at % limitCycle; {
	case part < 1200*time.Millisecond:
		return 0
	case part < 3*time.Second:
		return 0.8
	}
	return 8
}

// limitRun reports by how much the units admitted in any span of time exceed
// rate times span plus burst, in seconds of the rate, and how often the limit
// is admitted while the home is cut off from the other entries.
func limitRun(env Env) []Figure {
	var out []Figure
	for _, u := range exUsers {
		rng := rand.New(rand.NewPCG(env.Seed, 3))
		normal := newLimitSim(u, rng, func(time.Duration) bool { return false })
		normal.run()
		// The batches outstanding: about a second of the rate, since each entry
		// borrows a second of its use, and one request for each entry.
		outstanding := 1 + float64(u.entries*limitMaxCost)/limitRate
		cut := newLimitSim(u, rng, func(at time.Duration) bool { return at > limitCutFrom && at < limitCutTo })
		cut.run()
		whole := limitRate*(limitCutTo-limitCutFrom).Seconds() + limitBurst
		name := "limit/" + u.name
		out = append(out,
			Figure{Name: name + "/overshoot", Value: limitRound(normal.overshoot()), Unit: "s", Relation: AtMost, Target: outstanding},
			Figure{Name: name + "/used", Value: limitRound(normal.admitted(0, limitSpan) / normal.allowed()), Unit: "part"},
			// The other entries share one more limit while they cannot reach the home.
			Figure{Name: name + "/admitted_home_cut", Value: limitRound(cut.admitted(limitCutFrom, limitCutTo) / whole), Unit: "limits", Relation: AtMost, Target: limitRound(2 + outstanding*limitRate/whole)},
		)
	}
	return out
}

func limitRound(v float64) float64 { return math.Round(v*1000) / 1000 }

// limitSim is a discrete simulation of one busy workspace: real wallets and a
// real home, with messages that take the user's delay.
type limitSim struct {
	user    exUser
	rng     *rand.Rand
	isCut   func(at time.Duration) bool
	home    *limit.Home
	wallets []*limit.Leases // of the entries; the first entry is home
	pending []bool          // a borrow is on its way
	waiting [][]int64
	queue   limitQueue
	seq     int
	log     []limitAdmitted
	offered []limitAdmitted
}

type limitAdmitted struct {
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

func newLimitSim(u exUser, rng *rand.Rand, isCut func(time.Duration) bool) *limitSim {
	s := &limitSim{user: u, rng: rng, isCut: isCut, home: limit.NewHome(), pending: make([]bool, u.entries), waiting: make([][]int64, u.entries)}
	for range u.entries {
		s.wallets = append(s.wallets, limit.NewLeases())
	}
	return s
}

var limitPlan = limit.Plan{Rate: limitRate, Burst: limitBurst}

const limitWorkspace = model.Workspace("ws")

func (s *limitSim) at(at time.Duration, run func(time.Duration)) {
	s.seq++
	heap.Push(&s.queue, limitEvent{at, s.seq, run})
}

// run sends requests at random times. For a third of the time all go through
// one entry, otherwise through random ones.
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
	s.offered = append(s.offered, limitAdmitted{at, cost})
	s.at(at, func(at time.Duration) { s.request(at, e, cost) })
}

func limitTime(at time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(at) }

func (s *limitSim) admit(at time.Duration, ok bool, cost int64) {
	if ok {
		s.log = append(s.log, limitAdmitted{at, cost})
	}
}

func (s *limitSim) request(at time.Duration, e int, cost int64) {
	now, w := limitTime(at), s.wallets[e]
	switch {
	case e == 0:
		s.admit(at, s.home.Borrow(now, limitWorkspace, limitPlan, cost, cost).Units > 0, cost)
	case w.Spend(now, limitWorkspace, cost):
		s.admit(at, true, cost)
	case s.isCut(at):
		s.admit(at, w.SpendLocal(now, limitWorkspace, limitPlan, s.user.entries, cost).Units > 0, cost)
	case s.pending[e]:
		s.waiting[e] = append(s.waiting[e], cost)
	default:
		s.pending[e] = true
		want := w.BorrowAmount(now, limitWorkspace, cost)
		s.at(at+s.user.oneWay, func(at time.Duration) {
			g := s.home.Borrow(limitTime(at), limitWorkspace, limitPlan, want, cost)
			s.at(at+s.user.oneWay, func(at time.Duration) { s.lent(at, e, cost, g) })
		})
	}
}

func (s *limitSim) lent(at time.Duration, e int, cost int64, g limit.Grant) {
	s.pending[e] = false
	s.wallets[e].Credit(limitTime(at), limitWorkspace, g.Units)
	for _, c := range append([]int64{cost}, s.waiting[e]...) {
		s.admit(at, s.wallets[e].SpendRetry(limitTime(at), limitWorkspace, c), c)
	}
	s.waiting[e] = nil
}

func (s *limitSim) admitted(from, to time.Duration) float64 {
	sum := 0.0
	for _, a := range s.log {
		if a.at >= from && a.at < to {
			sum += float64(a.units)
		}
	}
	return sum
}

// allowed returns what one bucket that sees all requests admits.
func (s *limitSim) allowed() float64 {
	home, sum := limit.NewHome(), 0.0
	for _, a := range s.offered {
		if home.Borrow(limitTime(a.at), limitWorkspace, limitPlan, a.units, a.units).Units > 0 {
			sum += float64(a.units)
		}
	}
	return sum
}

// overshoot returns the largest excess over rate times span plus burst in any
// span, in seconds of the rate.
func (s *limitSim) overshoot() float64 {
	worst, sum, low := 0.0, 0.0, math.Inf(1)
	for _, a := range s.log {
		credit := sum - limitRate*a.at.Seconds()
		low = min(low, credit)
		sum += float64(a.units)
		worst = max(worst, sum-limitRate*a.at.Seconds()-low-limitBurst)
	}
	return worst / limitRate
}
