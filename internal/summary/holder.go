package summary

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Report is the load report of a side about its endpoint to an aggregator.
type Report struct {
	Endpoint model.EndpointID
	Key      Key
	Group    int
	Load     int64 // cost units of admitted and queued work
	Running  int   // admitted requests
	Leaving  bool  // takes no new work; not part of the mean
}

// Sum is the total load of the endpoints of a group.
type Sum struct {
	Load      int64 // cost units
	Endpoints int
	Age       time.Duration // mean age of the reports in the sum
}

// Mean is the mean load of the endpoints of a pool in a region.
type Mean struct {
	PerEndpoint float64 // cost units
	Endpoints   int     // endpoints that reported; 0 if the mean is unknown
	Age         time.Duration
}

// MaxReportAge is the age above which a report is stale: the longest report
// interval of 4 s plus one exchange with the root.
const MaxReportAge = 6 * time.Second

// Bounds of the tables of one aggregator. An entry aggregates a few groups of
// about 12 endpoints and may be the root of a pool of 850.
const (
	maxReports = 4096
	maxSums    = 1024
)

type timedReport struct {
	Report
	at time.Time
}

type groupID struct {
	key   Key
	group int
}

type timedSum struct {
	Sum
	at time.Time // mean time of the reports by the local clock
}

// Aggregator holds the reports, sums and means that one entry has received. It
// belongs to the control goroutine.
type Aggregator struct {
	reports map[model.EndpointID]timedReport
	sums    map[groupID]timedSum
	means   map[Key]timedMean // received from roots
	expire  bool              // ignore what is older than MaxReportAge; tests switch it off
}

type timedMean struct {
	Mean
	at time.Time
}

// NewAggregator returns an empty aggregator.
func NewAggregator() *Aggregator {
	return &Aggregator{reports: map[model.EndpointID]timedReport{}, sums: map[groupID]timedSum{}, means: map[Key]timedMean{}, expire: true}
}

// AddReport stores a report that was received at now. The report of a leaving
// endpoint removes the stored one.
func (a *Aggregator) AddReport(now time.Time, r Report) {
	if r.Leaving {
		delete(a.reports, r.Endpoint)
		return
	}
	if _, known := a.reports[r.Endpoint]; known || len(a.reports) < maxReports {
		a.reports[r.Endpoint] = timedReport{r, now}
	}
}

// AddSum stores the sum of a group that one of its aggregators sent. The sum with
// the freshest reports is kept. A sum of fewer endpoints replaces the other
// aggregator's only if it is fresher by more than two sum intervals.
func (a *Aggregator) AddSum(now time.Time, k Key, group int, s Sum) {
	id := groupID{k, group}
	next := timedSum{s, now.Add(-s.Age)}
	old, known := a.sums[id]
	if known && !next.fresherThan(old) || !known && len(a.sums) >= maxSums {
		return
	}
	a.sums[id] = next
}

// groupSumInterval is the interval at which aggregators send their group sums to
// the roots.
const groupSumInterval = time.Second

func (s timedSum) fresherThan(old timedSum) bool {
	if s.Endpoints < old.Endpoints {
		return s.at.After(old.at.Add(2 * groupSumInterval))
	}
	return s.at.After(old.at)
}

// AddMean stores the mean of a pool that was received from a root, if it is fresher
// than the stored one.
func (a *Aggregator) AddMean(now time.Time, k Key, m Mean) {
	next := timedMean{m, now.Add(-m.Age)}
	if m.Endpoints > 0 && next.at.After(a.means[k].at) {
		a.means[k] = next
	}
}

// GroupSum is the sum of one group that an aggregator has computed.
type GroupSum struct {
	Key   Key
	Group int
	Sum   Sum
}

