package summary

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// memory returns the live heap.
func memory() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func capacityHolder(n int) *Aggregator {
	h := NewAggregator()
	for i := range n {
		h.AddReport(start, Report{Endpoint: model.EndpointID(fmt.Sprint("engine-", i)), Key: Key{"chat", "akl"}, Group: i % 3, Load: 1})
	}
	return h
}

// BenchmarkCapacityHolderReport is one report taken and answered by an entry
// that holds 36 endpoints in 3 groups.
func BenchmarkCapacityHolderReport(b *testing.B) {
	h := capacityHolder(36)
	r := Report{Endpoint: "engine-7", Key: Key{"chat", "akl"}, Group: 1, Load: 5}
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Microsecond)
		h.AddReport(now, r)
		h.Mean(now, r.Key)
	}
}

// BenchmarkCapacityRootReport is one group report at a root of 71 groups, the
// number of groups if one pool and region had all endpoints.
func BenchmarkCapacityRootReport(b *testing.B) {
	h := NewAggregator()
	k := Key{"chat", "akl"}
	for g := range 71 {
		h.AddSum(start, k, g, Sum{Load: 1, Endpoints: 12})
	}
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Nanosecond)
		h.AddSum(now, k, i%71, Sum{Load: 1, Endpoints: 12})
		h.RootMean(now, k)
	}
}

func BenchmarkCapacityEndpointMemory(b *testing.B) {
	const n = 850
	for range b.N {
		before := memory()
		h := capacityHolder(n)
		b.ReportMetric(float64(memory()-before)/n, "B/endpoint")
		runtime.KeepAlive(h)
	}
}

// BenchmarkCapacitySpreadNext is the choice of the next hops of one notice.
func BenchmarkCapacitySpreadNext(b *testing.B) {
	ids := entries(540)
	for range b.N {
		NextHops("n", 0, ids[7], ids)
	}
}
