package suspect

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// Threshold is the number of crashes at which a fingerprint is refused. One
	// is not enough, since every request in flight at a crash shares it.
	Threshold = 2
	// Lifetime is the time for which a crash counts and a fingerprint is
	// refused after its last crash.
	Lifetime = 10 * time.Minute
	// MaxFingerprints bounds the table and MaxPerCrash one notice; an endpoint
	// runs fewer requests at once than that.
	MaxFingerprints = 4096
	MaxPerCrash     = 64
)

// Crash is one crash of an endpoint with the requests that were in flight.
type Crash struct {
	ID           string // unique, so that a crash heard twice counts once
	Endpoint     model.EndpointID
	At           time.Time // by the receiver's clock, the message's age taken off
	Fingerprints []uint64
}

type item struct {
	crashes []string  // ids, at most Threshold
	last    time.Time // of the last crash
}

// View is the published set of refused fingerprints and the time until which
// each is refused. Nobody changes it.
type View map[uint64]time.Time

// RemainingTime returns the time left for which a fingerprint is refused, or 0.
func (v View) RemainingTime(fingerprint uint64, now time.Time) time.Duration {
	return max(0, v[fingerprint].Sub(now))
}

// Table holds the fingerprints in flight at recent crashes. It belongs to the
// control goroutine.
type Table struct {
	items    map[uint64]*item
	recent   []Crash // newest last, for peers that ask
	released map[uint64]time.Time
	active   bool // refuse at Threshold; tests switch it off
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{items: map[uint64]*item{}, released: map[uint64]time.Time{}, active: true}
}

// Add merges a crash and reports whether it told anything new. The same crash
// may arrive in parts: an entry first hears of its own request only.
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
		if len(t.recent) > maxRecent {
			t.recent = slices.Delete(t.recent, 0, 1)
		}
	}
	for _, f := range c.Fingerprints {
		t.count(now, f, c)
	}
	return true
}

// maxRecent bounds the crashes kept with their ids. 13 instances fail on an
// ordinary day; a data centre with 170 endpoints may fail at once.
const maxRecent = 256

func (t *Table) count(now time.Time, f uint64, c Crash) {
	if !c.At.After(t.released[f]) {
		return
	}
	it := t.items[f]
	if it == nil {
		if len(t.items) >= MaxFingerprints {
			t.evict(now)
		}
		it = &item{}
		t.items[f] = it
	}
	if len(it.crashes) < Threshold && !slices.Contains(it.crashes, c.ID) {
		it.crashes = append(it.crashes, c.ID)
	}
	if c.At.After(it.last) {
		it.last = c.At
	}
}

// evict makes room: expired items, then an eighth of the table, those below the
// threshold and the oldest first. Evicting one at a time would sort the table
// for each new fingerprint.
func (t *Table) evict(now time.Time) {
	t.Sweep(now)
	if len(t.items) < MaxFingerprints {
		return
	}
	order := slices.SortedFunc(maps.Keys(t.items), func(a, b uint64) int {
		x, y := t.items[a], t.items[b]
		return cmp.Or(cmp.Compare(len(x.crashes), len(y.crashes)), x.last.Compare(y.last), cmp.Compare(a, b))
	})
	for _, f := range order[:MaxFingerprints/8] {
		delete(t.items, f)
	}
}

// Crashes returns the number of crashes that a fingerprint shares, up to
// Threshold.
func (t *Table) Crashes(f uint64, now time.Time) int {
	it := t.items[f]
	if it == nil || now.Sub(it.last) >= Lifetime {
		return 0
	}
	return len(it.crashes)
}

// SetReleased takes the fingerprints that an operator released, in the form of
// Name, and the time of each. Crashes up to that time no longer count.
func (t *Table) SetReleased(list map[string]time.Time) {
	t.released = make(map[uint64]time.Time, len(list))
	for name, at := range list {
		var f uint64
		if _, err := fmt.Sscanf(name, "%x", &f); err != nil {
			continue
		}
		t.released[f] = at
		if it := t.items[f]; it != nil && !it.last.After(at) {
			delete(t.items, f)
		}
	}
}

// Name returns the form in which operators see a fingerprint.
func Name(f uint64) string { return fmt.Sprintf("%016x", f) }

// View returns the refused fingerprints.
func (t *Table) View(now time.Time) View {
	v := View{}
	for f, it := range t.items {
		if t.active && len(it.crashes) >= Threshold && now.Sub(it.last) < Lifetime {
			v[f] = it.last.Add(Lifetime)
		}
	}
	return v
}

// Quarantined is the published set of fingerprints that shared one crash, and its
// time. Nobody changes it.
type Quarantined map[uint64]time.Time

// Quarantine is the time for which a request that shared a crash waits before
// it runs again. Copies of it that run elsewhere crash their endpoints in the
// meantime, and the second crash refuses it.
const Quarantine = time.Second

// WaitTime returns the time that a request has to wait at now, and whether it
// shared a crash.
func (t Quarantined) WaitTime(fingerprint uint64, now time.Time) (time.Duration, bool) {
	at, ok := t[fingerprint]
	return max(0, at.Add(Quarantine).Sub(now)), ok
}

// Quarantined returns the fingerprints that shared one crash.
func (t *Table) Quarantined(now time.Time) Quarantined {
	out := Quarantined{}
	for f, it := range t.items {
		if len(it.crashes) < Threshold && now.Sub(it.last) < Lifetime {
			out[f] = it.last
		}
	}
	return out
}

// Recent returns the crashes of the last within, for peers that missed them.
func (t *Table) Recent(now time.Time, within time.Duration) []Crash {
	var out []Crash
	for _, c := range t.recent {
		if now.Sub(c.At) < within {
			out = append(out, c)
		}
	}
	return out
}

// Sweep drops what has expired and reports whether anything did.
func (t *Table) Sweep(now time.Time) bool {
	before := len(t.items)
	maps.DeleteFunc(t.items, func(_ uint64, it *item) bool { return now.Sub(it.last) >= Lifetime })
	t.recent = slices.DeleteFunc(t.recent, func(c Crash) bool { return now.Sub(c.At) >= Lifetime })
	return len(t.items) != before
}

// Len returns the number of fingerprints in the table.
func (t *Table) Len() int { return len(t.items) }
