package rollout

import (
	"fmt"
	"testing"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

func benchEvidence(routes int) Evidence {
	e := Evidence{}
	for r := range routes {
		for _, v := range []model.Version{"v1", "v2"} {
			e[Key{"chat-v2-20260101-000000", v, model.Route(fmt.Sprint("chat/route-", r))}] = Counts{Requests: 10_000, Failures: 50, Slow: 200}
		}
	}
	return e
}

// BenchmarkCapacityJudge measures the work of a root for one second of evidence.
func BenchmarkCapacityJudge(b *testing.B) {
	for _, routes := range []int{4, 16} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			j, e := NewJudge("chat-v2-20260101-000000", testRollout()), benchEvidence(routes)
			for b.Loop() {
				for k, c := range e {
					e[k] = c.Add(Counts{Requests: 20, Slow: 1})
				}
				j.Observe(e, 0.1)
			}
		})
	}
}

// BenchmarkCapacityLedger measures the work of an aggregator for the
// evidence of its 12 endpoints with 4 routes each.
func BenchmarkCapacityLedger(b *testing.B) {
	t, e := NewEvidenceTable(), benchEvidence(4)
	for b.Loop() {
		for s := range 12 {
			t.Put(fmt.Sprint("engine-", s), e)
		}
		t.Total()
	}
}
