package place

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// limitShare is the share of a stated limit that all routers together use. The rest
	// covers those that do not know of it yet.
	limitShare = 0.9
	// minStatedLimit is the lowest limit in requests a second that is kept. An endpoint
	// that gets nothing could not say that it takes more again.
	minStatedLimit = 0.25
	// limitLifetime is how long a limit holds that neither this router nor a peer has met
	// in an answer again.
	limitLifetime = 30 * time.Second
	// limitTellInterval is the time after which the peers are notified again of a limit
	// that has not changed.
	limitTellInterval = 3 * time.Second
	// limitBurstTime is the time whose requests may be sent at one moment.
	limitBurstTime = 250 * time.Millisecond
	// limitShareInterval is how long the share of this router holds, which depends on the
	// number of routers.
	limitShareInterval = time.Second
	// minLimitReturn and maxLimitReturn bound the time after which callers that were
	// refused because of limits are told to return. Few would still wait longer.
	minLimitReturn = 200 * time.Millisecond
	maxLimitReturn = 10 * time.Second
	// noShareReturn is the same time at a router that does not send to the endpoint; the
	// caller may reach another one.
	noShareReturn = time.Second
	// reservedShare is the share of the endpoints of a pool that are kept for more urgent
	// requests, for each step of priority, while all endpoints state limits.
	reservedShare = 0.1
	maxReserved   = 0.5 // the largest such share
	// limitChange is the factor between two limits from which they count as different, so
	// that not each answer causes a message to all routers. limitShare makes up for it.
	limitChange = 1.1
)

// statedLimit is the limit on the requests a second of all routers that an endpoint
// stated in its answers, and the part of it that this router uses.
type statedLimit struct {
	perSecond float64
	confirmed time.Time // when an answer last stated it, to this router or to a peer
	told      time.Time // when the peers were last notified of it
	sharedAt  time.Time // when limiter was last set
	limiter   *rate.Limiter
}

// RecordStatedLimit applies the limit that an endpoint stated in an answer to this router,
// or that it stated none if perSecond is negative. It returns the hash of the endpoint.
// changed reports that this was not known, tell that the peers should be notified.
func (t *Table) RecordStatedLimit(now time.Time, id model.EndpointID, perSecond float64) (endpoint uint32, changed, tell bool) {
	s := t.endpoints[id]
	if s == nil {
		return 0, false, false
	}
	changed = t.setLimit(now, s, perSecond)
	if changed || s.limit != nil && now.Sub(s.limit.told) >= limitTellInterval {
		tell = true
		if s.limit != nil {
			s.limit.told = now
		}
	}
	return s.hash, changed, tell
}

// ApplyStatedLimit applies the limit, or none, that an endpoint stated in an answer to a
// peer.
func (t *Table) ApplyStatedLimit(now time.Time, endpoint uint32, perSecond float64) {
	if s := t.byHash[endpoint]; s != nil {
		t.setLimit(now, s, perSecond)
		if s.limit != nil {
			s.limit.told = now
		}
	}
}

// setLimit sets or removes the limit of an endpoint and reports whether that changes it.
func (t *Table) setLimit(now time.Time, s *endpointState, perSecond float64) bool {
	if !(perSecond >= 0) {
		known := s.limit != nil
		s.limit = nil
		return known
	}
	perSecond = max(perSecond, minStatedLimit)
	if s.limit == nil {
		s.limit = &statedLimit{limiter: rate.NewLimiter(0, 1)}
		s.limit.limiter.AllowN(now, 1) // the next request waits for its turn
	}
	l := s.limit
	l.confirmed = now
	if ratio := perSecond / l.perSecond; ratio < limitChange && ratio > 1/limitChange {
		return false
	}
	l.perSecond = perSecond
	t.shareLimit(now, s)
	return true
}

// sendersOf returns the number of routers that send to an endpoint with a stated limit, if
// there are enough. Each of them may send one request at any moment, so in a short time
// they exceed the limit by their number.
func sendersOf(perSecond float64) int { return int(1.5*perSecond) + 3 }

// shareLimit sets the part of the limit that this router uses. The routers divide it
// without coordination: the first ones in the rendezvous order for the endpoint send, each
// the same, and the others do not.
func (t *Table) shareLimit(now time.Time, s *endpointState) {
	l := s.limit
	l.sharedAt = now
	senders := min(t.Routers(now), sendersOf(l.perSecond))
	share := 0.0
	if t.rank(s.hash) < senders {
		share = limitShare * l.perSecond / float64(senders)
	}
	l.limiter.SetLimitAt(now, rate.Limit(share))
	l.limiter.SetBurstAt(now, max(1, int(share*limitBurstTime.Seconds())))
}

// limitWait returns the time until this router may send to s: 0 if now, and math.MaxInt64
// if it may not as long as the limit holds.
func (t *Table) limitWait(now time.Time, s *endpointState) time.Duration {
	if s.limit == nil {
		return 0
	}
	if now.Sub(s.limit.confirmed) >= limitLifetime {
		s.limit = nil
		return 0
	}
	l := s.limit
	if now.Sub(l.sharedAt) >= limitShareInterval {
		t.shareLimit(now, s)
	}
	tokens := l.limiter.TokensAt(now)
	switch {
	case l.limiter.Limit() == 0:
		return math.MaxInt64
	case tokens >= 1:
		return 0
	}
	return time.Duration((1 - tokens) / float64(l.limiter.Limit()) * float64(time.Second))
}

// limitShareOf returns the requests a second that this router may send to an endpoint with
// a stated limit.
func (t *Table) limitShareOf(s *endpointState) float64 {
	if s.limit == nil {
		return 0
	}
	return float64(s.limit.limiter.Limit())
}

// reservedForMoreUrgent reports whether the eligible endpoints are to be kept for requests
// that are more urgent than priority: all endpoints of the pool have stated limits, and
// only few of those to which this router sends take one now.
func (t *Table) reservedForMoreUrgent(usable []*endpointState, eligible []candidate, priority int) bool {
	sendsTo := 0
	for _, s := range usable {
		if s.limit == nil {
			return false
		}
		if t.limitShareOf(s) > 0 {
			sendsTo++
		}
	}
	reserved := min(maxReserved, reservedShare*float64(priority)) * float64(sendsTo)
	return len(eligible) <= int(reserved)
}

// Limits returns the stated limits in force by endpoint hash, in requests a second, for a
// peer that starts.
func (t *Table) Limits(now time.Time) map[uint32]float64 {
	out := map[uint32]float64{}
	for _, s := range t.endpoints {
		if s.limit != nil && now.Sub(s.limit.confirmed) < limitLifetime {
			out[s.hash] = s.limit.perSecond
		}
	}
	return out
}
