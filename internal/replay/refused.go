package replay

import (
	"maps"
	"time"
)

const (
	// refusalTTL is how long a refused attempt is remembered. The network is not
	// expected to deliver a copy of it later than this.
	refusalTTL = 2 * time.Minute
	// maxRefused is the maximum number of refused attempts. A side with 8 requests a
	// second refuses fewer than 1,000 within refusalTTL.
	maxRefused = 8192
)

// RefusedSet holds the ids of attempts that were refused as not run, so that a
// delayed or duplicate copy of an attempt does not run after its caller received
// the refusal.
type RefusedSet struct {
	refusedAt map[string]time.Time
}

// NewRefusedSet returns an empty set.
func NewRefusedSet() *RefusedSet { return &RefusedSet{refusedAt: map[string]time.Time{}} }

// Add adds an attempt and reports whether there was room for it. It ignores an empty
// id and returns true.
func (r *RefusedSet) Add(id string, now time.Time) bool {
	if id == "" || len(r.refusedAt) >= maxRefused {
		return id == ""
	}
	r.refusedAt[id] = now
	return true
}

// Has reports whether the attempt was refused.
func (r *RefusedSet) Has(id string) bool {
	_, ok := r.refusedAt[id]
	return ok
}

// Sweep removes attempts that were refused longer than refusalTTL ago.
func (r *RefusedSet) Sweep(now time.Time) {
	maps.DeleteFunc(r.refusedAt, func(_ string, at time.Time) bool { return now.Sub(at) > refusalTTL })
}
