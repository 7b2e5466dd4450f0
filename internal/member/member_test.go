package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestturn/goldcrestturn/internal/instances"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func list(s instances.Status) instances.Changes {
	return instances.Changes{Instances: []instances.Instance{{ID: "e", Role: instances.RoleEndpoint, Status: s}}}
}

func usable(t *Table) bool { return t.items["e"].Usable() }

// Guards against a penalty that keeps a dead endpoint in use or delays its
// removal, and against one that never lets a working endpoint back.
func TestDampingDelaysOnlyTheReturn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab, now := NewTable(), start
		tab.ApplyList(list(instances.Live), now)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			tab.Step(now)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				tab.RecordRefusedConnection("e", now)
				if usable(tab) {
					t.Fatal("endpoint is used right after it refused a connection")
				}
			case 1:
				tab.ApplyList(list(instances.Leaving), now)
				if usable(tab) {
					t.Fatal("endpoint is used although the list says that it leaves")
				}
			case 2:
				tab.ApplyList(list(instances.Gone), now)
				tab.Step(now.Add(RecentAnswerTime))
				if usable(tab) {
					t.Fatal("endpoint is used after its removal and the grace")
				}
			case 3:
				tab.ApplyList(list(instances.Live), now)
			case 4:
				tab.RecordAnswer("e", now)
			}
		}
		tab.ApplyList(list(instances.Live), now)
		tab.Step(now.Add(MaxBackoff))
		if !usable(tab) {
			t.Fatal("endpoint is still held after the longest hold")
		}
	})
}

// Guards against a flapping endpoint that is tried as often as a steady one.
func TestFlappingIsHeldLongerEachTime(t *testing.T) {
	is := is.New(t)
	tab, now := NewTable(), start
	tab.ApplyList(list(instances.Live), now)
	var last time.Duration
	for range 3 {
		tab.RecordRefusedConnection("e", now)
		hold := tab.items["e"].BackoffUntil.Sub(now)
		is.True(hold > last)
		last, now = hold, now.Add(hold)
		tab.Step(now)
		is.True(usable(tab))
	}
}

// Guards against chats that move because one entry's list drops an endpoint
// for a moment, and against an endpoint that outlives its removal.
func TestAnsweringEndpointOutlivesAListFlap(t *testing.T) {
	is := is.New(t)
	tab := NewTable()
	tab.ApplyList(list(instances.Live), start)
	tab.RecordAnswer("e", start.Add(time.Second))
	tab.ApplyList(list(instances.Gone), start.Add(2*time.Second))
	is.True(usable(tab))
	tab.RecordRefusedConnection("e", start.Add(2500*time.Millisecond))
	is.True(!usable(tab)) // a refused connection ends the grace
}

// Guards against a notice that is forgotten at once or never.
func TestNoticeHoldsAndExpires(t *testing.T) {
	is := is.New(t)
	tab := NewTable()
	tab.ApplyList(list(instances.Live), start)
	is.True(tab.RecordLeaving("e", start))
	tab.ApplyList(list(instances.Live), start.Add(time.Second)) // the list lags
	is.True(!usable(tab))
	is.True(tab.Step(start.Add(LeavingNoticeTTL)))
	is.True(usable(tab))
}
