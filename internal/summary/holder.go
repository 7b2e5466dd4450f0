package summary

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Report is what a side tells a holder about its endpoint.
type Report struct {
	Endpoint model.EndpointID
	Key      Key
	Group    int
	Load     int64 // cost units of admitted work
	Running  int   // requests of admitted work
	Leaving  bool  // takes no new work; left out of the mean
}

// Sum is the load of the endpoints of a group.
type Sum struct {
	Load      int64 // cost units
	Endpoints int
	Age       time.Duration // average age of the reports in the sum
}

// Mean is the mean load of the endpoints of a pool in a region.
type Mean struct {
	PerEndpoint float64 // cost units
	Endpoints   int     // endpoints that reported; 0 if the mean is not known
	Age         time.Duration
}

// MaxReportAge is the age at which a report no longer counts: the longest report
// period of 4 s plus one exchange with the root.
const MaxReportAge = 6 * time.Second

// Bounds on the tables of one holder. An entry holds a few groups of about 12
// endpoints and may be root of a pool of 850.
const (
	maxReports = 4096
	maxSums    = 1024
)

type reported struct {
	Report
	at time.Time
}

type groupID struct {
	key   Key
	group int
}

type summed struct {
	Sum
	at time.Time // when the reports were made, on average, by this clock
}

// Aggregator keeps the sums of one entry. It belongs to the control goroutine.
type Aggregator struct {
	reports map[model.EndpointID]reported
	sums    map[groupID]summed
	means   map[Key]mean // as a root told them
	expire  bool         // drop what is older than Staleness; tests switch it off
}

type mean struct {
	Mean
	at time.Time
}

// NewAggregator returns a holder without reports.
func NewAggregator() *Aggregator {
	return &Aggregator{reports: map[model.EndpointID]reported{}, sums: map[groupID]summed{}, means: map[Key]mean{}, expire: true}
}

// AddReport keeps the report of an endpoint that was received at now.
func (h *Aggregator) AddReport(now time.Time, r Report) {
	if r.Leaving {
		delete(h.reports, r.Endpoint)
		return
	}
	if _, known := h.reports[r.Endpoint]; known || len(h.reports) < maxReports {
		h.reports[r.Endpoint] = reported{r, now}
	}
}

// AddSum keeps the sum of a group as one of its holders reported it. The one
// with the freshest reports counts; a holder that hears from fewer endpoints
// than the other wins only once the other's sum is a report period older.
func (h *Aggregator) AddSum(now time.Time, k Key, group int, s Sum) {
	id := groupID{k, group}
	next := summed{s, now.Add(-s.Age)}
	old, known := h.sums[id]
	if known && !next.fresherThan(old) || !known && len(h.sums) >= maxSums {
		return
	}
	h.sums[id] = next
}

// sumPeriod is the interval at which holders send their sums.
const sumPeriod = time.Second

func (s summed) fresherThan(old summed) bool {
	if s.Endpoints < old.Endpoints {
		return s.at.After(old.at.Add(2 * sumPeriod))
	}
	return s.at.After(old.at)
}

// AddMean keeps the mean of a pool as a root told it.
func (h *Aggregator) AddMean(now time.Time, k Key, m Mean) {
	next := mean{m, now.Add(-m.Age)}
	if m.Endpoints > 0 && next.at.After(h.means[k].at) {
		h.means[k] = next
	}
}

// GroupSum is the sum of one group that this holder keeps.
type GroupSum struct {
	Key   Key
	Group int
	Sum   Sum
}

// GroupSums returns the sums of all groups that reported to this holder.
func (h *Aggregator) GroupSums(now time.Time) []GroupSum {
	type total struct {
		sum  Sum
		ages time.Duration
	}
	totals := map[groupID]total{}
	for _, r := range h.reports {
		if h.stale(now, r.at) {
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

// RootMean returns the mean that this entry knows as a root: from the sums of the
// groups, or from its own reports if the pool has one group.
func (h *Aggregator) RootMean(now time.Time, k Key) Mean {
	var load int64
	var ages time.Duration
	n := 0
	add := func(s Sum) {
		load += s.Load
		n += s.Endpoints
		ages += s.Age * time.Duration(s.Endpoints)
	}
	own := map[int]bool{}
	for _, g := range h.GroupSums(now) {
		if g.Key == k {
			own[g.Group] = true
			add(h.freshest(now, g))
		}
	}
	for id, s := range h.sums {
		if id.key == k && !own[id.group] && !h.stale(now, s.at) {
			add(Sum{s.Load, s.Endpoints, now.Sub(s.at)})
		}
	}
	if n == 0 {
		return Mean{}
	}
	return Mean{PerEndpoint: float64(load) / float64(n), Endpoints: n, Age: ages / time.Duration(n)}
}

// freshest returns the own sum of a group or the one of its other holder.
func (h *Aggregator) freshest(now time.Time, own GroupSum) Sum {
	other, ok := h.sums[groupID{own.Key, own.Group}]
	if !ok || h.stale(now, other.at) || !other.fresherThan(summed{own.Sum, now.Add(-own.Sum.Age)}) {
		return own.Sum
	}
	return Sum{other.Load, other.Endpoints, now.Sub(other.at)}
}

// maxRootAge is the age up to which a root's mean is passed on. A side hears
// the next one within 2 s, so its mean stays within Staleness. Beyond it the
// mean of the own group, about 12 endpoints, is the better estimate.
const maxRootAge = 3500 * time.Millisecond

// Mean returns the best known mean: a root's that covers more groups than this
// holder, or the own one.
func (h *Aggregator) Mean(now time.Time, k Key) Mean {
	own := h.RootMean(now, k)
	m, ok := h.means[k]
	if !ok || h.stale(now, m.at) || m.Endpoints < own.Endpoints {
		return own
	}
	if own.Endpoints > 0 && now.Sub(m.at) > maxRootAge {
		return own
	}
	if m.Endpoints == own.Endpoints && own.Age <= now.Sub(m.at) {
		return own
	}
	m.Age = now.Sub(m.at)
	return m.Mean
}

// Sweep drops what has expired.
func (h *Aggregator) Sweep(now time.Time) {
	maps.DeleteFunc(h.reports, func(_ model.EndpointID, r reported) bool { return h.stale(now, r.at) })
	maps.DeleteFunc(h.sums, func(_ groupID, s summed) bool { return h.stale(now, s.at) })
	maps.DeleteFunc(h.means, func(_ Key, m mean) bool { return h.stale(now, m.at) })
}

func (h *Aggregator) stale(now, at time.Time) bool { return h.expire && now.Sub(at) > MaxReportAge }