// GroupSums returns the sums of all groups whose endpoints report to this
// aggregator.
func (a *Aggregator) GroupSums(now time.Time) []GroupSum {
	type total struct {
		sum  Sum
		ages time.Duration
	}
	totals := map[groupID]total{}
	for _, r := range a.reports {
		if a.stale(now, r.at) {
			continue
		}
		id := groupID{r.Key, r.Group}
		t := totals[id]
		t.sum.Load += r.Load
		t.sum.Endpoints++
		t.ages += now.Sub(r.at)
		totals[id] = t
	}
	out := make([]GroupSum, 0, len(totals))
	for id, t := range totals {
		t.sum.Age = t.ages / time.Duration(t.sum.Endpoints)
		out = append(out, GroupSum{id.key, id.group, t.sum})
	}
	slices.SortFunc(out, func(a, b GroupSum) int {
		return cmp.Or(cmp.Compare(a.Key.name(), b.Key.name()), cmp.Compare(a.Group, b.Group))
	})
	return out
}

// RootMean returns the mean that this entry computes as a root: from the sums of
// the groups, or from its own reports if the pool has one group.
func (a *Aggregator) RootMean(now time.Time, k Key) Mean {
	var load int64
	var ages time.Duration
	n := 0
	add := func(s Sum) {
		load += s.Load
		n += s.Endpoints
		ages += s.Age * time.Duration(s.Endpoints)
	}
	own := map[int]bool{}
	for _, g := range a.GroupSums(now) {
		if g.Key == k {
			own[g.Group] = true
			add(a.freshestSum(now, g))
		}
	}
	for id, s := range a.sums {
		if id.key == k && !own[id.group] && !a.stale(now, s.at) {
			add(Sum{s.Load, s.Endpoints, now.Sub(s.at)})
		}
	}
	if n == 0 {
		return Mean{}
	}
	return Mean{PerEndpoint: float64(load) / float64(n), Endpoints: n, Age: ages / time.Duration(n)}
}

// freshestSum returns the sum of a group computed here or the one received from
// its other aggregator, whichever is fresher.
func (a *Aggregator) freshestSum(now time.Time, own GroupSum) Sum {
	other, ok := a.sums[groupID{own.Key, own.Group}]
	if !ok || a.stale(now, other.at) || !other.fresherThan(timedSum{own.Sum, now.Add(-own.Sum.Age)}) {
		return own.Sum
	}
	return Sum{other.Load, other.Endpoints, now.Sub(other.at)}
}

// maxRootMeanAge is the age up to which the mean of a root is forwarded to sides.
// A side receives the next one within 2 s, so its mean stays within MaxReportAge.
// Above it the mean of the own group, about 12 endpoints, is the better estimate.
const maxRootMeanAge = 3500 * time.Millisecond

// Mean returns the best known mean: the one received from a root if it covers more
// endpoints than the one computed here, or as many and is fresher, else the latter.
// A root's mean above maxRootMeanAge is used only if none can be computed here.
func (a *Aggregator) Mean(now time.Time, k Key) Mean {
	own := a.RootMean(now, k)
	m, ok := a.means[k]
	if !ok || a.stale(now, m.at) || m.Endpoints < own.Endpoints {
		return own
	}
	if own.Endpoints > 0 && now.Sub(m.at) > maxRootMeanAge {
		return own
	}
	if m.Endpoints == own.Endpoints && own.Age <= now.Sub(m.at) {
		return own
	}
	m.Age = now.Sub(m.at)
	return m.Mean
}

// Sweep drops stale reports, sums and means.
func (a *Aggregator) Sweep(now time.Time) {
	maps.DeleteFunc(a.reports, func(_ model.EndpointID, r timedReport) bool { return a.stale(now, r.at) })
	maps.DeleteFunc(a.sums, func(_ groupID, s timedSum) bool { return a.stale(now, s.at) })
	maps.DeleteFunc(a.means, func(_ Key, m timedMean) bool { return a.stale(now, m.at) })
}

func (a *Aggregator) stale(now, at time.Time) bool { return a.expire && now.Sub(at) > MaxReportAge }
