package summary

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

var start = time.Unix(1_000_000, 0)

func entries(n int) []model.InstanceID {
	var out []model.InstanceID
	for i := range n {
		out = append(out, model.InstanceID(fmt.Sprintf("entry-%d", i)))
	}
	return out
}

// Guards against groups far from 12 endpoints and against a holder that changes
// although it is still there.
func TestPlacesAreEvenAndStable(t *testing.T) {
	is := is.New(t)
	is.Equal([]int{Groups(1), Groups(16), Groups(20), Groups(85), Groups(850)}, []int{1, 1, 2, 7, 71})
	sizes := map[int]int{}
	for i := range 850 {
		sizes[Group(model.EndpointID(fmt.Sprintf("engine-%d", i)), 71)]++
	}
	for g := range 71 {
		is.True(sizes[g] > 0 && sizes[g] <= 30) // 12 on average
	}
	k := Key{Pool: "chat", Region: "akl"}
	all := entries(8)
	before := Aggregators(k, 3, all)
	is.Equal(len(before), 2)
	gone := slices.DeleteFunc(slices.Clone(all), func(id model.InstanceID) bool { return id == before[0] })
	is.Equal(Aggregators(k, 3, gone)[0], before[1])
	is.Equal(Roots(k, 1, all), Aggregators(k, 0, all))
}

// spreadMisses returns how many live processes a notice misses with one dead.
func spreadMisses(ids []model.InstanceID, dead model.InstanceID, behind bool) int {
	reached := map[model.InstanceID]bool{dead: true}
	for tree := range BroadcastTrees {
		for hops := Hops("n", tree, "sender", ids); len(hops) > 0; hops = hops[1:] {
			told := []model.InstanceID{hops[0].To}
			if hops[0].To == dead {
				told = nil
				if behind {
					told = hops[0].Children
				}
			}
			for _, id := range told {
				reached[id] = true
				hops = append(hops, Hops("n", tree, id, ids)...)
			}
		}
	}
	return len(ids) - len(reached)
}

// Guards against a notice that misses a live process while any other one is
// dead. Without the hops behind a dead process some would miss it.
func TestSpreadReachesAll(t *testing.T) {
	missed := 0
	rapid.Check(t, func(t *rapid.T) {
		ids := entries(rapid.IntRange(1, 90).Draw(t, "processes"))
		dead := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "dead")]
		if n := spreadMisses(ids, dead, true); n > 0 {
			t.Fatalf("%d of %d were not reached", n, len(ids))
		}
	})
	for n := 2; n < 12; n++ {
		for _, dead := range entries(n) {
			missed += spreadMisses(entries(n), dead, false)
		}
	}
	is.New(t).True(missed > 0) // the mechanism is needed
}

// Guards against a notice that circles for ever between processes whose lists
// differ.
func TestNoticePassesOnce(t *testing.T) {
	is := is.New(t)
	n := Notices{}
	ids := entries(20)
	first := NextHops("x", 0, "sender", ids)[0]
	is.True(len(n.Forward(start, "x", 0, first, ids)) > 0)
	is.Equal(len(n.Forward(start, "x", 0, first, ids)), 0)
	is.Equal(len(n.Forward(start, "y", BroadcastTrees, first, ids)), 0) // no such tree
}

// meanAge reports the age of the mean after the only endpoint's last report.
func meanAge(expire bool, after time.Duration) (age time.Duration, known bool) {
	h := NewAggregator()
	h.expire = expire
	k := Key{Pool: "chat"}
	h.AddReport(start, Report{Endpoint: "e", Key: k, Load: 10})
	m := h.Mean(start.Add(after), k)
	return m.Age, m.Endpoints > 0
}

// Guards against a mean older than the staleness limit. Without the expiry it
// is passed on at any age.
func TestSumsExpire(t *testing.T) {
	is := is.New(t)
	age, known := meanAge(true, MaxReportAge)
	is.True(known && age <= MaxReportAge)
	_, known = meanAge(true, MaxReportAge+1)
	is.True(!known)
	age, known = meanAge(false, time.Minute)
	is.True(known && age > MaxReportAge) // the mechanism is needed
}

// Guards against a mean that differs from the true one, for any split of the
// endpoints into groups and holders, and against regions that are mixed.
func TestMeanIsExactWhenAllReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k, other := Key{"chat", "akl"}, Key{"chat", "luz"}
		n := rapid.IntRange(1, 60).Draw(t, "endpoints")
		groups := Groups(n)
		holders := make([]*Aggregator, groups)
		root := NewAggregator()
		root.AddReport(start, Report{Endpoint: "far", Key: other, Load: 1 << 30})
		sum := int64(0)
		for i := range n {
			id := model.EndpointID(fmt.Sprintf("e%d", i))
			g := Group(id, groups)
			if holders[g] == nil {
				holders[g] = NewAggregator()
			}
			load := rapid.Int64Range(0, 100_000).Draw(t, "load")
			sum += load
			holders[g].AddReport(start, Report{Endpoint: id, Key: k, Group: g, Load: load})
		}
		for _, h := range holders {
			if h == nil {
				continue
			}
			for _, s := range h.GroupSums(start) {
				root.AddSum(start, s.Key, s.Group, s.Sum)
			}
		}
		m := root.RootMean(start, k)
		if m.Endpoints != n || m.PerEndpoint != float64(sum)/float64(n) {
			t.Fatalf("mean %+v of %d endpoints with %d units", m, n, sum)
		}
	})
}

// Guards against a holder that hears from fewer endpoints and hides the fuller
// sum of the other holder.
func TestFullerSumWins(t *testing.T) {
	is := is.New(t)
	h := NewAggregator()
	k := Key{Pool: "chat"}
	h.AddSum(start, k, 0, Sum{Load: 120, Endpoints: 12})
	h.AddSum(start.Add(time.Second), k, 0, Sum{Load: 5, Endpoints: 1})
	is.Equal(h.RootMean(start.Add(time.Second), k).Endpoints, 12)
	h.AddSum(start.Add(3*time.Second), k, 0, Sum{Load: 5, Endpoints: 1}) // the fuller one is old by now
	is.Equal(h.RootMean(start.Add(3*time.Second), k).Endpoints, 1)
}

// Guards against a verdict that reverts when messages arrive out of order, and
// against a table without bound.
func TestVerdictsJoin(t *testing.T) {
	is := is.New(t)
	v := Latches{}
	is.True(v.Merge(Latches{"r": 2}))
	is.True(!v.Merge(Latches{"r": 1}))
	is.Equal(v["r"], int64(2))
	for i := range 2 * MaxLatches {
		v.Merge(Latches{fmt.Sprint(i): 1})
	}
	is.Equal(len(v), MaxLatches)
}

// Guards against a selection of the first n that differs from the whole order.
func TestRendezvousPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := entries(rapid.IntRange(0, 30).Draw(t, "ids"))
		n := rapid.IntRange(0, 32).Draw(t, "n")
		whole := Rendezvous("k", ids, len(ids))
		if got := Rendezvous("k", ids, n); !slices.Equal(got, whole[:min(n, len(whole))]) {
			t.Fatalf("%v is not the start of %v", got, whole)
		}
	})
}
