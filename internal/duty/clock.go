package duty

import (
	"slices"
	"time"
)

// sampleLifetime is how long the sample of a router's clock counts. Clocks drift by less
// than a millisecond in this time.
const sampleLifetime = 60 * time.Second

// Clock estimates the true time as the median of the clocks of the routers that were heard
// of, so that a clock that is off or steps has no effect while most are right.
type Clock struct{ samples map[string]sample }

// sample is the difference between a router's clock and the boot-time clock of this machine.
type sample struct{ offset, at time.Duration }

// NewClock returns a clock without samples.
func NewClock() *Clock { return &Clock{map[string]sample{}} }

// Sample records that the clock of a router showed wall, as the time since 1970, when the
// boot-time clock showed now.
func (c *Clock) Sample(router string, wall, now time.Duration) {
	c.samples[router] = sample{wall - now, now}
}

// Offset returns the true time less the boot time, and the number of clocks from which it
// follows.
func (c *Clock) Offset(now time.Duration) (time.Duration, int) {
	var list []time.Duration
	for name, s := range c.samples {
		if now-s.at > sampleLifetime {
			delete(c.samples, name)
			continue
		}
		list = append(list, s.offset)
	}
	if len(list) == 0 {
		return 0, 0
	}
	slices.Sort(list)
	n := len(list)
	return list[(n-1)/2]/2 + list[n/2]/2, n
}
