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

// fullCauses returns a table that is full of properties that were met at n crashes each.
func fullCauses(n int) *Causes {
	c := NewCauses()
	for i := range n {
		at := start.Add(time.Duration(i) * time.Second)
		for key := range uint64(MaxCauses) {
			c.Add(at, CauseCrash{key + 1, uint32(i), at})
		}
	}
	return c
}

func BenchmarkCapacityCausesMemory(b *testing.B) {
	for _, crashes := range []int{1, CauseThreshold, MaxCauseCrashes} {
		b.Run(fmt.Sprint("crashes=", crashes), func(b *testing.B) {
			for range b.N {
				var m runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&m)
				before := m.HeapAlloc
				c := fullCauses(crashes)
				runtime.GC()
				runtime.ReadMemStats(&m)
				b.ReportMetric(float64(m.HeapAlloc-before)/MaxCauses, "B/property")
				runtime.KeepAlive(c)
			}
		})
	}
}

// The crash of a request with as many properties as are counted, at a full table.
func BenchmarkCapacityCausesOfACrash(b *testing.B) {
	c := fullCauses(1)
	for i := range b.N {
		at := start.Add(time.Duration(i+1) * time.Second)
		for key := range uint64(MaxCausesPerRequest) {
			c.Add(at, CauseCrash{key + uint64(i+1)<<32, uint32(i), at})
		}
		c.View()
	}
}
