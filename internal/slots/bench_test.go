package slots

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDemand measures what a demand costs the home of a pool whose routers all have
// waiting requests.
func BenchmarkDemand(b *testing.B) {
	for _, routers := range []int{28, 46, 370} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			h := NewHome(0, testConfig)
			h.SetEndpoints([]Endpoint{{Hash: 1, Slots: 6}, {Hash: 2, Slots: 6}, {Hash: 3, Slots: 6}, {Hash: 4, Slots: 6}})
			var d Demand
			d.Levels[2] = Level{Running: 1, Waiting: 2}
			now := time.Duration(0)
			applied := make([]uint32, routers)
			for i := 0; b.Loop(); i++ {
				now += 10 * time.Millisecond
				d.Number, d.Applied = uint32(i+1), applied[i%routers]
				if g, ok := h.Apply(now, name(i%routers), d); ok {
					applied[i%routers] = g.Number
				}
				h.Push(now)
			}
		})
	}
}
