package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

var start = time.Unix(1_000_000, 0)

func crash(id string, at time.Time, f ...uint64) Crash {
	return Crash{ID: id, Endpoint: model.EndpointID(id), At: at, Fingerprints: f}
}

// endpointsLost returns how many endpoints one request crashes when it is sent
// 50 times and each crash is known before the next hand-over.
func endpointsLost(active bool) int {
	t := NewTable()
	t.active = active
	lost := 0
	for i := range 50 {
		now := start.Add(time.Duration(i) * time.Second)
		if t.View(now).RemainingTime(7, now) > 0 {
			continue
		}
		lost++
		t.Add(now, crash(fmt.Sprint("engine-", i), now, 7))
	}
	return lost
}

// Guards against a request that goes on crashing endpoints. Without the refusal
// it crashes one each time.
func TestCrashingRequestStops(t *testing.T) {
	is := is.New(t)
	is.True(endpointsLost(true) <= 3)
	is.True(endpointsLost(false) > 3) // the mechanism is needed
}

// Guards against the refusal of an innocent request: one crash heard over every
// path, in parts, in any order, and any number of times, counts once.
func TestOneCrashNeverRefuses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		others := 0
		if rapid.IntRange(0, 9).Draw(t, "others") == 0 {
			others = maxRecent + 10
		}
		for i := range rapid.IntRange(1, 30).Draw(t, "messages") {
			now := start.Add(time.Duration(i) * time.Second)
			if i == 1 {
				for n := range others { // push the first report out of the list
					table.Add(now, crash(fmt.Sprint("other-", n), now, uint64(1000+n)))
				}
			}
			if rapid.Bool().Draw(t, "partial") {
				table.Add(now, crash("engine-1", start, 7))
			} else {
				table.Add(now, crash("engine-1", start, 5, 6, 7))
			}
			for f := uint64(5); f <= 7; f++ {
				if table.View(now).RemainingTime(f, now) > 0 {
					t.Fatalf("fingerprint %d is refused after one crash", f)
				}
			}
		}
	})
}

// Guards against a refusal that lasts for ever, or ends early.
func TestRefusalEnds(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Add(start, crash("a", start, 7))
	table.Add(start, crash("b", start, 7))
	v := table.View(start)
	is.Equal(v.RemainingTime(7, start.Add(Lifetime-1)), time.Duration(1))
	is.Equal(v.RemainingTime(7, start.Add(Lifetime)), time.Duration(0))
	is.True(table.Sweep(start.Add(Lifetime)))
	is.Equal(table.Len(), 0)
	is.True(!table.Add(start.Add(Lifetime), crash("c", start, 7))) // too old to count
}

// Guards against a release that does not take effect, or that also covers
// crashes after it.
func TestRelease(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Add(start, crash("a", start, 7))
	table.Add(start, crash("b", start, 7))
	table.SetReleased(map[string]time.Time{Name(7): start.Add(time.Second), "not hex": start})
	is.Equal(len(table.View(start.Add(time.Second))), 0)
	late := start.Add(2 * time.Second)
	table.Add(late, crash("b", start, 7)) // the log repeats an old one
	table.Add(late, crash("c", late, 7))
	is.Equal(len(table.View(late)), 0)
	table.Add(late, crash("d", late, 7))
	is.Equal(len(table.View(late)), 1)
}

// Guards against tables that grow without bound, and against eviction of a
// refused fingerprint while others could go.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Add(start, crash("a", start, 7))
	table.Add(start, crash("b", start, 7))
	for i := range 2 * MaxFingerprints / MaxPerCrash {
		var f []uint64
		for n := range 2 * MaxPerCrash {
			f = append(f, uint64(1_000_000+i*MaxPerCrash*2+n))
		}
		table.Add(start, crash(fmt.Sprint("x", i), start.Add(time.Second), f...))
	}
	is.True(table.Len() <= MaxFingerprints)
	is.True(len(table.recent) <= maxRecent)
	is.True(table.View(start).RemainingTime(7, start) > 0)
}

// Guards against a record that panics the reader or exceeds its bounds.
func FuzzDecode(f *testing.F) {
	good, err := Encode(crash("engine-1", start, 1, 2))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte(`{"id":"x","fingerprints":[-1]}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Decode(data, start)
		if err == nil && (c.ID == "" || len(c.Fingerprints) > MaxPerCrash) {
			t.Fatalf("out of bounds: %+v", c)
		}
	})
}

// Guards against crashes without an id: the same crash heard twice would then
// refuse an innocent request.
func TestCrashIDIsNeeded(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Add(start, crash("heard over the exchange", start, 7))
	table.Add(start, crash("heard from the log", start, 7))
	is.True(table.View(start).RemainingTime(7, start) > 0)
}
