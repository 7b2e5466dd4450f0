package place

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// maxTurnAway bounds the time for which an endpoint can turn a router away, since a
// malformed answer may state any. An endpoint that still wants nothing says so again.
const maxTurnAway = 2 * time.Minute

// RecordLeaving records that an endpoint said in an answer that it leaves, and reports
// whether that is new. It gets no new requests from then on, whatever the instance list
// says, until its process starts again.
func (t *Table) RecordLeaving(id model.EndpointID) bool {
	s := t.endpoints[id]
	if s == nil || s.leaving {
		return false
	}
	s.leaving = true
	clear(t.usableCache)
	return true
}

// RecordTurnAway records that an endpoint refused a request and wants none from this
// router for d, and returns the time that is left of all such answers. A shorter time
// does not end a longer one. It is no failure of the endpoint.
func (t *Table) RecordTurnAway(now time.Time, id model.EndpointID, d time.Duration) time.Duration {
	s := t.endpoints[id]
	if s == nil {
		return 0
	}
	s.turnedAwayUntil = maxTime(s.turnedAwayUntil, now.Add(min(d, maxTurnAway)))
	return s.turnedAwayUntil.Sub(now)
}

// TurnedAway returns the time until an endpoint of a pool accepts a request that Pick
// found no endpoint for, if all endpoints have turned this router away or stated a limit.
// It is 0 if there is another endpoint or none at all. Callers that are refused because of
// limits get times one after the other, at the rate at which this router may send.
func (t *Table) TurnedAway(now time.Time, pool model.Pool) time.Duration {
	members := t.usable(pool)
	if len(members) == 0 {
		return 0
	}
	wait, perSecond := maxTurnAway, 0.0
	for _, s := range members {
		left := max(0, s.turnedAwayUntil.Sub(now))
		if s.limit != nil {
			left = max(left, minLimitReturn, min(t.limitWait(now, s), noShareReturn))
			perSecond += t.limitShareOf(s)
		}
		if left == 0 {
			return 0
		}
		wait = min(wait, left)
	}
	if perSecond == 0 {
		return wait
	}
	at := maxTime(now.Add(wait), t.returns[pool].Add(time.Duration(float64(time.Second)/perSecond)))
	if latest := now.Add(maxLimitReturn); at.After(latest) {
		at = latest
	}
	t.returns[pool] = at
	return at.Sub(now)
}
