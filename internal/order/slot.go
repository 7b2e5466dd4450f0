package order

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Fractions of the load spacing. A slot is longer than the spacing by the window
// in which a load may start and by the clock skew, so that the starts of loads in
// adjacent slots are at least the spacing apart.
const (
	windowDivisor = 4 // a load starts within the first quarter of the spacing
	// maxLoadWindow bounds the window. It is shorter than pauseBackoff, so that a
	// process that restarts in its window sends no orders until the window is over.
	maxLoadWindow    = 2 * time.Second
	clockSkewDivisor = 4 // clocks differ by up to a quarter of the spacing
)

// loadSlots divides time into slots that the members of a pool take in turn to
// load from the weight store.
type loadSlots struct {
	length   time.Duration // of a slot
	window   time.Duration // at the start of a slot, in which a load may start
	count    int64         // slots in a cycle, one for each member
	ownIndex int64         // slot of this endpoint in the cycle
}

// newLoadSlots ranks self among the members of its pool by hash. Sides that know
// the same members compute the same ranks.
func newLoadSlots(spacing time.Duration, self model.EndpointID, members []model.EndpointID) loadSlots {
	window := min(spacing/windowDivisor, maxLoadWindow)
	s := loadSlots{length: spacing + window + spacing/clockSkewDivisor, window: window, count: int64(max(1, len(members)))}
	own := xxhash.Sum64String(string(self))
	for _, m := range members {
		h := xxhash.Sum64String(string(m))
		if m != self && (h < own || h == own && m < self) {
			s.ownIndex++
		}
	}
	if !slices.Contains(members, self) {
		s.count++
	}
	return s
}

// next returns the next window in which a load may start, or the rest of the
// current one.
func (s loadSlots) next(now time.Time) (start, end time.Time) {
	if s.length <= 0 {
		return now, now.Add(maxOrderAge)
	}
	index := now.UnixNano() / int64(s.length)
	start = time.Unix(0, index*int64(s.length))
	if index%s.count == s.ownIndex && now.Sub(start) < s.window {
		return now, start.Add(s.window)
	}
	wait := (s.ownIndex - index%s.count + s.count) % s.count
	if wait == 0 {
		wait = s.count
	}
	start = time.Unix(0, (index+wait)*int64(s.length))
	return start, start.Add(s.window)
}
