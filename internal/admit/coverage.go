package admit

import "time"

// settleTime is the time after the first mean during which means are not used.
// An aggregator that has just started has reports of a few endpoints only; the
// others arrive within two report intervals.
const settleTime = 2 * time.Second

// coverage tracks how many endpoints the pool mean covers. An aggregator that
// restarts lacks the reports of most of the pool for a moment, and the mean of
// the few endpoints that have reported may be far too high.
type coverage struct {
	firstMeanAt  time.Time // when the first mean arrived
	poolSize     int       // assumed number of endpoints of the pool
	smallerSince time.Time // since when means cover fewer endpoints; zero if they do not
}

func (c *coverage) observe(endpoints int, now time.Time) {
	if endpoints == 0 {
		return
	}
	if c.firstMeanAt.IsZero() {
		c.firstMeanAt = now
	}
	switch {
	case endpoints >= c.poolSize:
		c.poolSize, c.smallerSince = endpoints, time.Time{}
	case c.smallerSince.IsZero():
		c.smallerSince = now
	case now.Sub(c.smallerSince) >= MaxMeanAge:
		c.poolSize, c.smallerSince = endpoints, time.Time{}
	}
}

func (c *coverage) settled(now time.Time) bool {
	return !c.firstMeanAt.IsZero() && now.Sub(c.firstMeanAt) >= settleTime
}

// singleEndpoint reports whether the pool has one endpoint. It is false until
// MaxMeanAge after the first mean, while other reports may still arrive.
func (c *coverage) singleEndpoint(now time.Time) bool {
	return c.poolSize == 1 && now.Sub(c.firstMeanAt) >= MaxMeanAge
}

// fraction returns the fraction of the pool that a mean of so many endpoints
// covers. The missing endpoints count as idle.
func (c *coverage) fraction(endpoints int) float64 {
	return min(1, float64(endpoints)/float64(max(1, c.poolSize)))
}
