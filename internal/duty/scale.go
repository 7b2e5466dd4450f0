package duty

import (
	"math"
	"time"
)

// Subject is a pool in a data centre, whose number of endpoints can be ordered.
type Subject struct{ Pool, DataCentre string }

// Demand is what is known of a subject at one moment.
type Demand struct {
	Subject   Subject
	Endpoints int     // listed and not draining, cold ones included
	Slots     int     // of them together; 0 if not known
	Load      float64 // requests in flight there, waiting ones included
	Min, Max  int     // allowed number of endpoints
	Boot      time.Duration
}

// Order asks for a number of endpoints.
type Order struct {
	Subject Subject
	Desired int
}

// Reason says why an order is made.
type Reason string

// The reasons of an order.
const (
	LoadHigh Reason = "load_high" // the load has stayed high
	LoadLow  Reason = "load_low"  // even the highest load of a long time needs fewer
	Differs  Reason = "differs"   // the number of endpoints has not followed the last order
)

const (
	// highUse is the use of the slots from which endpoints are ordered, if it lasts for
	// highTime. Beyond four fifths, queues grow quickly with the variation of requests.
	highUse  = 0.75
	highTime = 3
	// useAfterRise and useAfterFall are the use for which the number is chosen. A rise
	// leaves room for the growth while endpoints boot. A fall leaves more, since
	// overload costs callers far more than an idle endpoint.
	useAfterRise = 0.6
	useAfterFall = 0.5
	// fallTime is the shortest time over which the highest load counts for a fall, and
	// between a change and a fall; boot times are multiplied by fallBoots.
	fallTime  = 30 * time.Second
	fallBoots = 3
	// maxFallShare is the part of the endpoints that one order removes at most, but one
	// endpoint always.
	maxFallShare = 0.1
	// settleTime is how long after their boot time new endpoints are given until they
	// take their part of the load.
	settleTime = 3 * time.Second
	// differTime is how long beyond the boot time the number may differ from the order
	// until the order is repeated. Endpoints that crash return within seconds.
	differTime = 10 * time.Second
	// keptLoads is the number of seconds of loads that are kept.
	keptLoads = 300
)

// Scaler decides how many endpoints to order. All times are of the boot-time clock.
type Scaler struct{ subjects map[Subject]*subjectState }

type subjectState struct {
	desired int           // as ordered last, or the endpoints that were listed first
	own     bool          // desired was ordered
	changed time.Duration // when it was ordered
	differs time.Duration // since when the endpoints differ from it; unset if they do not
	loads   []float64     // means of whole seconds, the last one newest
	second  int64
	sum     float64
	samples int
}

// NewScaler returns a scaler that knows the last orders.
func NewScaler(last []Order, now time.Duration) *Scaler {
	s := &Scaler{subjects: map[Subject]*subjectState{}}
	for _, o := range last {
		s.subjects[o.Subject] = &subjectState{desired: o.Desired, own: true, changed: now, differs: unset}
	}
	return s
}

// Orders returns the last orders, with the given one in place of that of its subject.
func (s *Scaler) Orders(with Order) []Order {
	out := []Order{with}
	for subject, st := range s.subjects {
		if st.own && subject != with.Subject {
			out = append(out, Order{subject, st.desired})
		}
	}
	return out
}

// Ordered records that an order is made.
func (s *Scaler) Ordered(o Order, now time.Duration) {
	if st := s.subjects[o.Subject]; st != nil {
		st.desired, st.own, st.changed, st.differs = o.Desired, true, now, unset
	}
}

// Step applies what is known of a subject now and returns an order if one is due.
func (s *Scaler) Step(now time.Duration, d Demand) (Order, Reason, bool) {
	st := s.subjects[d.Subject]
	if st == nil {
		st = &subjectState{desired: d.Endpoints, changed: now, differs: unset}
		s.subjects[d.Subject] = st
	}
	if d.Endpoints == 0 || d.Slots == 0 || d.Max < 1 || d.Max < d.Min {
		st.loads, st.samples, st.sum, st.differs = nil, 0, 0, unset // no data
		return Order{}, "", false
	}
	if !st.own {
		st.desired = max(st.desired, d.Endpoints)
	}
	st.add(now, d.Load)
	perEndpoint := float64(d.Slots) / float64(d.Endpoints)
	clamp := func(n int) int { return max(d.Min, min(d.Max, n)) }
	if n := clamp(st.rise(now, d, perEndpoint)); n > st.desired {
		return Order{d.Subject, n}, LoadHigh, true
	}
	if n := clamp(st.fall(now, d, perEndpoint)); n < st.desired {
		return Order{d.Subject, n}, LoadLow, true
	}
	if st.differ(now, d) && clamp(st.desired) == st.desired {
		return Order{d.Subject, st.desired}, Differs, true
	}
	return Order{}, "", false
}

// add adds a sample of the load.
func (st *subjectState) add(now time.Duration, load float64) {
	if second := int64(now / time.Second); second != st.second {
		if st.samples > 0 {
			st.loads = append(st.loads, st.sum/float64(st.samples))
			st.loads = st.loads[max(0, len(st.loads)-keptLoads):]
		}
		if second > st.second+highTime {
			st.loads = nil // nothing was known meanwhile
		}
		st.second, st.sum, st.samples = second, 0, 0
	}
	st.sum += load
	st.samples++
}

// rise returns the number of endpoints that a load needs which has stayed high.
func (st *subjectState) rise(now time.Duration, d Demand, perEndpoint float64) int {
	if len(st.loads) < highTime || st.own && now < st.changed+d.Boot+settleTime {
		return 0
	}
	// Endpoints that are ordered and not there yet count, since they return or boot.
	capacity := float64(max(d.Endpoints, st.desired)) * perEndpoint
	sum := 0.0
	for _, load := range st.loads[len(st.loads)-highTime:] {
		if load < highUse*capacity {
			return 0
		}
		sum += load
	}
	return needed(sum/highTime, perEndpoint, useAfterRise)
}

// fall returns the number of endpoints that suffices for the highest load of a long time,
// or the present one if there is no reason to lower it.
func (st *subjectState) fall(now time.Duration, d Demand, perEndpoint float64) int {
	hold := max(fallTime, fallBoots*d.Boot)
	seconds := int(hold / time.Second)
	if now < st.changed+hold || len(st.loads) < min(seconds, keptLoads) || d.Endpoints < st.desired {
		return st.desired
	}
	highest := 0.0
	for _, load := range st.loads[len(st.loads)-min(seconds, keptLoads):] {
		highest = max(highest, load)
	}
	step := max(1, int(maxFallShare*float64(st.desired)))
	return max(needed(highest, perEndpoint, useAfterFall), st.desired-step)
}

// differ reports whether the number of endpoints has differed from the desired one for
// long. More endpoints than before count only after an order, since others may add some.
func (st *subjectState) differ(now time.Duration, d Demand) bool {
	if d.Endpoints == st.desired {
		st.differs = unset
		return false
	}
	if st.differs == unset {
		st.differs = now
	}
	return now >= max(st.differs, st.changed)+d.Boot+differTime
}

func needed(load, perEndpoint, use float64) int { return int(math.Ceil(load / (perEndpoint * use))) }
