package summary

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func filledAggregator(n int) *Aggregator {
	a := NewAggregator()
	for i := range n {
		a.AddReport(start, Report{Endpoint: model.EndpointID(fmt.Sprint("engine-", i)), Key: Key{"chat", "akl"}, Group: i % 3, Load: 1})
	}
	return a
}

// BenchmarkCapacityHolderReport measures one report received and answered by
// an aggregator of 36 endpoints in 3 groups.
func BenchmarkCapacityHolderReport(b *testing.B) {
	a := filledAggregator(36)
	r := Report{Endpoint: "engine-7", Key: Key{"chat", "akl"}, Group: 1, Load: 5}
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Microsecond)
		a.AddReport(now, r)
		a.Mean(now, r.Key)
	}
}

// BenchmarkCapacityRootReport measures one group sum received by a root of 71
// groups, the number of groups if all endpoints were in one pool and region.
func BenchmarkCapacityRootReport(b *testing.B) {
	a := NewAggregator()
	k := Key{"chat", "akl"}
	for g := range 71 {
		a.AddSum(start, k, g, Sum{Load: 1, Endpoints: 12})
	}
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Nanosecond)
		a.AddSum(now, k, i%71, Sum{Load: 1, Endpoints: 12})
		a.RootMean(now, k)
	}
}

func BenchmarkCapacityEndpointMemory(b *testing.B) {
	const n = 850
	for range b.N {
		before := heapBytes()
		a := filledAggregator(n)
		b.ReportMetric(float64(heapBytes()-before)/n, "B/endpoint")
		runtime.KeepAlive(a)
	}
}

// BenchmarkCapacitySpreadNext measures the choice of the next hops of one notice.
func BenchmarkCapacitySpreadNext(b *testing.B) {
	ids := entries(540)
	for range b.N {
		NextHops("n", 0, ids[7], ids)
	}
}
