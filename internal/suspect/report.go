package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// MaxReported is the maximum number of crashes in a report, and that of sound
	// properties. Two crashes of requests with as many properties as are counted fit.
	MaxReported = 2 * MaxCausesPerRequest
	// soundLifetime is how long a report names a property that was found sound. Routers
	// that follow the reports have read it by then.
	soundLifetime = 30 * time.Second
	// processBit tells the hashes that cover the start of the process from those of
	// endpoints whose start is not known.
	processBit = 1 << 31
)

// ProcessHash returns the hash that stands for one process of an endpoint in reports of
// crashes. Without the start of the process, in Unix ms, it stands for all processes that
// the endpoint ever has.
func ProcessHash(id model.EndpointID, started int64) uint32 {
	if started == 0 {
		return uint32(xxhash.Sum64String(string(id))) &^ processBit
	}
	d := xxhash.New()
	_, _ = d.WriteString(string(id))
	for i := range 8 {
		_, _ = d.Write([]byte{byte(started >> (8 * i))})
	}
	return uint32(d.Sum64()) | processBit
}

// SoundCause is a property that was answered at a time, although it had been met at a
// crash.
type SoundCause struct {
	Key uint64
	At  time.Time
}

// Report is what a router tells the others through the store: the crashes that it saw
// itself with properties that have not been answered since, and properties that have.
type Report struct {
	Router  model.InstanceID
	Written time.Time // by the clock of the router
	Crashes []CauseCrash
	Sound   []SoundCause
}

// Shifted returns the report with all times moved, so that Written is the given time.
func (r Report) Shifted(written time.Time) Report {
	by := written.Sub(r.Written)
	out := Report{Router: r.Router, Written: written}
	for _, c := range r.Crashes {
		c.At = c.At.Add(by)
		out.Crashes = append(out.Crashes, c)
	}
	for _, c := range r.Sound {
		out.Sound = append(out.Sound, SoundCause{c.Key, c.At.Add(by)})
	}
	return out
}

// Observed holds what a router reports. It belongs to the control goroutine.
type Observed struct {
	crashes map[uint64][]CauseCrash // by property
	sound   []SoundCause
}

// AddCrash adds a crash that this router saw.
func (o *Observed) AddCrash(c CauseCrash) {
	if o.crashes == nil {
		o.crashes = map[uint64][]CauseCrash{}
	}
	o.crashes[c.Key] = append(o.crashes[c.Key], c)
}

// AddSound records that a property was answered and reports whether there is something to
// report: this router has reported crashes with it, or urgent is true.
func (o *Observed) AddSound(key uint64, at time.Time, urgent bool) bool {
	before := len(o.crashes[key])
	left := slices.DeleteFunc(o.crashes[key], func(c CauseCrash) bool { return !c.At.After(at) })
	if len(left) == before && !urgent {
		return false
	}
	if len(left) == 0 {
		delete(o.crashes, key)
	} else {
		o.crashes[key] = left
	}
	o.sound = append(o.sound, SoundCause{key, at})
	return true
}

// Report returns the report of a router. If there is more to report than fits, the crashes
// with the properties of which crashes returns the most are kept, and the newest ones.
func (o *Observed) Report(now time.Time, router model.InstanceID, crashes func(key uint64) int) Report {
	o.sound = slices.DeleteFunc(o.sound, func(c SoundCause) bool { return now.Sub(c.At) >= soundLifetime })
	o.sound = o.sound[max(0, len(o.sound)-MaxReported):]
	list := o.ranked(now, crashes)
	list = list[:min(len(list), MaxReported)]
	clear(o.crashes)
	for _, c := range list {
		o.AddCrash(c)
	}
	return Report{Router: router, Written: now, Crashes: list, Sound: slices.Clone(o.sound)}
}

// ranked returns the crashes that still count, those with the properties of which crashes
// returns the most first, and of these the newest ones.
func (o *Observed) ranked(now time.Time, crashes func(key uint64) int) []CauseCrash {
	type entry struct {
		CauseCrash
		known int
	}
	var list []entry
	for key, of := range o.crashes {
		known := crashes(key)
		for _, c := range of {
			if now.Sub(c.At) < Lifetime {
				list = append(list, entry{c, known})
			}
		}
	}
	slices.SortFunc(list, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.known, a.known), b.At.Compare(a.At), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	var out []CauseCrash
	for _, e := range list {
		out = append(out, e.CauseCrash)
	}
	return out
}
