package suspect

import (
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// restartTime is how long the instance list is watched after a failure. An endpoint
	// that ended leaves the list after three missed check-ins.
	restartTime = 15 * time.Second
	maxFailures = 256
	// maxFailureCauses is the maximum number of properties in all failures, 512 KB of memory.
	maxFailureCauses = 16 * MaxCausesPerRequest
)

// Failure is an attempt whose answer did not come, or not whole, from an endpoint of which
// it is not known whether it crashed.
type Failure struct {
	Endpoint model.EndpointID
	Started  int64 // start time of its process when the request was placed, Unix ms; 0 if unknown
	At       time.Time
	Causes   []uint64
}

// Failures holds recent failures until the instance list shows whether the endpoint has
// started again since. It belongs to the control goroutine.
type Failures struct{ list []Failure }

// Add records a failure. The oldest ones go if there are too many, or too many properties.
func (t *Failures) Add(f Failure) {
	t.list = append(t.list, f)
	causes, from := 0, len(t.list)
	for from > 0 && len(t.list)-from < maxFailures {
		if causes += len(t.list[from-1].Causes); causes > maxFailureCauses {
			break
		}
		from--
	}
	t.list = slices.Delete(t.list, 0, from)
}

// Sound removes a property that an endpoint has answered from the failures.
func (t *Failures) Sound(key uint64) {
	t.list = slices.DeleteFunc(t.list, func(f Failure) bool { return len(f.Causes) == 1 && f.Causes[0] == key })
	for i, f := range t.list {
		if slices.Contains(f.Causes, key) {
			t.list[i].Causes = slices.DeleteFunc(slices.Clone(f.Causes), func(k uint64) bool { return k == key })
		}
	}
}

// Keys returns the properties of all failures.
func (t *Failures) Keys() map[uint64]bool {
	out := map[uint64]bool{}
	for _, f := range t.list {
		for _, key := range f.Causes {
			out[key] = true
		}
	}
	return out
}

// Crashes removes and returns the failures whose endpoints have ended since: restarted
// reports whether the process of an endpoint that was started at a time has ended.
func (t *Failures) Crashes(now time.Time, restarted func(model.EndpointID, int64) bool) (out []Failure) {
	t.list = slices.DeleteFunc(t.list, func(f Failure) bool {
		if now.Sub(f.At) >= restartTime {
			return true
		}
		if restarted(f.Endpoint, f.Started) {
			out = append(out, f)
			return true
		}
		return false
	})
	return out
}
