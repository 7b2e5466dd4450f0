package suspect

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

func BenchmarkCapacitySuspectMemory(b *testing.B) {
	const n = 4000
	for range b.N {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		before := m.HeapAlloc
		t := NewTable()
		for i := range n / 40 {
			f := make([]uint64, 40)
			for j := range f {
				f[j] = uint64(i*40 + j + 1)
			}
			t.Add(start, crash(fmt.Sprint("engine-", i), start, f...))
		}
		runtime.GC()
		runtime.ReadMemStats(&m)
		b.ReportMetric(float64(m.HeapAlloc-before)/n, "B/fingerprint")
		runtime.KeepAlive(t)
	}
}

func BenchmarkCapacityCrashAdd(b *testing.B) {
	t := NewTable()
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Millisecond)
		t.Add(now, crash(fmt.Sprint("engine-", i), now, uint64(i), uint64(i+1), uint64(i+2)))
		t.View(now)
	}
}
