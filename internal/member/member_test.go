package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestturn/goldcrestturn/internal/instances"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func listChange(s instances.Status) instances.Changes {
	return instances.Changes{Instances: []instances.Instance{{ID: "e", Role: instances.RoleEndpoint, Status: s}}}
}

func usable(t *Table) bool { return t.items["e"].Usable() }

// Guards against a penalty that keeps a dead endpoint usable or delays its
// removal, and against one that never lets a working endpoint return.
func TestFlapDampingDelaysOnlyReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab, now := NewTable(), start
		tab.ApplyList(listChange(instances.Live), now)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			tab.Step(now)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				tab.RecordRefusedConnection("e", now)
				if usable(tab) {
					t.Fatal("endpoint is usable right after it refused a connection")
				}
			case 1:
				tab.ApplyList(listChange(instances.Leaving), now)
				if usable(tab) {
					t.Fatal("endpoint is usable although it is leaving according to the list")
				}
			case 2:
				tab.ApplyList(listChange(instances.Gone), now)
				tab.Step(now.Add(RecentAnswerTime))
				if usable(tab) {
					t.Fatal("endpoint is usable after its removal and RecentAnswerTime")
				}
			case 3:
				tab.ApplyList(listChange(instances.Live), now)
			case 4:
				tab.RecordAnswer("e", now)
			}
		}
		tab.ApplyList(listChange(instances.Live), now)
		tab.Step(now.Add(MaxBackoff))
		if !usable(tab) {
			t.Fatal("endpoint is not usable after the longest backoff")
		}
	})
}

// Guards against a flapping endpoint that is tried as often as a stable one.
func TestFlappingIncreasesTheBackoff(t *testing.T) {
	is := is.New(t)
	tab, now := NewTable(), start
	tab.ApplyList(listChange(instances.Live), now)
	var last time.Duration
	for range 3 {
		tab.RecordRefusedConnection("e", now)
		backoff := tab.items["e"].BackoffUntil.Sub(now)
		is.True(backoff > last)
		last, now = backoff, now.Add(backoff)
		tab.Step(now)
		is.True(usable(tab))
	}
}

// Guards against chats that move because one entry's list omits an endpoint for a
// moment, and against an endpoint that stays usable after it refuses connections.
func TestAnsweringEndpointOutlivesAListFlap(t *testing.T) {
	is := is.New(t)
	tab := NewTable()
	tab.ApplyList(listChange(instances.Live), start)
	tab.RecordAnswer("e", start.Add(time.Second))
	tab.ApplyList(listChange(instances.Gone), start.Add(2*time.Second))
	is.True(usable(tab))
	tab.RecordRefusedConnection("e", start.Add(2500*time.Millisecond))
	is.True(!usable(tab)) // a refused connection outweighs earlier answers
}

// Guards against a leaving notice that expires at once or never.
func TestLeavingNoticeExpires(t *testing.T) {
	is := is.New(t)
	tab := NewTable()
	tab.ApplyList(listChange(instances.Live), start)
	is.True(tab.RecordLeaving("e", start))
	tab.ApplyList(listChange(instances.Live), start.Add(time.Second)) // the list lags
	is.True(!usable(tab))
	is.True(tab.Step(start.Add(LeavingNoticeTTL)))
	is.True(usable(tab))
}
