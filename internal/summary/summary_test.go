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

// Guards against group sizes far from 12 endpoints, and against an aggregator that
// is replaced although it is still live.
func TestGroupsAreEvenAndAggregatorsStable(t *testing.T) {
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
	remaining := slices.DeleteFunc(slices.Clone(all), func(id model.InstanceID) bool { return id == before[0] })
	is.Equal(Aggregators(k, 3, remaining)[0], before[1])
	is.Equal(Roots(k, 1, all), Aggregators(k, 0, all))
}

// countMissed returns the number of live processes that do not receive a notice
// while one process is dead. useChildren lets senders forward the notice to the
// children of the dead process.
func countMissed(ids []model.InstanceID, dead model.InstanceID, useChildren bool) int {
	reached := map[model.InstanceID]bool{dead: true}
	for tree := range BroadcastTrees {
		for hops := Hops("n", tree, "sender", ids); len(hops) > 0; hops = hops[1:] {
			receivers := []model.InstanceID{hops[0].To}
			if hops[0].To == dead {
				receivers = nil
				if useChildren {
					receivers = hops[0].Children
				}
			}
			for _, id := range receivers {
				reached[id] = true
				hops = append(hops, Hops("n", tree, id, ids)...)
			}
		}
	}
	return len(ids) - len(reached)
}

// Guards against a notice that does not reach all live processes while any one
// process is dead. Some are not reached if senders do not forward the notice to
// the children of the dead process.
func TestBroadcastReachesAllLiveProcesses(t *testing.T) {
	missed := 0
	rapid.Check(t, func(t *rapid.T) {
		ids := entries(rapid.IntRange(1, 90).Draw(t, "processes"))
		dead := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "dead")]
		if n := countMissed(ids, dead, true); n > 0 {
			t.Fatalf("%d of %d processes were not reached", n, len(ids))
		}
	})
	for n := 2; n < 12; n++ {
		for _, dead := range entries(n) {
			missed += countMissed(entries(n), dead, false)
		}
	}
	is.New(t).True(missed > 0) // forwarding to the children is needed
}

// Guards against a notice that circulates for ever between processes whose peers
// differ.
func TestNoticeIsForwardedOnce(t *testing.T) {
	is := is.New(t)
	n := Notices{}
	ids := entries(20)
	first := NextHops("x", 0, "sender", ids)[0]
	is.True(len(n.Forward(start, "x", 0, first, ids)) > 0)
	is.Equal(len(n.Forward(start, "x", 0, first, ids)), 0)
	is.Equal(len(n.Forward(start, "y", BroadcastTrees, first, ids)), 0) // no such tree
}

// meanAge returns the age of the mean some time after the last report of the only
// endpoint, and whether the mean is known.
func meanAge(expire bool, after time.Duration) (age time.Duration, known bool) {
	a := NewAggregator()
	a.expire = expire
	k := Key{Pool: "chat"}
	a.AddReport(start, Report{Endpoint: "e", Key: k, Load: 10})
	m := a.Mean(start.Add(after), k)
	return m.Age, m.Endpoints > 0
}

// Guards against a mean older than MaxReportAge. Without expiry it is used at any
// age.
func TestReportsExpire(t *testing.T) {
	is := is.New(t)
	age, known := meanAge(true, MaxReportAge)
	is.True(known && age <= MaxReportAge)
	_, known = meanAge(true, MaxReportAge+1)
	is.True(!known)
	age, known = meanAge(false, time.Minute)
	is.True(known && age > MaxReportAge) // fails without expiry
}

// Guards against a mean that differs from the exact one, for any split of the
// endpoints into groups and aggregators, and against regions that are mixed.
func TestMeanIsExactWhenAllReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k, other := Key{"chat", "akl"}, Key{"chat", "luz"}
		n := rapid.IntRange(1, 60).Draw(t, "endpoints")
		groups := Groups(n)
		aggregators := make([]*Aggregator, groups)
		root := NewAggregator()
		root.AddReport(start, Report{Endpoint: "far", Key: other, Load: 1 << 30})
		sum := int64(0)
		for i := range n {
			id := model.EndpointID(fmt.Sprintf("e%d", i))
			g := Group(id, groups)
			if aggregators[g] == nil {
				aggregators[g] = NewAggregator()
			}
			load := rapid.Int64Range(0, 100_000).Draw(t, "load")
			sum += load
			aggregators[g].AddReport(start, Report{Endpoint: id, Key: k, Group: g, Load: load})
		}
		for _, a := range aggregators {
			if a == nil {
				continue
			}
			for _, s := range a.GroupSums(start) {
				root.AddSum(start, s.Key, s.Group, s.Sum)
			}
		}
		m := root.RootMean(start, k)
		if m.Endpoints != n || m.PerEndpoint != float64(sum)/float64(n) {
			t.Fatalf("mean is %+v for %d endpoints with %d units", m, n, sum)
		}
	})
}

// Guards against the sum of an aggregator with reports of few endpoints replacing
// the more complete sum of the other aggregator.
func TestMoreCompleteSumWins(t *testing.T) {
	is := is.New(t)
	a := NewAggregator()
	k := Key{Pool: "chat"}
	a.AddSum(start, k, 0, Sum{Load: 120, Endpoints: 12})
	a.AddSum(start.Add(time.Second), k, 0, Sum{Load: 5, Endpoints: 1})
	is.Equal(a.RootMean(start.Add(time.Second), k).Endpoints, 12)
	a.AddSum(start.Add(3*time.Second), k, 0, Sum{Load: 5, Endpoints: 1}) // the more complete sum is older by now
	is.Equal(a.RootMean(start.Add(3*time.Second), k).Endpoints, 1)
}

// Guards against a latch that reverts when messages arrive out of order, and
// against an unbounded number of latches.
func TestLatchesMerge(t *testing.T) {
	is := is.New(t)
	l := Latches{}
	is.True(l.Merge(Latches{"r": 2}))
	is.True(!l.Merge(Latches{"r": 1}))
	is.Equal(l["r"], int64(2))
	for i := range 2 * MaxLatches {
		l.Merge(Latches{fmt.Sprint(i): 1})
	}
	is.Equal(len(l), MaxLatches)
}

// Guards against a selection of the first n ids that differs from the start of the
// complete order.
func TestRendezvousReturnsPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := entries(rapid.IntRange(0, 30).Draw(t, "ids"))
		n := rapid.IntRange(0, 32).Draw(t, "n")
		all := Rendezvous("k", ids, len(ids))
		if got := Rendezvous("k", ids, n); !slices.Equal(got, all[:min(n, len(all))]) {
			t.Fatalf("%v is not the start of %v", got, all)
		}
	})
}
