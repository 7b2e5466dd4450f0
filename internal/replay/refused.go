package replay

import (
	"maps"
	"time"
)

const (
	// refusedTime is the time for which a refused hand-over is remembered. A
	// copy of it that the network delivers later than this is not expected.
	refusedTime = 2 * time.Minute
	// maxRefused bounds the hand-overs that are remembered. A side of 8 requests
	// a second refuses fewer than 1,000 in the time.
	maxRefused = 8192
)

// RefusedSet remembers hand-overs that were refused as not run, so that a late or
// repeated copy of one does not run after its caller was told so.
type RefusedSet struct {
	at map[string]time.Time
}

// NewRefusedSet returns an empty memory.
func NewRefusedSet() *RefusedSet { return &RefusedSet{at: map[string]time.Time{}} }

// Add remembers a hand-over and reports whether there was room for it.
func (r *RefusedSet) Add(id string, now time.Time) bool {
	if id == "" || len(r.at) >= maxRefused {
		return id == ""
	}
	r.at[id] = now
	return true
}

// Has reports whether the hand-over was refused.
func (r *RefusedSet) Has(id string) bool {
	_, ok := r.at[id]
	return ok
}

// Sweep forgets old hand-overs.
func (r *RefusedSet) Sweep(now time.Time) {
	maps.DeleteFunc(r.at, func(_ string, at time.Time) bool { return now.Sub(at) > refusedTime })
}
