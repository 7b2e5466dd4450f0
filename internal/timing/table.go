package timing

import (
	"maps"
	"math"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Key identifies what times are summed up for.
type Key struct {
	Endpoint model.EndpointID
	Pool     model.Pool
	Version  model.Version
	Route    model.Route
	Stage    model.Stage
}

// Sum is a number of requests and the time that they spent in a stage.
type Sum struct {
	Requests float64
	Time     time.Duration
}

// Mean returns the mean time of a request.
func (s Sum) Mean() time.Duration {
	if s.Requests <= 0 {
		return 0
	}
	return time.Duration(float64(s.Time) / s.Requests)
}

func (s Sum) add(t Sum) Sum { return Sum{s.Requests + t.Requests, s.Time + t.Time} }

func (s Sum) sub(t Sum) Sum { return Sum{s.Requests - t.Requests, s.Time - t.Time} }

// Sums holds sums by key.
type Sums map[Key]Sum

// Add adds the time of one request.
func (s Sums) Add(k Key, d time.Duration) { s[k] = s[k].add(Sum{1, d}) }

// Merge adds the sums of other.
func (s Sums) Merge(other Sums) {
	for k, v := range other {
		s[k] = s[k].add(v)
	}
}

const (
	// halfLife is the age at which a request counts half, so that the table covers
	// the last few minutes.
	halfLife = 2 * time.Minute
	// maxRows bounds a table. An aggregator of 12 endpoints with 2 versions and 16
	// routes each needs 1,920 rows.
	maxRows = 8192
	// minRowRequests is the number of requests below which a row is dropped.
	minRowRequests = 0.05
)

// Table holds sums that decay exponentially with time.
type Table struct {
	sums      Sums
	decayedAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{sums: Sums{}} }

// Add adds sums to the table. A new row is ignored if the table is full.
func (t *Table) Add(sums Sums) {
	for k, v := range sums {
		if _, known := t.sums[k]; known || len(t.sums) < maxRows {
			t.sums[k] = t.sums[k].add(v)
		}
	}
}

// Decay applies the decay of the sums up to now.
func (t *Table) Decay(now time.Time) {
	if t.decayedAt.IsZero() {
		t.decayedAt = now
	}
	factor := math.Exp2(-float64(now.Sub(t.decayedAt)) / float64(halfLife))
	t.decayedAt = now
	for k, v := range t.sums {
		v = Sum{v.Requests * factor, time.Duration(float64(v.Time) * factor)}
		if v.Requests < minRowRequests {
			delete(t.sums, k)
			continue
		}
		t.sums[k] = v
	}
}

// Sums returns a copy of the sums.
func (t *Table) Sums() Sums { return maps.Clone(t.sums) }
