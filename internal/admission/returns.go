package admission

import "time"

const (
	// minReturn is the shortest time after which a refused caller is told to return.
	minReturn = 100 * time.Millisecond
	// maxReturnShare is the part of the time left that callers wait at most.
	maxReturnShare = 1.0 / 3
	// returnSpread is the part of the longest wait over which callers return for whom no
	// capacity is in sight.
	returnSpread = 0.4
	// maxReturn bounds the wait of callers without a deadline.
	maxReturn = 10 * time.Second
)

// retryAfter returns when the caller of a refused request is to return: when the rate at
// which requests of its priority are admitted has served those that were refused before
// it. Callers return mostly at other routers, which refuse about as many.
func (p *pool) retryAfter(now time.Time, r Request) time.Duration {
	left := r.Wait // of the caller; the route's timeout counts from each arrival
	if left <= 0 {
		left = r.Left
	}
	longest := min(time.Duration(maxReturnShare*float64(max(left, 0))), maxReturn)
	level := min(max(r.Priority, 0), Priorities-1)
	perSecond := returningShare * (p.admitted[2*level]*p.rate[2*level] + p.admitted[2*level+1]*p.rate[2*level+1])
	if perSecond > 0 {
		at := p.returns[level]
		if soonest := now.Add(minReturn); at.Before(soonest) {
			at = soonest
		}
		at = at.Add(time.Duration(float64(time.Second) / perSecond))
		if wait := at.Sub(now); wait <= longest {
			p.returns[level] = at
			return wait
		}
	}
	return max(minReturn, time.Duration((1-returnSpread*r.Random)*float64(longest)))
}
