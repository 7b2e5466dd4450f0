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

// endpointsCrashed returns how many endpoints one request crashes in 50 attempts if
// each crash is known before the next attempt.
func endpointsCrashed(enabled bool) int {
	t := NewTable()
	t.enabled = enabled
	crashed := 0
	for i := range 50 {
		now := start.Add(time.Duration(i) * time.Second)
		if t.View(now).RemainingTime(7, now) > 0 {
			continue
		}
		crashed++
		t.Add(now, crash(fmt.Sprint("engine-", i), now, 7))
	}
	return crashed
}

// Guards against a request that crashes one endpoint after another. Without the
// refusal, each attempt crashes one.
func TestCrashingRequestIsRefused(t *testing.T) {
	is := is.New(t)
	is.True(endpointsCrashed(true) <= 3)
	is.True(endpointsCrashed(false) > 3) // the refusal is needed
}

// Guards against refusing an innocent request: one crash counts once, even if it is
// received over several paths, in parts, in any order and any number of times.
func TestOneCrashNeverRefuses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		others := 0
		if rapid.IntRange(0, 9).Draw(t, "others") == 0 {
			others = maxRecentCrashes + 10
		}
		for i := range rapid.IntRange(1, 30).Draw(t, "messages") {
			now := start.Add(time.Duration(i) * time.Second)
			if i == 1 {
				for n := range others { // evict the first report from the recent crashes
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

// Guards against a refusal that never ends or ends too early.
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

// Guards against a release by an operator that has no effect, or that also covers
// later crashes.
func TestRelease(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Add(start, crash("a", start, 7))
	table.Add(start, crash("b", start, 7))
	table.SetReleased(map[string]time.Time{Name(7): start.Add(time.Second), "not hex": start})
	is.Equal(len(table.View(start.Add(time.Second))), 0)
	late := start.Add(2 * time.Second)
	table.Add(late, crash("b", start, 7)) // the log delivers an old crash again
	table.Add(late, crash("c", late, 7))
	is.Equal(len(table.View(late)), 0)
	table.Add(late, crash("d", late, 7))
	is.Equal(len(table.View(late)), 1)
}

// Guards against a table that grows without bound, and against evicting a refused
// fingerprint while there are others to evict.
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
	is.True(len(table.recent) <= maxRecentCrashes)
	is.True(table.View(start).RemainingTime(7, start) > 0)
}

// Guards against a record that panics the reader, or is accepted although it
// exceeds the bounds.
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
			t.Fatalf("decoded crash is out of bounds: %+v", c)
		}
	})
}

// Shows that crash ids are needed: if the same crash arrives under two ids, an
// innocent request is refused.
func TestCrashIDIsNeeded(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Add(start, crash("received from the exchange", start, 7))
	table.Add(start, crash("received from the log", start, 7))
	is.True(table.View(start).RemainingTime(7, start) > 0)
}
