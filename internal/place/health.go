package place

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Result is the outcome of a request at the endpoint that Pick selected.
type Result int

// The results.
const (
	Answered      Result = iota // a complete answer without an error
	EndpointError               // a complete answer that reports an error of the endpoint
	Failed                      // connection reset, truncated or malformed answer, or read timeout
	Unreachable                 // the connection could not be established
	Refused                     // the endpoint answered that it did not run the request
	Misdirected                 // another endpoint has the address
	Cancelled                   // cancelled by the caller; says nothing about the endpoint
)

// Backoff times after failures.
const (
	// refusedBackoff is about the time of a few requests, for an endpoint that is
	// full or draining.
	refusedBackoff = 300 * time.Millisecond
	// misdirectedBackoff lasts until the list shows which endpoint has the
	// address.
	misdirectedBackoff = 3 * time.Second
	// unreachableBackoff doubles with each consecutive connection failure up to
	// maxUnreachableBackoff.
	unreachableBackoff    = 500 * time.Millisecond
	maxUnreachableBackoff = 4 * time.Second
	// failingBackoff applies to an endpoint whose failure score reaches
	// failureThreshold.
	failingBackoff = 2 * time.Second
)

const (
	failureThreshold  = 2.0 // failure score that starts a backoff; roughly the number of consecutive failures
	successDecay      = 0.6 // factor on the score for each successful answer
	endpointErrorCost = 0.6 // below the 1 of a failed answer: an error that the endpoint reports is weaker evidence
)

// health tracks the recent failures of an endpoint and its backoff.
type health struct {
	score           float64   // sum of recent failures by severity; decays with successful answers
	connectFailures int       // consecutive connection failures
	down            bool      // set by Unreachable and Misdirected, cleared by a successful answer
	backoffUntil    time.Time // end of the backoff
}

// record applies the result of one request. normalErrors is set for pools whose
// endpoints return application errors while they are healthy.
func (h *health) record(now time.Time, r Result, normalErrors bool) {
	switch r {
	case Answered:
		h.score *= successDecay
		h.connectFailures, h.down = 0, false
	case EndpointError:
		h.connectFailures = 0
		if !normalErrors {
			h.addFailure(now, endpointErrorCost)
		}
	case Failed:
		h.addFailure(now, 1)
	case Unreachable:
		backoff := min(maxUnreachableBackoff, unreachableBackoff<<min(h.connectFailures, 8))
		h.connectFailures++
		h.down, h.backoffUntil = true, maxTime(h.backoffUntil, now.Add(backoff))
	case Refused:
		h.backoffUntil = maxTime(h.backoffUntil, now.Add(refusedBackoff))
	case Misdirected:
		h.down, h.backoffUntil = true, maxTime(h.backoffUntil, now.Add(misdirectedBackoff))
	case Cancelled:
	}
}

func (h *health) addFailure(now time.Time, cost float64) {
	h.score += cost
	if h.score >= failureThreshold {
		h.backoffUntil = maxTime(h.backoffUntil, now.Add(failingBackoff))
		h.score = failureThreshold / 2
	}
}

func (h *health) inBackoff(now time.Time) bool { return now.Before(h.backoffUntil) }

// recordStart counts a request that is sent to s.
func (t *Table) recordStart(now time.Time, s *endpointState) {
	s.inFlight++
	if s.limit != nil {
		s.limit.limiter.AllowN(now, 1)
	}
	if now.Before(s.coldUntil) {
		s.coldStarts.add(now)
	}
}

// Complete records the result of a request that Pick counted as in flight. Pick
// records the endpoint as a holder of the prompt part in advance. If the request
// ended before the endpoint processed the part, pending is that part and the
// endpoint is no longer its holder; otherwise pending is 0. Complete returns the
// length of the backoff if this result starts one, and 0 otherwise.
func (t *Table) Complete(now time.Time, id model.EndpointID, r Result, pending uint64) (backoff time.Duration) {
	s := t.endpoints[id]
	if s == nil {
		return 0
	}
	wasInBackoff := s.health.inBackoff(now)
	if pending != 0 {
		t.holders.remove(pending, s.hash)
	}
	s.inFlight = max(0, s.inFlight-1)
	wasDown := s.health.down
	s.health.record(now, r, !t.pools[s.Pool].Engine)
	if r == Misdirected { // an endpoint that is only unreachable keeps its cache
		t.holders.removeEndpoint(s.hash)
	}
	if wasDown && !s.health.down || s.health.down {
		// An endpoint that returns after a crash is cold and tolerates few requests.
		s.coldUntil = maxTime(s.coldUntil, now.Add(t.pools[s.Pool].ColdTime))
	}
	if wasInBackoff || !s.health.inBackoff(now) {
		return 0
	}
	return s.health.backoffUntil.Sub(now)
}
