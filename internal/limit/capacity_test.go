package limit

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

func BenchmarkCapacityHomeBorrow(b *testing.B) {
	h, p := NewHome(), Plan{Rate: 1 << 30, Burst: 1 << 30}
	for i := range b.N {
		h.Borrow(start.Add(time.Duration(i)*time.Microsecond), ws, p, 1000, 500)
	}
}

func BenchmarkCapacityWalletSpend(b *testing.B) {
	l := NewLeases()
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Microsecond)
		if !l.Spend(now, ws, 500) {
			l.Credit(now, ws, l.BorrowAmount(now, ws, 500))
		}
	}
}

func BenchmarkCapacityHomeOf(b *testing.B) {
	ids := make([]model.InstanceID, 370)
	for i := range ids {
		ids[i] = model.InstanceID(fmt.Sprint("entry-", i))
	}
	for range b.N {
		HomeOf(ws, ids)
	}
}

func BenchmarkCapacityBucketMemory(b *testing.B) {
	const n = 16_000
	for range b.N {
		before := heapBytes()
		h := NewHome()
		for i := range n {
			h.Borrow(start, model.Workspace(fmt.Sprint("workspace-", i)), Plan{Rate: 1000, Burst: 2000}, 100, 100)
		}
		b.ReportMetric(float64(heapBytes()-before)/n, "B/bucket")
		runtime.KeepAlive(h)
	}
}

func BenchmarkCapacityWalletMemory(b *testing.B) {
	const n = 16_000
	for range b.N {
		before := heapBytes()
		l := NewLeases()
		for i := range n {
			l.Spend(start, model.Workspace(fmt.Sprint("workspace-", i)), 100)
		}
		b.ReportMetric(float64(heapBytes()-before)/n, "B/wallet")
		runtime.KeepAlive(l)
	}
}
