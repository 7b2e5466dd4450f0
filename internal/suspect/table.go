package suspect

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// Threshold is the number of crashes at which a fingerprint is refused. One crash
	// is not enough, since it counts against every request that was in flight.
	Threshold = 2
	// Lifetime is how long a crash counts, and how long a fingerprint is refused
	// after its last crash.
	Lifetime = 10 * time.Minute
	// MaxFingerprints is the maximum number of fingerprints in a table.
	MaxFingerprints = 16 * MaxPerCrash
	// MaxPerCrash is the maximum number of fingerprints of one crash, which bounds the
	// messages and records of crashes. If more requests were in flight, SampleInFlight
	// chooses among them.
	MaxPerCrash = 1024
)

// Crash is a crash of an endpoint with the requests that were in flight.
type Crash struct {
	ID           string // unique, so that a crash that is received twice counts once
	Endpoint     model.EndpointID
	At           time.Time // by the clock of the receiver: receive time minus the age of the message
	Fingerprints []uint64
}

// SampleInFlight returns the fingerprints of a crash with the given id in ascending order:
// those that were in flight, or MaxPerCrash of them. Which ones depends on the id, so that none
// is left out at each crash. It may reorder inFlight.
func SampleInFlight(inFlight []uint64, id string) []uint64 {
	out := sample(inFlight, MaxPerCrash, xxhash.Sum64String(id))
	slices.Sort(out)
	return out
}

// sample returns n of the keys, or all if there are not more. Which ones depends on seed. It may
// reorder keys.
func sample(keys []uint64, n int, seed uint64) []uint64 {
	if len(keys) <= n {
		return keys
	}
	slices.SortFunc(keys, func(a, b uint64) int { return cmp.Compare(scramble(a, seed), scramble(b, seed)) })
	return keys[:n]
}

// scramble returns the place of a key in an order that depends on seed.
func scramble(key, seed uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], key)
	binary.LittleEndian.PutUint64(b[8:], seed)
	return xxhash.Sum64(b[:])
}

// fingerprintState holds the crashes at which a fingerprint was in flight.
type fingerprintState struct {
	crashIDs  []string  // at most Threshold
	lastCrash time.Time // time of the latest crash
}

// View is a published set of refused fingerprints with the time until which each
// is refused. It is immutable.
type View map[uint64]time.Time

// RemainingTime returns how much longer a fingerprint is refused, or 0.
func (v View) RemainingTime(fingerprint uint64, now time.Time) time.Duration {
	return max(0, v[fingerprint].Sub(now))
}

// Table holds the fingerprints in flight at recent crashes. It belongs to the
// control goroutine.
type Table struct {
	fingerprints map[uint64]*fingerprintState
	recent       []Crash              // in the order in which they were added; for peers that pull
	released     map[uint64]time.Time // by operators, with the time of the release
	enabled      bool                 // refuse fingerprints at Threshold; tests disable it
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{fingerprints: map[uint64]*fingerprintState{}, released: map[uint64]time.Time{}, enabled: true}
}

// Add merges a crash and reports whether it contained anything new. A crash may be
// received in parts: an entry first learns about its own request only.
func (t *Table) Add(now time.Time, c Crash) bool {
	if now.Sub(c.At) >= Lifetime {
		return false
	}
	c.Fingerprints = slices.Clone(c.Fingerprints[:min(len(c.Fingerprints), MaxPerCrash)])
	i := slices.IndexFunc(t.recent, func(r Crash) bool { return r.ID == c.ID })
	if i >= 0 {
		have := t.recent[i].Fingerprints
		c.At = t.recent[i].At
		c.Fingerprints = slices.DeleteFunc(c.Fingerprints, func(f uint64) bool { return slices.Contains(have, f) })
		c.Fingerprints = c.Fingerprints[:min(len(c.Fingerprints), MaxPerCrash-len(have))]
		if len(c.Fingerprints) == 0 {
			return false
		}
		t.recent[i].Fingerprints = append(slices.Clip(have), c.Fingerprints...)
	} else {
		t.recent = append(t.recent, c)
		if len(t.recent) > maxRecentCrashes {
			t.recent = slices.Delete(t.recent, 0, 1)
		}
	}
	for _, f := range c.Fingerprints {
		t.addCrash(now, f, c)
	}
	return true
}

// maxRecentCrashes is the maximum number of recent crashes in a table. 13
// instances fail on an ordinary day, and all 170 endpoints of a data centre may
// fail at the same time.
const maxRecentCrashes = 256

