package duty

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against counts that are lost with the router that counted them, although another
// one has them, and against counts that are added twice when they arrive on two ways.
func TestCountsOutliveTheirRouter(t *testing.T) {
	is := is.New(t)
	const window = 700
	ledgers := map[string]*Ledger{}
	for _, name := range []string{"ended", "second", "holder"} {
		ledgers[name] = NewLedger(Origin{name, 1})
		ledgers[name].Advance(window)
	}
	ended := false
	gone := func(router string) bool { return ended && router == "ended" }
	send := func(from, to string) {
		rows := ledgers[from].Outgoing(to, gone)
		for _, r := range rows {
			ledgers[to].Merge(r)
		}
		ledgers[to].Heard(Origin{from, 1}, 0)
		ledgers[from].Acked(to, 1, rows)
	}
	count := func(name string, n int) {
		for range n {
			ledgers[name].Count(window, "w")
		}
	}
	count("ended", 10)
	count("holder", 3)
	send("ended", "second")
	send("ended", "holder")
	send("ended", "holder")
	is.Equal(ledgers["holder"].Totals(window), map[string]int64{"w": 13})
	count("ended", 5)
	send("ended", "second")
	send("second", "holder")
	is.Equal(ledgers["holder"].Totals(window), map[string]int64{"w": 13})
	ended = true
	for range 2 {
		send("second", "holder")
		is.Equal(ledgers["holder"].Totals(window), map[string]int64{"w": 18})
	}
	is.Equal(len(ledgers["second"].Outgoing("holder", gone)), 0) // the holder has all of it
	// A holder that starts again has nothing.
	ledgers["second"].Acked("holder", 2, nil)
	is.Equal(len(ledgers["second"].Outgoing("holder", gone)), 1)
	// So has a router that starts again: its former process is gone.
	ended = false
	is.Equal(len(ledgers["second"].Outgoing("holder", gone)), 0)
	ledgers["second"].Heard(Origin{"ended", 2}, 0)
	is.Equal(len(ledgers["second"].Outgoing("holder", gone)), 1)
}

// Guards against a router that starts again under its name and whose counts replace those
// of its former process.
func TestARestartAddsToTheCounts(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Origin{"holder", 1})
	l.Advance(700)
	l.Merge(Row{Origin{"a", 1}, 700, map[string]int64{"w": 10}})
	l.Merge(Row{Origin{"a", 2}, 700, map[string]int64{"w": 2}})
	is.Equal(l.Totals(700), map[string]int64{"w": 12})
}

// Guards against a report that is made before all routers have sent their counts, and
// against rows of any host that fill the ledger.
func TestWindowsAreCompleteOnceAllHaveSent(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Origin{"holder", 1})
	l.Advance(700)
	is.True(!l.Complete(3505*time.Second, []string{"a", "b"}))
	l.Heard(Origin{"a", 1}, 3506*time.Second)
	l.Heard(Origin{"b", 1}, 3504*time.Second)
	is.True(!l.Complete(3505*time.Second, []string{"a", "b"}))
	l.Heard(Origin{"b", 1}, 3505*time.Second)
	is.True(l.Complete(3505*time.Second, []string{"a", "b"}))
	for _, window := range []int64{-1, 0, 702, 1 << 60} {
		is.True(!l.Merge(Row{Origin{"a", 1}, window, map[string]int64{"w": 1}}))
	}
	is.Equal(len(l.rows), 0)
	l.Count(693, "w")
	l.Count(700, "w")
	l.Advance(701)
	is.Equal(len(l.rows), 1)
}

// Guards against windows that follow the clock of one instance: it may be off or step by
// seconds, also that of the holder.
func TestOneClockDoesNotMoveTheWindows(t *testing.T) {
	is := is.New(t)
	c := NewClock()
	const boot, now = 1000 * time.Second, 100 * time.Second
	c.Sample("self", boot+now+20*time.Second, now)
	offset, clocks := c.Offset(now)
	is.Equal(offset, boot+20*time.Second)
	is.Equal(clocks, 1)
	c.Sample("a", boot+now+time.Millisecond, now)
	c.Sample("b", boot+now, now)
	offset, clocks = c.Offset(now)
	is.Equal(offset, boot+time.Millisecond)
	is.Equal(clocks, 3)
	c.Sample("b", boot+now-time.Hour, now) // steps
	offset, _ = c.Offset(now)
	is.Equal(offset, boot+time.Millisecond)
	_, clocks = c.Offset(now + sampleLifetime + 1)
	is.Equal(clocks, 0)
}

// Guards against a report that is repeated with other counts, or that is given up while its
// outcome is unknown.
func TestReportsAreRepeatedExactly(t *testing.T) {
	is := is.New(t)
	r := NewReports(time.Second)
	r.Take(Journal{}, 1, false, 700)
	is.Equal(r.Next(), int64(700))
	j := r.Journal(1, []Report{{700, map[string]int64{"w": 5}}})
	is.Equal(j.Next, int64(701))
	_, due := r.Due(0)
	is.True(!due) // not in the store yet
	r.Merge(j, 1)
	next, _ := r.Due(0)
	is.Equal(next, Report{700, map[string]int64{"w": 5}})
	r.Apply(700, Unknown, 0)
	_, due = r.Due(0)
	is.True(!due)
	successor := NewReports(time.Second)
	successor.Take(j, 1, false, 702)
	is.Equal(successor.Next(), int64(701))
	next, _ = successor.Due(0)
	is.Equal(next, Report{700, map[string]int64{"w": 5}})
	successor.Apply(700, Accepted, 0)
	_, due = successor.Due(0)
	is.True(!due)
	next, due = successor.Due(time.Second) // in case the first did not count
	is.True(due)
	is.Equal(next.Counts, map[string]int64{"w": 5})
	successor.Apply(700, Accepted, time.Second)
	_, due = successor.Due(time.Hour)
	is.True(!due)
	is.Equal(len(successor.Journal(1, nil).Started), 0)
	// In a later era the store may have lost reports that were started.
	later := NewReports(time.Second)
	later.Take(j, 2, false, 702)
	is.Equal(later.Next(), int64(702))
	_, due = later.Due(time.Hour)
	is.True(!due)
}
