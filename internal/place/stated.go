package place

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// StatedLoad is the load that an endpoint stated in the head of an answer.
type StatedLoad struct {
	Running, Waiting int // requests, the answered one included
	Slots            int // requests that the endpoint runs at once
	// WorkTime is how long work takes on the machine of the endpoint, relative to its
	// usual time; 0 if not stated. It changes many times a second.
	WorkTime float64
	Known    bool // the endpoint stated its load
}

// Requests returns the requests that the endpoint runs or has waiting.
func (l StatedLoad) Requests() int { return l.Running + l.Waiting }

// statedLoad is the load that an endpoint stated in an answer to this router or to a
// peer. Unlike the load reports of the peers, it counts the requests of all routers at
// one moment.
type statedLoad struct {
	load     int
	at       time.Time
	inFlight int // requests of this router in flight at that time
}

// statedLoadMargin is the difference between a stated load and the load known before
// from which the peers are notified. Without it, each answer of a loaded endpoint would
// cause a message to all routers.
const statedLoadMargin = 3

// load returns the requests in flight at s. A load that the endpoint stated counts for
// as long as the load reports of the peers may be older, together with what this router
// has sent since. Otherwise the load is the sum of the requests of this router and its
// live peers.
func (t *Table) load(now time.Time, s *endpointState) float64 {
	if s.stated.at.IsZero() || now.Sub(s.stated.at) >= LoadReportInterval(len(t.peers)) {
		return float64(s.inFlight + t.peerSums[s.hash])
	}
	return float64(max(s.inFlight, s.stated.load+s.inFlight-s.stated.inFlight))
}

// RecordStatedLoad applies the load that an endpoint stated in an answer to this
// router, and returns the hash of the endpoint. atBound reports that the endpoint is at
// its load bound and that this was not known, so that the peers should be notified.
func (t *Table) RecordStatedLoad(now time.Time, id model.EndpointID, stated StatedLoad) (endpoint uint32, atBound bool) {
	s := t.endpoints[id]
	if s == nil {
		return 0, false
	}
	known, load := t.load(now, s), stated.Requests()
	s.lastStated, s.lastStatedAt = stated, now
	if stated.WorkTime > 0 {
		s.work.add(now, stated.WorkTime)
		t.timesOf(s.Pool).workTimeStated = true
	}
	s.stated = statedLoad{load: load, at: now, inFlight: s.inFlight}
	if float64(load) < known+statedLoadMargin {
		return s.hash, false
	}
	return s.hash, float64(load) >= loadLimit(t.meanLoad(now, s.Pool))
}

// ApplyStatedLoad applies the load that an endpoint stated in an answer to a peer.
func (t *Table) ApplyStatedLoad(now time.Time, endpoint uint32, load int) {
	if s := t.byHash[endpoint]; s != nil {
		s.stated = statedLoad{load: load, at: now, inFlight: s.inFlight}
	}
}

// meanLoad returns the mean load of the endpoints of a pool, with those of a held version.
func (t *Table) meanLoad(now time.Time, pool model.Pool) float64 {
	members := t.inPool(pool)
	total := t.totalLoad(now, members.usable) + t.totalLoad(now, members.held)
	return total / float64(max(1, len(members.usable)+len(members.held)))
}

// totalLoad returns the sum of the loads of the given endpoints.
func (t *Table) totalLoad(now time.Time, list []*endpointState) (total float64) {
	for _, s := range list {
		total += t.load(now, s)
	}
	return total
}
