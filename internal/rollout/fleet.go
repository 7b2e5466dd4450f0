package rollout

import (
	"fmt"
	"strings"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Stage is the state of a roll-out that a fleet of routers carries out. A higher stage
// replaces a lower one, except that only one of Completed and Reverted is ever stored.
type Stage int

// The stages.
const (
	Observing Stage = iota // the new version gets the first share
	Passed                 // the evidence suffices; the whole share follows at a time that is known
	Completed              // stored: the old version gets nothing
	Reverted               // the new version gets nothing
)

// Versions as they occur in the keys of the evidence of a fleet.
const (
	NewVersion model.Version = "new"
	OldVersion model.Version = "old" // all versions but the new one
)

const (
	// budgetPart is the part of the permitted exposure that is planned for. The rest
	// covers requests that cannot be counted yet and routers that start.
	budgetPart = 0.85
	// tolerancePart is the part of the permitted number of requests beyond the share
	// that is planned for.
	tolerancePart = 0.5
	// firstPart is the part of the planned share that is used while the version is
	// observed, beside the planned requests beyond the share, which are most of the evidence
	// in a small pool. The rest lasts for a twentieth of the window at the whole share.
	firstPart = 0.4
	// maxBudget bounds the planned exposure where the tolerance is large relative to the
	// traffic of the pool.
	maxBudget = 0.4
	// maxFirst bounds the share at which a version is observed.
	maxFirst = 0.15
	// minWindow is the shortest time after which the rate of the pool is extrapolated.
	minWindow = time.Second
	// passLead is how long before the whole share the evidence has to suffice, beyond the
	// interval between reports: all routers learn of it and confirm that.
	passLead = 500 * time.Millisecond
	// completeDelay is the time from the whole share until the verdict is stored. The
	// requests that were placed before reach their endpoints.
	completeDelay = 150 * time.Millisecond
	// completeLead is how long before the deadline the verdict is stored, if the window
	// is long enough. It covers a slow response of the store and the time at which
	// routers saw the order.
	completeLead = 600 * time.Millisecond
	// confirmTime is the time after the deadline in which a version that has passed may
	// still be completed.
	confirmTime = time.Second
	// minRouteEvidence is the number of requests of the new version on each route
	// without which it does not pass. Of versions that fail three in ten, 1 in 70 passes.
	minRouteEvidence = 12
	// minTimedEvidence is the same for responses whose times can be compared, which are
	// fewer at new endpoints. Of versions of which four in ten are slow, 1 in 60 passes.
	minTimedEvidence = 8
	// minTotalEvidence is the same for all routes together.
	minTotalEvidence = 30
	// minRouteShare is the share of the old version's requests below which a route needs
	// no evidence of its own.
	minRouteShare = 0.02
	// maxBad is the number of bad responses of the new version that end the roll-out if
	// their rate is clearly above that of the old one, whatever the sequential tests say.
	// Operators count five seconds from the 50th.
	maxBad = 25
	// minReporting is the share of the announced routers that must have reported
	// recently before the version passes or is completed.
	// Fewer routers cannot judge in time what all of them send.
	minReporting = 0.75
	// contactIntervals and contactSlack give the time without a reply of the judge after
	// which a router sends nothing to the new version, and contactPart bounds it relative
	// to the time for the rollback. Requests that are on their way need the rest.
	contactIntervals = 3
	contactSlack     = time.Second
	contactPart      = 0.6
)

// Bounds of the interval between the reports of a router to the judge.
const (
	// reportSpacing is the time between two reports at the judge. A report and its reply
	// take about 330 bytes on the wire with two routes, so that all take 8 KB a second.
	reportSpacing     = 40 * time.Millisecond
	minReportInterval = 200 * time.Millisecond
	maxReportInterval = 15 * time.Second
	// badReportInterval is the shortest interval for a router that has seen another bad
	// response of the new version. It is half of the usual one at the least, so that a
	// version that fails everywhere does not flood the judge.
	badReportInterval = 400 * time.Millisecond
)

// ReportInterval returns the time between two reports of a router in a fleet with the
// given number of routers. worse says that it saw another bad response of the new version.
func ReportInterval(routers int, worse bool) time.Duration {
	interval := min(max(time.Duration(routers)*reportSpacing, minReportInterval), maxReportInterval)
	if worse {
		interval = min(interval, max(interval/2, badReportInterval))
	}
	return interval
}

// Terms are the order of a roll-out and the bounds of the exposure.
type Terms struct {
	Target    model.Version
	Window    time.Duration // from the order to its deadline
	Share     float64       // of all requests that a bad version may get in the window
	Tolerance float64       // requests beyond that
	Rollback  time.Duration // after the 50th bad response a bad version gets nothing
}

// budget returns the planned share of the new version in the window of a pool with the
// given number of requests in it; 0 stands for an unknown number.
func (t Terms) budget(requests float64) float64 {
	b := budgetPart * t.Share
	if requests > 0 {
		b += tolerancePart * t.Tolerance / requests
	}
	return min(b, maxBudget)
}

// plan returns the share at which the version is observed and the time after the order at
// which the whole share begins.
func (t Terms) plan(requests float64) (first float64, fullAt time.Duration) {
	b := t.budget(requests)
	first = min(b-(1-firstPart)*budgetPart*t.Share, maxFirst)
	full := (b - first) / (1 - first)
	return first, time.Duration(float64(t.Window) * (1 - full))
}

// Report is what one router knows of a roll-out. Counts are totals since its start, so
// lost and repeated reports do no harm.
type Report struct {
	Arrived  int64 // requests for the pool since the order
	Newer    int64 // those that ended at the new version
	Evidence Evidence
	Elapsed  time.Duration // since the order, as far as the router knows
	Certain  bool          // the router saw the order arrive, so Elapsed is not too short
	Ready    bool          // the router knows when the whole share begins
}

// Decision is the reply to a report.
type Decision struct {
	Stage   Stage
	First   float64       // share while the version is observed
	FullIn  time.Duration // time until the whole share begins; used from Passed on
	Elapsed time.Duration // since the order
	Certain bool
	// Quorum says that most routers reported recently. Without it, only Reverted counts.
	Quorum bool
}

// source is the last report of a router.
type source struct {
	at      time.Time
	arrived int64
	newer   int64
	ready   bool
}

// Tracker holds what a router knows of one roll-out. Every router keeps one, and the judge
// adds the reports of the others to its own.
type Tracker struct {
	terms    Terms
	judge    *Judge
	table    *EvidenceTable
	sources  map[string]source
	began    time.Time
	certain  bool
	stage    Stage
	reason   string
	first    float64
	fullAt   time.Time // the whole share begins; zero before Passed
	contact  time.Time // last reply of the judge
	complete bool      // the verdict Completed may be stored
}

// trackedName is the name of the roll-out in the keys of evidence. A tracker holds one.
const trackedName = "r"

// timesSuffix follows the route in the keys of evidence about times. It is counted apart,
// since the times of some responses cannot be compared.
const timesSuffix = " (times)"

// TimesKey returns the key of the evidence about the times of responses on a route. It has
// no failures.
func TimesKey(newer bool, route model.Route) Key { return EvidenceKey(newer, route+timesSuffix) }

func isTimes(route model.Route) bool { return strings.HasSuffix(string(route), timesSuffix) }

// EvidenceKey returns the key of the evidence about failures on a route.
func EvidenceKey(newer bool, route model.Route) Key {
	if newer {
		return Key{trackedName, NewVersion, route}
	}
	return Key{trackedName, OldVersion, route}
}

// NewTracker returns the tracker of a roll-out whose order was seen at now. certain says
// that the order arrived then, rather than before the router started.
func NewTracker(now time.Time, t Terms, certain bool) *Tracker {
	first, _ := t.plan(0)
	return &Tracker{
		terms: t, judge: NewJudge(trackedName, lists.Rollout{Old: OldVersion, New: NewVersion}), table: NewEvidenceTable(),
		sources: map[string]source{}, began: now, certain: certain, first: first,
	}
}

// Terms returns the terms of the roll-out.
func (t *Tracker) Terms() Terms { return t.terms }

// Elapsed returns the time since the order.
func (t *Tracker) Elapsed(now time.Time) time.Duration { return now.Sub(t.began) }

// Certain reports whether Elapsed is not too short.
func (t *Tracker) Certain() bool { return t.certain }

// Ready reports whether the router knows when the whole share begins.
func (t *Tracker) Ready() bool { return t.stage == Passed && !t.fullAt.IsZero() }

// Stage returns the stage and why it is Reverted.
func (t *Tracker) Stage() (Stage, string) { return t.stage, t.reason }

// align applies what another router knows of the time of the order.
func (t *Tracker) align(now time.Time, elapsed time.Duration, certain bool) {
	if began := now.Add(-elapsed); began.Before(t.began) {
		t.began = began
	}
	t.certain = t.certain || certain
}

// Add adds the report of a router. It reports false if the evidence exceeds its bounds.
func (t *Tracker) Add(now time.Time, router string, r Report) bool {
	if !t.table.Put(router, r.Evidence) {
		return false
	}
	t.align(now, r.Elapsed, r.Certain)
	t.sources[router] = source{at: now, arrived: r.Arrived, newer: r.Newer, ready: r.Ready}
	return true
}

// Decide judges the evidence of all reports. members is the number of announced routers,
// this one included, and judge says whether this router is to judge: all routers revert on
// evidence, but only the judge lets the version pass.
func (t *Tracker) Decide(now time.Time, members int, judge bool) Decision {
	elapsed := t.Elapsed(now)
	t.revertOnEvidence(elapsed)
	quorum := false
	if judge {
		quorum = t.advance(now, elapsed, members)
	}
	return Decision{Quorum: quorum, Stage: t.stage, First: t.first, FullIn: max(0, t.fullAt.Sub(now)), Elapsed: elapsed, Certain: t.certain}
}

// revertOnEvidence sets the stage Reverted if the evidence is against the version, or if
// it has not passed by the deadline.
func (t *Tracker) revertOnEvidence(elapsed time.Duration) {
	if t.stage >= Completed {
		return
	}
	total := t.table.Total()
	v := t.judge.Observe(total, min(1, float64(elapsed)/float64(max(t.terms.Window, 1))))
	var newer, older Counts
	for k, c := range total {
		if isTimes(k.Route) {
			c.Requests = 0 // counted with the failures
		}
		if k.Version == NewVersion {
			newer = newer.Add(c)
		} else {
			older = older.Add(c)
		}
	}
	bad := func(c Counts) float64 { return float64(c.Failures + c.Slow) }
	rate := func(c Counts) float64 { return bad(c) / float64(max(c.Requests, 1)) }
	switch {
	case v.Suspended:
		t.revert(v.Reason() + ": " + v.Evidence())
	case bad(newer) >= maxBad && rate(newer) > 2*rate(older)+0.01:
		t.revert(fmt.Sprintf("bad responses: new %.0f of %d, old %.0f of %d", bad(newer), newer.Requests, bad(older), older.Requests))
	case t.stage == Observing && elapsed >= t.terms.Window:
		t.revert("the evidence does not suffice by the deadline")
	}
}

func (t *Tracker) revert(reason string) {
	t.stage, t.reason, t.complete = Reverted, reason, false
}

// advance lets the version pass, and then be completed. It reports whether most routers
// reported recently.
func (t *Tracker) advance(now time.Time, elapsed time.Duration, members int) (quorum bool) {
	arrived, newer, reporting, ready := t.sums(now, members)
	requests := 0.0
	if elapsed >= minWindow {
		requests = float64(arrived) * float64(t.terms.Window) / float64(elapsed)
	}
	first, fullAt := t.terms.plan(requests)
	lead := ReportInterval(members, false) + passLead
	quorum = members > 0 && float64(reporting) >= minReporting*float64(members)
	switch t.stage {
	case Observing:
		t.first = first
		if float64(newer) > t.terms.budget(requests)*float64(arrived)+tolerancePart*t.terms.Tolerance {
			t.first = 0 // until the requests of the pool make up for it
		}
		if !quorum || !t.certain || !t.sufficient() || elapsed < fullAt-lead || elapsed > t.terms.Window-lead-completeDelay {
			break // too early, or too late to be completed by the deadline
		}
		t.stage, t.fullAt = Passed, t.began.Add(max(fullAt, elapsed))
	case Passed:
		due := t.fullAt.Add(completeDelay)
		if latest := t.began.Add(t.terms.Window - completeLead); latest.After(due) {
			due = latest
		}
		t.complete = quorum && ready == reporting && !now.Before(due) && !t.judge.warns()
		if !t.complete && elapsed >= t.terms.Window+confirmTime {
			t.revert("the evidence warns against it at the deadline, or too few routers are heard")
		}
	}
	return quorum
}

// sums returns the requests of the pool and of the new version over all reports, the
// number of routers that reported recently, and how many of them are ready.
func (t *Tracker) sums(now time.Time, members int) (arrived, newer int64, reporting, ready int) {
	maxAge := t.contactTime(members)
	for _, s := range t.sources {
		arrived, newer = arrived+s.arrived, newer+s.newer
		if now.Sub(s.at) > maxAge {
			continue
		}
		reporting++
		if s.ready {
			ready++
		}
	}
	return arrived, newer, reporting, ready
}

// sufficient reports whether the new version has enough evidence on each route and no test
// warns against it.
func (t *Tracker) sufficient() bool {
	merged := t.judge.byRoute(t.table.Total())
	var newer, older int64
	for route, c := range merged {
		if !isTimes(route) {
			newer, older = newer+c.newer.Requests, older+c.older.Requests
		}
	}
	for route, c := range merged {
		least := int64(minRouteEvidence)
		if isTimes(route) {
			least = minTimedEvidence
		}
		if c.newer.Requests < least && float64(c.older.Requests) >= minRouteShare*float64(older) {
			return false
		}
	}
	return newer >= minTotalEvidence && !t.judge.warns()
}

// Told applies the decision of a judge with a quorum to this router, or one to revert.
func (t *Tracker) Told(now time.Time, d Decision) {
	t.align(now, d.Elapsed, d.Certain)
	t.contact = now
	if t.stage >= Completed {
		return
	}
	t.first = min(max(d.First, 0), maxFirst)
	switch {
	case d.Stage == Reverted:
		t.revert("told by the judge")
	case d.Stage == Passed && t.stage == Observing:
		t.stage, t.fullAt = Passed, now.Add(d.FullIn)
	}
}

// contactTime returns the time for which a reply of the judge, or a report, counts.
func (t *Tracker) contactTime(routers int) time.Duration {
	d := contactIntervals*ReportInterval(routers, false) + contactSlack
	if t.terms.Rollback > 0 {
		d = min(d, time.Duration(contactPart*float64(t.terms.Rollback)))
	}
	return d
}

// SetStored applies the verdict that the store holds, which is final.
func (t *Tracker) SetStored(s Stage) {
	if s == Completed || s == Reverted {
		t.stage, t.complete = s, false
	}
}

// ToStore returns the verdict that the store is to hold, if there is one. A store that was
// restored from an older copy may lack one that was stored.
func (t *Tracker) ToStore() (Stage, bool) {
	switch {
	case t.stage >= Completed:
		return t.stage, true
	case t.complete:
		return Completed, true
	}
	return Observing, false
}

// RouterShare returns the share of the requests of this router that go to the new version.
// A router without contact to the judge sends nothing there: it cannot learn of the
// verdict in time.
func (t *Tracker) RouterShare(now time.Time, routers int) float64 {
	switch {
	case t.stage == Completed:
		return 1
	case t.stage == Reverted:
		return 0
	case t.contact.IsZero() || now.Sub(t.contact) > t.contactTime(routers):
		return 0
	case t.stage == Passed && !now.Before(t.fullAt):
		return 1
	case t.stage == Observing && t.Elapsed(now) >= t.terms.Window:
		return 0
	}
	return t.first
}
