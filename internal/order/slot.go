package order

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Parts of the load spacing. A slot is longer than the spacing by the window
// in which a load may start and by the difference between two clocks, so that
// the loads of neighbouring slots are at least the spacing apart.
const (
	windowParts = 4 // a load starts within the first quarter of the spacing,
	// and within 2 s, so that a process that restarts finds its own window over
	// once its hold has passed.
	maxWindow  = 2 * time.Second
	clockParts = 4 // clocks differ by up to a quarter of the spacing
)

// slots are the times at which the endpoint may load from the weight store.
type slots struct {
	length time.Duration
	window time.Duration
	count  int64
	own    int64
}

// newSlots ranks self among the members of its pool by hash. Every side that
// knows the same members finds the same ranks.
func newSlots(spacing time.Duration, self model.EndpointID, members []model.EndpointID) slots {
	window := min(spacing/windowParts, maxWindow)
	s := slots{length: spacing + window + spacing/clockParts, window: window, count: int64(max(1, len(members)))}
	own := xxhash.Sum64String(string(self))
	for _, m := range members {
		h := xxhash.Sum64String(string(m))
		if m != self && (h < own || h == own && m < self) {
			s.own++
		}
	}
	if !slices.Contains(members, self) {
		s.count++
	}
	return s
}

// next returns the first span, from now on, in which a load may start.
func (s slots) next(now time.Time) (start, end time.Time) {
	if s.length <= 0 {
		return now, now.Add(maxAge)
	}
	index := now.UnixNano() / int64(s.length)
	start = time.Unix(0, index*int64(s.length))
	if index%s.count == s.own && now.Sub(start) < s.window {
		return now, start.Add(s.window)
	}
	wait := (s.own - index%s.count + s.count) % s.count
	if wait == 0 {
		wait = s.count
	}
	start = time.Unix(0, (index+wait)*int64(s.length))
	return start, start.Add(s.window)
}
