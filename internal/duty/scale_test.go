package duty

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// scaleRun feeds a load to a scaler for some minutes and returns the orders. New endpoints
// are listed after their boot time.
type scaleRun struct {
	endpoints int
	load      func(second float64) float64
	gone      func(second float64) int // endpoints that are missing
	slots     func(second float64) int // of one endpoint; nil means 10
}

type madeOrder struct {
	second  float64
	desired int
	reason  Reason
}

const testBoot = 8 * time.Second

func (r scaleRun) run(seconds float64) (out []madeOrder) {
	begin := 1000 * time.Second
	s := NewScaler(nil, begin)
	desired, served := r.endpoints, r.endpoints
	due := time.Duration(math.MaxInt64)
	for at := time.Duration(0); at < time.Duration(seconds*float64(time.Second)); at += 250 * ms {
		second := at.Seconds()
		if at >= due {
			served = desired
		}
		d := Demand{Subject: Subject{"p", "dc"}, Endpoints: served, Min: 2, Max: 12, Boot: testBoot, Load: r.load(second)}
		if r.gone != nil {
			d.Endpoints -= r.gone(second)
		}
		slots := 10
		if r.slots != nil {
			slots = r.slots(second)
		}
		d.Slots = slots * d.Endpoints
		if o, reason, ok := s.Step(begin+at, d); ok {
			s.Ordered(o, begin+at)
			out = append(out, madeOrder{second, o.Desired, reason})
			due = at + testBoot
			if o.Desired < desired {
				due = at
			}
			desired = o.Desired
		}
	}
	return out
}

func constant(load float64) func(float64) float64 { return func(float64) float64 { return load } }

// Guards against orders without a lasting change: endpoints are billed by the second, and
// each order takes their boot time to have an effect.
func TestScalingLeavesASteadyLoadAlone(t *testing.T) {
	is := is.New(t)
	for _, load := range []float64{26, 30, 36, 44} { // of 60 slots
		is.Equal(len(scaleRun{endpoints: 6, load: constant(load)}.run(300)), 0)
	}
	// Peaks of two seconds do not last.
	peaks := func(second float64) float64 {
		if math.Mod(second, 20) < 2 {
			return 70
		}
		return 30
	}
	is.Equal(len(scaleRun{endpoints: 6, load: peaks}.run(300)), 0)
	// A wave whose lows last less than the time of a fall.
	wave := func(second float64) float64 { return 33 + 10*math.Sin(second/20*2*math.Pi) }
	is.Equal(len(scaleRun{endpoints: 6, load: wave}.run(300)), 0)
}

// Guards against a rise that comes late, in many steps, or not at all, and against more
// endpoints than are allowed.
func TestScalingFollowsARise(t *testing.T) {
	is := is.New(t)
	rise := func(to float64) func(float64) float64 {
		return func(second float64) float64 {
			if second < 20 {
				return 30
			}
			return to
		}
	}
	orders := scaleRun{endpoints: 6, load: rise(54)}.run(120)
	is.Equal(len(orders), 1)
	is.Equal(orders[0].desired, 9) // 54 / (10 x 0.6)
	is.True(orders[0].second < 25)
	orders = scaleRun{endpoints: 6, load: rise(500)}.run(120)
	is.Equal(len(orders), 1)
	is.Equal(orders[0].desired, 12)
}

// Guards against idle endpoints that are kept for ever, against a fall at the first quiet
// moment, and against one below what the load needs.
func TestScalingFallsSlowly(t *testing.T) {
	is := is.New(t)
	orders := scaleRun{endpoints: 10, load: constant(22)}.run(400)
	is.True(len(orders) > 0)
	is.True(orders[0].second >= 30)
	last := 10
	for i, o := range orders {
		is.Equal(o.reason, LoadLow)
		is.Equal(o.desired, last-1)
		is.True(i == 0 || o.second-orders[i-1].second >= 30)
		last = o.desired
	}
	is.Equal(last, 5) // 22 / (10 x 0.5)
	orders = scaleRun{endpoints: 3, load: constant(0)}.run(400)
	is.Equal(orders[len(orders)-1].desired, 2) // Min
}

// Guards against orders while half of the endpoints are gone for some seconds, which return
// by themselves, and against a place that stays half empty.
func TestScalingWhenHalfOfADataCentreIsGone(t *testing.T) {
	is := is.New(t)
	gone := func(until float64) func(float64) int {
		return func(second float64) int {
			if second >= 30 && second < until {
				return 4
			}
			return 0
		}
	}
	is.Equal(len(scaleRun{endpoints: 8, load: constant(42), gone: gone(38)}.run(120)), 0)
	orders := scaleRun{endpoints: 8, load: constant(42), gone: gone(1000)}.run(60)
	is.True(len(orders) > 0)
	is.True(orders[0].second >= 30+testBoot.Seconds())
	is.Equal(orders[0], madeOrder{orders[0].second, 8, Differs})
	is.True(!slices.ContainsFunc(orders, func(o madeOrder) bool { return o.desired < 8 }))
	// The load of the other data centre comes here meanwhile.
	orders = scaleRun{endpoints: 8, load: func(second float64) float64 {
		if second >= 30 {
			return 84
		}
		return 42
	}}.run(60)
	is.Equal(orders[0].reason, LoadHigh)
	is.Equal(orders[0].desired, 12)
}

// Guards against an order for which nothing is known, such as one down to the minimum after
// the list of endpoints or their slots were lost.
func TestScalingWithoutData(t *testing.T) {
	is := is.New(t)
	is.Equal(len(scaleRun{endpoints: 8, load: constant(0), slots: func(float64) int { return 0 }}.run(300)), 0)
	is.Equal(len(scaleRun{endpoints: 8, load: constant(42), gone: func(second float64) int {
		if second > 30 {
			return 8
		}
		return 0
	}}.run(300)), 0)
}

// Guards against a successor that orders anew what its predecessor ordered, or that takes
// endpoints that boot for missing.
func TestScalingGoesOnFromTheLastOrders(t *testing.T) {
	is := is.New(t)
	subject := Subject{"p", "dc"}
	s := NewScaler([]Order{{subject, 9}}, 0)
	d := Demand{Subject: subject, Endpoints: 6, Slots: 60, Load: 50, Min: 2, Max: 12, Boot: testBoot}
	for at := time.Duration(0); at < testBoot; at += 250 * ms {
		_, _, ok := s.Step(at, d)
		is.True(!ok)
	}
	is.Equal(s.Orders(Order{Subject{"q", "dc"}, 3}), []Order{{Subject{"q", "dc"}, 3}, {subject, 9}})
}