func (t *Table) addCrash(now time.Time, f uint64, c Crash) {
	if !c.At.After(t.released[f]) {
		return
	}
	s := t.fingerprints[f]
	if s == nil {
		if len(t.fingerprints) >= MaxFingerprints {
			t.evict(now)
		}
		s = &fingerprintState{}
		t.fingerprints[f] = s
	}
	if len(s.crashIDs) < Threshold && !slices.Contains(s.crashIDs, c.ID) {
		s.crashIDs = append(s.crashIDs, c.ID)
	}
	if c.At.After(s.lastCrash) {
		s.lastCrash = c.At
	}
}

// evict removes expired fingerprints and, if the table is still full, an eighth of
// it: those below Threshold first, and those with the oldest last crash first.
// Evicting one at a time would sort the table for each new fingerprint.
func (t *Table) evict(now time.Time) {
	t.Sweep(now)
	if len(t.fingerprints) < MaxFingerprints {
		return
	}
	order := slices.SortedFunc(maps.Keys(t.fingerprints), func(a, b uint64) int {
		x, y := t.fingerprints[a], t.fingerprints[b]
		return cmp.Or(cmp.Compare(len(x.crashIDs), len(y.crashIDs)), x.lastCrash.Compare(y.lastCrash), cmp.Compare(a, b))
	})
	for _, f := range order[:MaxFingerprints/8] {
		delete(t.fingerprints, f)
	}
}

// Crashes returns the number of crashes at which a fingerprint was in flight, up
// to Threshold.
func (t *Table) Crashes(f uint64, now time.Time) int {
	s := t.fingerprints[f]
	if s == nil || now.Sub(s.lastCrash) >= Lifetime {
		return 0
	}
	return len(s.crashIDs)
}

// SetReleased sets the fingerprints that operators released, in the format of
// Name, with the time of each release. Crashes up to that time no longer count.
func (t *Table) SetReleased(list map[string]time.Time) {
	t.released = make(map[uint64]time.Time, len(list))
	for name, at := range list {
		var f uint64
		if _, err := fmt.Sscanf(name, "%x", &f); err != nil {
			continue
		}
		t.released[f] = at
		if s := t.fingerprints[f]; s != nil && !s.lastCrash.After(at) {
			delete(t.fingerprints, f)
		}
	}
}

// Name returns the text form of a fingerprint for operators.
func Name(f uint64) string { return fmt.Sprintf("%016x", f) }

// View returns the refused fingerprints at now.
func (t *Table) View(now time.Time) View {
	v := View{}
	for f, s := range t.fingerprints {
		if t.enabled && len(s.crashIDs) >= Threshold && now.Sub(s.lastCrash) < Lifetime {
			v[f] = s.lastCrash.Add(Lifetime)
		}
	}
	return v
}

// Quarantined is a published set of the fingerprints that were in flight at one
// crash, with the time of the crash. It is immutable.
type Quarantined map[uint64]time.Time

// Quarantine is how long a request that was in flight at a crash waits before it
// runs again. If the request is the cause, copies of it that run at other endpoints
// crash those in the meantime, and after the second crash it is refused.
const Quarantine = time.Second

// WaitTime returns how long a request must still wait at now, and whether it was in
// flight at a crash.
func (q Quarantined) WaitTime(fingerprint uint64, now time.Time) (time.Duration, bool) {
	at, ok := q[fingerprint]
	return max(0, at.Add(Quarantine).Sub(now)), ok
}

// Quarantined returns the fingerprints that were in flight at one crash.
func (t *Table) Quarantined(now time.Time) Quarantined {
	out := Quarantined{}
	for f, s := range t.fingerprints {
		if len(s.crashIDs) < Threshold && now.Sub(s.lastCrash) < Lifetime {
			out[f] = s.lastCrash
		}
	}
	return out
}

// Recent returns the crashes that are younger than within, for peers that missed
// them.
func (t *Table) Recent(now time.Time, within time.Duration) []Crash {
	var out []Crash
	for _, c := range t.recent {
		if now.Sub(c.At) < within {
			out = append(out, c)
		}
	}
	return out
}

// Sweep removes expired fingerprints and crashes. It reports whether any
// fingerprint expired.
func (t *Table) Sweep(now time.Time) bool {
	before := len(t.fingerprints)
	maps.DeleteFunc(t.fingerprints, func(_ uint64, s *fingerprintState) bool { return now.Sub(s.lastCrash) >= Lifetime })
	t.recent = slices.DeleteFunc(t.recent, func(c Crash) bool { return now.Sub(c.At) >= Lifetime })
	return len(t.fingerprints) != before
}

// Len returns the number of fingerprints in the table.
func (t *Table) Len() int { return len(t.fingerprints) }
