package place

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Result is how a request that was placed ended at its endpoint.
type Result int

// The results.
const (
	Answered      Result = iota // a whole answer that is no failure
	EndpointError               // a whole answer with a failure of the endpoint
	Failed                      // reset, cut, garbled or silent
	Unreachable                 // no connection could be made
	Refused                     // the endpoint said that it did not run the request
	Misdirected                 // another endpoint has the address
	Cancelled                   // the caller left; says nothing about the endpoint
)

// Times for which an endpoint is passed over.
const (
	// refusedTime spans a few requests of an endpoint that is full or leaving.
	refusedTime = 300 * time.Millisecond
	// misdirectedTime lasts until the list shows who has the address.
	misdirectedTime = 3 * time.Second
	// unreachableTime doubles with each attempt in a row up to maxUnreachable.
	unreachableTime = 500 * time.Millisecond
	maxUnreachable  = 4 * time.Second
	// failingTime is the pause of an endpoint whose requests fail.
	failingTime = 2 * time.Second
)

const (
	failingScore = 2.0 // failures in a row, roughly, that make an endpoint failing
	scoreKept    = 0.6 // part of the score that an answer leaves
	ownErrorCost = 0.6 // an endpoint's own failure says less than a broken answer
)

// health tells whether an endpoint failed lately.
type health struct {
	score       float64
	unreachable int       // attempts in a row without a connection
	down        bool      // the pause follows from failed connections
	until       time.Time // passed over until then
}

// note takes one result. normalErrors is set for pools whose endpoints answer
// with failures of the application in good health.
func (h *health) note(now time.Time, r Result, normalErrors bool) {
	switch r {
	case Answered:
		h.score *= scoreKept
		h.unreachable, h.down = 0, false
	case EndpointError:
		h.unreachable = 0
		if !normalErrors {
			h.add(now, ownErrorCost)
		}
	case Failed:
		h.add(now, 1)
	case Unreachable:
		pause := min(maxUnreachable, unreachableTime<<min(h.unreachable, 8))
		h.unreachable++
		h.down, h.until = true, later(h.until, now.Add(pause))
	case Refused:
		h.until = later(h.until, now.Add(refusedTime))
	case Misdirected:
		h.down, h.until = true, later(h.until, now.Add(misdirectedTime))
	case Cancelled:
	}
}

func (h *health) add(now time.Time, cost float64) {
	h.score += cost
	if h.score >= failingScore {
		h.until = later(h.until, now.Add(failingTime))
		h.score = failingScore / 2
	}
}

func (h *health) pausing(now time.Time) bool { return now.Before(h.until) }

// started counts a request that was placed at s.
func (t *Table) started(now time.Time, s *spot) {
	s.own++
	if now.Before(s.coldUntil) {
		s.starts.add(now)
	}
}

// Complete notes that a request that Pick placed is no longer in flight. unread
// names the prompt part that Pick took the endpoint to hold from then on if the
// request never got so far, and is 0 otherwise. It returns how long the endpoint
// is passed over if that begins now, and 0 otherwise.
func (t *Table) Complete(now time.Time, id model.EndpointID, r Result, unread uint64) (passedOver time.Duration) {
	s := t.spots[id]
	if s == nil {
		return 0
	}
	pausing := s.health.pausing(now)
	if unread != 0 {
		t.holders.remove(unread, s.hash)
	}
	s.own = max(0, s.own-1)
	wasDown := s.health.down
	s.health.note(now, r, !t.pools[s.Pool].Engine)
	if r == Misdirected { // one that is only cut off keeps its cache
		t.holders.forget(s.hash)
	}
	if wasDown && !s.health.down || s.health.down {
		// What comes back after a crash is cold and tolerates little.
		s.coldUntil = later(s.coldUntil, now.Add(t.pools[s.Pool].ColdTime))
	}
	if pausing || !s.health.pausing(now) {
		return 0
	}
	return s.health.until.Sub(now)
}
