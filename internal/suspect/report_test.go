package suspect

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a crash that counts twice, since two routers report it on different
// paths at different times, and against two crashes of one endpoint that count once.
func TestProcessesCrashOnce(t *testing.T) {
	is := is.New(t)
	c := NewCauses()
	now := time.Unix(1_700_000_000, 0)
	first, second := ProcessHash("e", 1_000), ProcessHash("e", 2_000)
	is.True(c.Add(now, CauseCrash{1, first, now}))
	is.True(!c.Add(now, CauseCrash{1, first, now.Add(-5 * time.Second)})) // by another clock
	is.True(c.Add(now, CauseCrash{1, second, now}))
	unknown := ProcessHash("e", 0)
	is.True(c.Add(now, CauseCrash{2, unknown, now}))
	is.True(!c.Add(now, CauseCrash{2, unknown, now.Add(sameCrash - 1)}))
	is.True(c.Add(now, CauseCrash{2, unknown, now.Add(2 * sameCrash)}))
}

// Guards against a prompt part that is refused, since reports of crashes before its last
// answer arrive after that answer, on a slower path.
func TestCrashesBeforeAnAnswerDoNotCount(t *testing.T) {
	is := is.New(t)
	c := NewCauses()
	now := time.Unix(1_700_000_000, 0)
	for i := range uint32(CauseThreshold) {
		crash := CauseCrash{1, i, now}
		is.True(c.Add(now, crash))
		is.True(c.Clear(1, now.Add(time.Millisecond)))
		is.True(!c.Add(now.Add(time.Second), crash))
		now = now.Add(2 * MinCrashInterval)
	}
	is.Equal(len(c.View()), 0)
	is.True(c.Add(now, CauseCrash{1, 9, now}))
	is.True(!c.Clear(1, now.Add(-time.Millisecond))) // an answer before the crash
	is.Equal(len(c.Crashes(1)), 1)
	for i := range uint64(2 * MaxCauses) {
		c.Clear(i+2, now)
	}
	is.True(len(c.soundAt) <= MaxCauses)
}

// Guards against a report that leaves out the property with the most crashes, that grows
// without bound, or that names for ever what was answered long ago.
func TestReportsAreBounded(t *testing.T) {
	is := is.New(t)
	var o Observed
	now := time.Unix(1_700_000_000, 0)
	const deadly = 1
	o.AddCrash(CauseCrash{deadly, 1, now})
	for i := range uint64(3 * MaxReported) {
		now = now.Add(time.Millisecond)
		o.AddCrash(CauseCrash{i + 2, 1, now})
	}
	known := func(key uint64) int {
		if key == deadly {
			return 2
		}
		return 1
	}
	r := o.Report(now, "router-1", known)
	is.Equal(len(r.Crashes), MaxReported)
	is.Equal(r.Crashes[0].Key, uint64(deadly))
	is.Equal(r.Crashes[1].At, now) // the newest of the others

	is.True(o.AddSound(deadly, now, false))
	is.True(!o.AddSound(deadly, now, false)) // no longer reported
	is.True(o.AddSound(9_999, now, true))
	r = o.Report(now, "router-1", known)
	is.Equal(len(r.Crashes), MaxReported-1)
	is.Equal(r.Sound, []SoundCause{{deadly, now}, {9_999, now}})
	moved := r.Shifted(now.Add(time.Hour))
	is.Equal(moved.Sound[0].At, now.Add(time.Hour))
	is.Equal(len(o.Report(now.Add(soundLifetime), "router-1", known).Sound), 0)
	is.Equal(len(o.Report(now.Add(Lifetime), "router-1", known).Crashes), 0)
}

// Guards against trials of a refused property that are granted again, since a router that
// does not know of them stores its own record.
func TestStoredRecordsKeepTrialsAndCrashes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	crash := func(i uint32, at time.Duration) CauseCrash { return CauseCrash{2, i, now.Add(at)} }
	stored := Record{Key: 2, Trials: 2, Crashes: []CauseCrash{crash(1, 0), crash(2, time.Second)}}
	_, changed := stored.Update(Record{Key: 2, Crashes: []CauseCrash{crash(1, time.Millisecond), crash(2, time.Second)}})
	is.True(!changed)
	out, changed := stored.Update(Record{Key: 2, Trials: 1, Crashes: []CauseCrash{crash(3, time.Minute)}})
	is.True(changed)
	is.Equal(out, Record{Key: 2, Trials: 2, Crashes: []CauseCrash{crash(1, 0), crash(2, time.Second), crash(3, time.Minute)}})
	_, changed = stored.Update(Record{Key: 2})
	is.True(changed) // no longer refused
	_, changed = Record{Key: 2}.Update(Record{Key: 2})
	is.True(!changed)
}
