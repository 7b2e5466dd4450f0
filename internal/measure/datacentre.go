package measure

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/admit"
)

// outBound is the bound of requirement R3.
const outBound = 4 * time.Second

func centreScenarios() []Scenario {
	return []Scenario{
		{"datacentre/kauri", func(env Env) []Figure { return centreFigures(fleetSizes[0], env.Seed) }},
		{"datacentre/kalesa", func(env Env) []Figure { return centreFigures(fleetSizes[1], env.Seed) }},
	}
}

// centreCase is a way in which the record that takes a data centre out spreads.
type centreCase struct {
	name   string
	outage bool // the log fails right after the record
	faults func(r *routingRun)
}

func centreCases() []centreCase {
	return []centreCase{
		{name: "log_up", faults: func(*routingRun) {}},
		{name: "lists_disagree", faults: listsDisagree},
		{name: "log_outage", outage: true, faults: func(*routingRun) {}},
		{name: "outage_and_lists", outage: true, faults: listsDisagree},
	}
}

// mechanisms are the ways in which a record becomes effective. Tests turn them
// off.
type mechanisms struct {
	noExchange bool // processes tell each other nothing
	noGate     bool // sides do not refuse
	cutsWork   bool // sides end the running work instead of letting it finish
}

func centreFigures(size fleetSize, seed uint64) []Figure {
	var out []Figure
	for _, c := range centreCases() {
		with, without := centreRuns(size, seed, c, mechanisms{}), centreRuns(size, seed, c, mechanisms{noGate: true})
		out = append(out,
			Figure{Name: "datacentre/" + size.name + "/" + c.name + "/last_admission", Value: with.after.Seconds(), Unit: "s", Relation: AtMost, Target: outBound.Seconds(),
				Baseline: fmt.Sprintf("without the sides' refusal %.3f; worst of %d records", without.after.Seconds(), centreTrials)},
			Figure{Name: "datacentre/" + size.name + "/" + c.name + "/lost", Value: float64(with.lost), Unit: "requests", Relation: Equal,
				Baseline: fmt.Sprintf("refusals %d, callers that gave up %d of %d", with.refused, with.given, with.arrived)})
	}
	return out
}

// centreTrials is the number of records of one case. A single record often
// meets no request in the short time in which it spreads.
const centreTrials = 6

// centreOutcome sums up the trials of a case.
type centreOutcome struct {
	after                         time.Duration // from the record to the last admission, the worst
	lost, refused, given, arrived int
}

func centreRuns(size fleetSize, seed uint64, c centreCase, off mechanisms) centreOutcome {
	var trials [centreTrials]centreOutcome
	var g errgroup.Group
	for i := range trials {
		g.Go(func() error {
			trials[i] = centreRun(size, seed*centreTrials+uint64(i), c, off)
			return nil
		})
	}
	_ = g.Wait()
	var sum centreOutcome
	for _, t := range trials {
		sum.after = max(sum.after, t.after)
		sum.lost += t.lost
		sum.refused += t.refused
		sum.given += t.given
		sum.arrived += t.arrived
	}
	return sum
}

// centreEnd is how long after the record a run goes on. It is several times the
// bound, so that a late admission shows.
const centreEnd = 20 * time.Second

// centreRun takes the first data centre out once.
func centreRun(size fleetSize, seed uint64, c centreCase, off mechanisms) centreOutcome {
	script := churn{name: c.name, apply: func(r *routingRun) {
		r.cutsWork = off.cutsWork
		c.faults(r)
		r.at(epoch.Add(outAt), func() { r.spreadOut(c.outage, off) })
	}}
	m := method{name: "fleet", switches: admit.Disabled{Gate: off.noGate}}
	r := shortRun(size, seed, script, m, outAt+centreEnd)
	return centreOutcome{
		after: max(0, r.stats.lastIn[0].Sub(epoch.Add(outAt))), lost: r.lost(),
		refused: r.stats.refused, given: r.stats.given, arrived: r.stats.arrived,
	}
}

// outageAfter is how long after the record the log fails. The fastest readers
// have it by then.
const outageAfter = 60 * time.Millisecond

// process is an entry or a side as far as the spread of a record goes.
type process struct {
	knows bool
	learn func()
	peers []int // that it exchanges with once a report period
}

// spreadOut brings the record to the processes: through the log while it is up,
// and through the reports and their replies.
func (r *routingRun) spreadOut(outage bool, off mechanisms) {
	ps := r.processes()
	reader := r.faults.IntN(len(ps)) // reads the record before any outage
	for i, p := range ps {
		lag := r.logLag()
		if i == reader {
			lag = logLagMin
		}
		if outage && lag > outageAfter {
			continue
		}
		r.after(lag, func() { p.hear() })
	}
	if off.noExchange {
		return
	}
	for _, p := range ps {
		start := r.now.Sub(epoch) + time.Duration(r.faults.Int64N(int64(reportEvery)))
		r.every(start, reportEvery, outAt+centreEnd, func() {
			for _, k := range p.peers {
				if p.knows || ps[k].knows {
					r.after(r.size.oneWay, ps[k].hear)
					r.after(2*r.size.oneWay, p.hear)
				}
			}
		})
	}
}

func (p *process) hear() {
	if !p.knows {
		p.knows = true
		p.learn()
	}
}

// processes lists the entries and then the sides. Sides report to the two
// holders, which are the first two entries at this size, and entries to the
// first one.
func (r *routingRun) processes() []*process {
	var out []*process
	for i, e := range r.entries {
		p := &process{learn: func() { r.closeEntry(e, 0, true) }}
		if i > 0 {
			p.peers = []int{0}
		}
		out = append(out, p)
	}
	for _, en := range r.engines {
		p := &process{learn: func() {}, peers: []int{0, 1}}
		if en.centre == 0 {
			p.learn = func() { r.closeSide(en, true) }
		}
		out = append(out, p)
	}
	return out
}
