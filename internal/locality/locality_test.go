package locality

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

const interval = 300 * time.Millisecond

// play lets the share of each class settle while callers have as many requests in flight as
// demanded, the same of each class, at own endpoints whose delay rises by 1 ms for each request, and
// returns the delays and the remote share. The other side has twice the endpoints.
func play(p *Pool, prices map[Class]float64, demand float64, from time.Time) (local, remote, share float64) {
	load := 0.0 // share of the demand that is at other data centres, which follows with a lag
	for i := range 35 {
		now := from.Add(time.Duration(i) * interval)
		sent := 0.0
		for class, price := range prices {
			for range 20 {
				p.Decide(class, price, 0.5)
			}
			if class.Stays {
				sent++
			} else {
				sent += p.Share(class)
			}
		}
		load += 0.25 * (sent/float64(len(prices)) - load)
		l, r := demand*(1-load)/10, (100+demand*load)/20
		local, remote = 10+l, 10+r
		p.Update(now, interval, View{
			Local:  Side{Endpoints: 10, Load: 10 * l, Delay: local, Slope: 1},
			Remote: Side{Endpoints: 20, Load: 20 * r, Delay: remote, Slope: 1},
			Home:   demand, HomeRemote: demand * load, Bound: math.Inf(1),
		})
	}
	return local, remote, load
}

// Guards against requests that are costly to send and go although cheap ones suffice, against
// a share that does not make the marginal delays differ by the price, and against one that
// stays when the own load is as low as that of others.
func TestCheapRequestsGoFirst(t *testing.T) {
	is := is.New(t)
	small, long := Class{Kind: "small"}, Class{Kind: "long", Moves: true}
	prices := map[Class]float64{small: 3, long: 190, {Kind: "other", Stays: true}: 3}
	p := NewPool()
	local, remote, share := play(p, prices, 500, start)
	t.Logf("delays %.1f and %.1f ms, small %.2f, long %.2f, all %.2f", local, remote, p.Share(small), p.Share(long), share)
	is.True(p.Share(small) > 0.3)
	is.Equal(p.Share(long), 0.0)
	// With a delay of 10 + load the marginal one is 10 + 2 x load, and startMargin of it is the
	// most that may remain beyond the price.
	gap := 2 * (local - remote)
	is.True(gap > 3-1 && gap < 3+startMargin*(2*local-10))
	_, _, share = play(p, map[Class]float64{small: 3, long: 190}, 50, start.Add(time.Minute))
	is.True(share < 0.01)
}

// Guards against requests in calm that go to other data centres for the variation of the
// load, and against any without a view of both sides.
func TestNothingGoesInCalm(t *testing.T) {
	is := is.New(t)
	class := Class{Kind: "small"}
	p := NewPool()
	_, _, share := play(p, map[Class]float64{class: 0.1}, 60, start)
	is.Equal(share, 0.0)
	for range 20 {
		p.Decide(class, 0.1, 0.5)
	}
	is.Equal(p.Update(start.Add(time.Minute), interval, View{Local: Side{Endpoints: 3, Load: 300, Delay: 500, Slope: 1}, Home: 300}), None)
	is.Equal(p.Share(class), 0.0)
}

// Guards against own endpoints above their bound, whatever the price.
func TestTheBoundGoesBeforeThePrice(t *testing.T) {
	is := is.New(t)
	class := Class{Kind: "small"}
	p := NewPool()
	for i := range 20 {
		p.Decide(class, 1e6, 0.5)
		p.Update(start.Add(time.Duration(i)*interval), interval, View{Local: Side{Endpoints: 10, Load: 200, Delay: 10}, Remote: Side{Endpoints: 10, Load: 50, Delay: 10}, Home: 200, Bound: 15})
	}
	is.True(math.Abs(p.Share(class)-0.25) < 0.01) // 50 of the 200 requests are to go
	remote, bound := p.Decide(class, 1e6, 0.1)
	is.True(remote && bound)
}
