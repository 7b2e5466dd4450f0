package timing

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// BenchmarkCapacityTable measures the work of an aggregator for one report of the
// stage times of an endpoint with 4 routes and 2 versions, and the memory that it
// allocates.
func BenchmarkCapacityTable(b *testing.B) {
	sums := Sums{}
	for r := range 4 {
		for v := range 2 {
			for s := range model.StageCount {
				sums[Key{Endpoint: "engine-1", Pool: "chat", Version: model.Version(fmt.Sprint(v)), Route: model.Route(fmt.Sprint(r)), Stage: s}] = Sum{40, time.Second}
			}
		}
	}
	t := NewTable()
	b.ReportAllocs()
	for b.Loop() {
		t.Add(sums)
	}
	b.ReportMetric(float64(len(t.sums)), "rows")
}

// BenchmarkCapacityCounter measures the work of an entry for counting one request
// among 16,000 workspaces.
func BenchmarkCapacityCounter(b *testing.B) {
	c, names := NewCounter(), make([]model.Workspace, 16_000)
	for i := range names {
		names[i] = model.Workspace(fmt.Sprint("workspace-", i))
	}
	i := 0
	for b.Loop() {
		c.Add(names[i%len(names)])
		i++
	}
}
