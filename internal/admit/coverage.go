package admit

import "time"

// settleTime is how long the first means of a process are not trusted. A holder
// that has just started has heard of a few endpoints only, and two report
// periods bring the others.
const settleTime = 2 * time.Second

// coverage remembers how many endpoints the pool mean covers. A holder that
// restarts forgets most of the pool for a moment, and the mean of the few that
// it has heard of may be far too high.
type coverage struct {
	first      time.Time // when a mean arrived first
	peak       int       // endpoints that the pool is believed to have
	lowerSince time.Time // since when means cover fewer; zero if they do not
}

func (c *coverage) note(endpoints int, now time.Time) {
	if endpoints == 0 {
		return
	}
	if c.first.IsZero() {
		c.first = now
	}
	switch {
	case endpoints >= c.peak:
		c.peak, c.lowerSince = endpoints, time.Time{}
	case c.lowerSince.IsZero():
		c.lowerSince = now
	case now.Sub(c.lowerSince) >= MaxMeanAge:
		c.peak, c.lowerSince = endpoints, time.Time{}
	}
}

func (c *coverage) settled(now time.Time) bool {
	return !c.first.IsZero() && now.Sub(c.first) >= settleTime
}

// alone reports whether the pool has had one endpoint only for a while.
func (c *coverage) alone(now time.Time) bool {
	return c.peak == 1 && now.Sub(c.first) >= MaxMeanAge
}

// part is the part of the pool that a mean covers. The endpoints that are
// missing count as idle.
func (c *coverage) part(endpoints int) float64 {
	return min(1, float64(endpoints)/float64(max(1, c.peak)))
}
