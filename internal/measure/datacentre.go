package measure

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/admit"
)

// evacuationBound is the time from the record that evacuates a data centre
// within which its last request must be admitted (R3).
const evacuationBound = 4 * time.Second

func centreScenarios() []Scenario {
	return []Scenario{
		{"datacentre/kauri", func(env Env) []Figure { return centreFigures(fleetSizes[0], env.Seed) }},
		{"datacentre/kalesa", func(env Env) []Figure { return centreFigures(fleetSizes[1], env.Seed) }},
	}
}

// centreCase is a way in which the record that evacuates a data centre
// propagates.
type centreCase struct {
	name   string
	outage bool // the log fails shortly after the record
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

// centreDisabled selects the mechanisms of an evacuation that are turned off for
// the baseline and by tests.
type centreDisabled struct {
	exchange bool // processes learn of the record from the log only
	gate     bool // evacuated sides admit requests
	drain    bool // evacuated sides end the running work instead of letting it finish
}

func centreFigures(size fleetSize, seed uint64) []Figure {
	var out []Figure
	for _, c := range centreCases() {
		with, without := centreRuns(size, seed, c, centreDisabled{}), centreRuns(size, seed, c, centreDisabled{gate: true})
		out = append(out,
			Figure{Name: "datacentre/" + size.name + "/" + c.name + "/last_admission", Value: with.lastAdmission.Seconds(), Unit: "s", Relation: AtMost, Target: evacuationBound.Seconds(),
				Baseline: fmt.Sprintf("without the sides' refusal %.3f; worst of %d records", without.lastAdmission.Seconds(), centreTrials)},
			Figure{Name: "datacentre/" + size.name + "/" + c.name + "/lost", Value: float64(with.lost), Unit: "requests", Relation: Equal,
				Baseline: fmt.Sprintf("refusals %d, callers that gave up %d of %d", with.refused, with.gaveUp, with.arrived)})
	}
	return out
}

// centreTrials is the number of records of one case. Often no request arrives
// in the short time in which a single record propagates.
const centreTrials = 6

// centreOutcome combines the results of the trials of a case.
type centreOutcome struct {
	lastAdmission                  time.Duration // time from the record to the last admission, worst trial
	lost, refused, gaveUp, arrived int
}

func centreRuns(size fleetSize, seed uint64, c centreCase, disabled centreDisabled) centreOutcome {
	var trials [centreTrials]centreOutcome
	var g errgroup.Group
	for i := range trials {
		g.Go(func() error {
			trials[i] = centreRun(size, seed*centreTrials+uint64(i), c, disabled)
			return nil
		})
	}
	_ = g.Wait()
	var sum centreOutcome
	for _, t := range trials {
		sum.lastAdmission = max(sum.lastAdmission, t.lastAdmission)
		sum.lost += t.lost
		sum.refused += t.refused
		sum.gaveUp += t.gaveUp
		sum.arrived += t.arrived
	}
	return sum
}

// centreRunTail is how long a run continues after the record. It is several
// times the bound, so that late admissions are seen.
const centreRunTail = 20 * time.Second

// centreRun evacuates the first data centre once.
func centreRun(size fleetSize, seed uint64, c centreCase, disabled centreDisabled) centreOutcome {
	script := churn{name: c.name, apply: func(r *routingRun) {
		r.drainDisabled = disabled.drain
		c.faults(r)
		r.at(epoch.Add(evacuateAt), func() { r.propagateEvacuation(c.outage, disabled) })
	}}
	m := method{name: "fleet", disabled: admit.Disabled{Gate: disabled.gate}}
	r := shortRun(size, seed, script, m, evacuateAt+centreRunTail)
	return centreOutcome{
		lastAdmission: max(0, r.stats.lastAdmission[0].Sub(epoch.Add(evacuateAt))), lost: r.lost(),
		refused: r.stats.refused, gaveUp: r.stats.gaveUp, arrived: r.stats.arrived,
	}
}

// outageDelay is the time from the record to the failure of the log. The fastest
// readers have read the record by then.
const outageDelay = 60 * time.Millisecond

// process is an entry or a side, reduced to the propagation of one record.
type process struct {
	received bool
	apply    func()
	peers    []int // processes to which it reports once a report interval
}

// propagateEvacuation delivers the record to the processes: through the log
// while it is up, and through load reports and their replies.
func (r *routingRun) propagateEvacuation(outage bool, disabled centreDisabled) {
	ps := r.processes()
	reader := r.faults.IntN(len(ps)) // reads the record before any outage
	for i, p := range ps {
		lag := r.logLag()
		if i == reader {
			lag = logLagMin
		}
		if outage && lag > outageDelay {
			continue
		}
		r.after(lag, func() { p.receive() })
	}
	if disabled.exchange {
		return
	}
	for _, p := range ps {
		start := r.now.Sub(epoch) + time.Duration(r.faults.Int64N(int64(reportInterval)))
		r.every(start, reportInterval, evacuateAt+centreRunTail, func() {
			for _, k := range p.peers {
				if p.received || ps[k].received {
					r.after(r.size.oneWay, ps[k].receive)
					r.after(2*r.size.oneWay, p.receive)
				}
			}
		})
	}
}

func (p *process) receive() {
	if !p.received {
		p.received = true
		p.apply()
	}
}

// processes returns the entries and then the sides. Sides report to both
// aggregators, which are the first two entries at this size; entries report to
// the first entry.
func (r *routingRun) processes() []*process {
	var out []*process
	for i, e := range r.entries {
		p := &process{apply: func() { r.setEntryEvacuated(e, 0, true) }}
		if i > 0 {
			p.peers = []int{0}
		}
		out = append(out, p)
	}
	for _, en := range r.engines {
		p := &process{apply: func() {}, peers: []int{0, 1}}
		if en.centre == 0 {
			p.apply = func() { r.setSideEvacuated(en, true) }
		}
		out = append(out, p)
	}
	return out
}
