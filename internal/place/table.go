package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/goldcrestturn/goldcrestturn/internal/catalog"
	"github.com/goldcrestturn/goldcrestturn/internal/locality"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Endpoint is an endpoint of the instance list.
type Endpoint struct {
	ID         model.EndpointID
	Pool       model.Pool
	Address    string // ip:port
	DataCentre model.DataCentre
	Region     model.Region
	Version    model.Version
	Draining   bool
	ColdLeft   time.Duration // remaining time as a cold endpoint
	Slots      int           // requests that it runs at once; 0 if unknown
	Started    int64         // start time of its process, Unix ms; 0 if unknown
}

// EndpointHash returns the hash that stands for an endpoint in messages between
// routers, since it is shorter than the id.
func EndpointHash(id model.EndpointID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// endpointState is the state that a table keeps of one endpoint.
type endpointState struct {
	Endpoint
	hash            uint32
	inFlight        int       // requests of this router in flight
	listed          bool      // on the list, or missing from it within the grace time after an outage
	missingSince    time.Time // when it was first missing from the list; zero if the newest list has it
	coldUntil       time.Time
	coldStarts      slidingWindow // requests sent while cold
	stated          statedLoad
	lastStated      StatedLoad // in an answer to this router
	lastStatedAt    time.Time
	work            workTime
	learned         learnedSpeed
	limit           *statedLimit // nil if it stated none
	leaving         bool         // it said so in an answer since its start
	turnedAwayUntil time.Time    // until then it wants no requests of this router
	health          health
}

// Table holds the state from which endpoints are selected.
type Table struct {
	home         model.DataCentre
	endpoints    map[model.EndpointID]*endpointState
	byHash       map[uint32]*endpointState
	usableCache  map[model.Pool]poolEndpoints // results of inPool; cleared when the list changes
	pools        map[model.Pool]catalog.Pool
	evacuated    map[model.DataCentre]bool
	held         map[model.Pool]model.Version // versions that get no requests while the pool has another
	splits       map[model.Pool]Split         // shares of versions that are rolled out
	peers        map[string]*peer
	peerSums     map[uint32]int           // requests in flight of the peers by endpoint hash
	selfID       uint64                   // hash of the name of this router
	announced    map[string]uint64        // routers with a recent announcement in the store, and the hashes of their names
	returns      map[model.Pool]time.Time // when the last caller returns that was refused because of limits
	holders      holderTable
	notices      *rate.Limiter             // of work times; nil before the first
	times        map[model.Pool]*poolTimes // what answers told of the speed of the pools
	price        locality.Price            // of requests to other data centres
	spills       map[model.Pool]*locality.Pool
	listReceived bool      // set by the first list, whose endpoints are cold only if the list says so
	storeDown    bool      // the instance list could not be read since the last one
	graceUntil   time.Time // endpoints that are missing from the list are kept until then
}

// New returns a table for the router self in data centre home.
func New(self model.InstanceID, home model.DataCentre) *Table {
	return &Table{
		selfID: routerID(string(self)), home: home, endpoints: map[model.EndpointID]*endpointState{}, byHash: map[uint32]*endpointState{}, usableCache: map[model.Pool]poolEndpoints{},
		pools: map[model.Pool]catalog.Pool{}, evacuated: map[model.DataCentre]bool{},
		peers: map[string]*peer{}, peerSums: map[uint32]int{}, returns: map[model.Pool]time.Time{}, holders: newHolderTable(), times: map[model.Pool]*poolTimes{}, spills: map[model.Pool]*locality.Pool{},
	}
}

// SetPools sets the pools of the catalogue in force.
func (t *Table) SetPools(pools map[model.Pool]catalog.Pool) { t.pools = pools }

// SetEvacuated sets the data centres that operators took out of service.
func (t *Table) SetEvacuated(out map[model.DataCentre]bool) { t.evacuated = maps.Clone(out) }

// SetHeldVersions sets for each pool the version that gets no requests while the pool
// has endpoints of another version.
func (t *Table) SetHeldVersions(held map[model.Pool]model.Version) {
	t.held = maps.Clone(held)
	clear(t.usableCache)
}

// outageGrace is how long endpoints that are missing from the list after a store outage are
// kept. The platform promises to list them again within about two seconds of its end.
const outageGrace = 2 * time.Second

// RecordStoreOutage records that the instance list cannot be read. The records of endpoints may
// expire meanwhile, so those that are missing from the next list are kept for outageGrace.
func (t *Table) RecordStoreOutage() { t.storeDown = true }

// RecordStoreRead records that the instance list has been read. SetEndpoints calls it; it must
// also be called if the list has not changed.
func (t *Table) RecordStoreRead(now time.Time) {
	if t.storeDown {
		t.storeDown, t.graceUntil = false, now.Add(outageGrace)
	}
}

// Changes lists the endpoints whose state a new list changed.
type Changes struct {
	Added, Removed []model.EndpointID
	Leaving        []model.EndpointID // still listed, but draining from now on
}

// SetEndpoints replaces the instance list. An endpoint that is no longer listed
// gets no new requests, except during outageGrace after a store outage.
func (t *Table) SetEndpoints(now time.Time, list []Endpoint) Changes {
	var c Changes
	t.RecordStoreRead(now)
	clear(t.usableCache)
	seen := make(map[model.EndpointID]bool, len(list))
	for _, e := range list {
		seen[e.ID] = true
		s := t.endpoints[e.ID]
		switch {
		case s == nil:
			s = &endpointState{hash: EndpointHash(e.ID)}
			t.endpoints[e.ID], t.byHash[s.hash] = s, s
			c.Added = append(c.Added, e.ID)
			if t.listReceived {
				s.coldUntil = now.Add(t.pools[e.Pool].ColdTime)
			}
		case e.Started != s.Started && s.Started != 0 && e.Started != 0:
			t.holders.removeEndpoint(s.hash) // the restarted process has an empty cache
			s.stated, s.limit, s.leaving, s.turnedAwayUntil = statedLoad{}, nil, false, time.Time{}
			s.lastStated, s.lastStatedAt = StatedLoad{}, time.Time{}
			s.work, s.learned = workTime{}, learnedSpeed{}
			s.coldUntil = now.Add(t.pools[e.Pool].ColdTime)
		}
		if !s.listed {
			s.listed = true
			if t.listReceived && !s.missingSince.IsZero() {
				c.Added = append(c.Added, e.ID)
			}
		}
		if e.Draining && !s.Draining {
			c.Leaving = append(c.Leaving, e.ID)
		}
		s.missingSince = time.Time{}
		s.Endpoint = e
		if e.ColdLeft > 0 {
			s.coldUntil = maxTime(s.coldUntil, now.Add(e.ColdLeft))
		}
	}
	t.listReceived = true
	for id, s := range t.endpoints {
		if !seen[id] && s.missingSince.IsZero() {
			s.missingSince = now
		}
	}
	c.Removed = t.ExpireMissing(now)
	return c
}

// ExpireMissing stops new requests to the endpoints that are missing from the list
// and returns them. After a store outage it does so only once graceUntil has passed, or
// once they have been missing for outageGrace, except for draining endpoints. It deletes the state of those that have been
// missing for longer than retentionTime and have no requests in flight.
// SetEndpoints calls it; it must also be called when the list has not changed, since
// the grace time may have passed.
func (t *Table) ExpireMissing(now time.Time) (removed []model.EndpointID) {
	for id, s := range t.endpoints {
		if s.missingSince.IsZero() {
			continue
		}
		if s.listed && (s.Draining || !t.storeDown && !now.Before(t.graceUntil) || now.Sub(s.missingSince) >= outageGrace) {
			s.listed = false
			clear(t.usableCache)
			removed = append(removed, id)
		}
		if !s.listed && s.inFlight == 0 && now.Sub(s.missingSince) > retentionTime {
			t.removeEndpoint(s)
		}
	}
	return removed
}

// NextExpiry returns when ExpireMissing must be called next to stop new requests in time to
// endpoints that are missing from the list, or the zero time.
func (t *Table) NextExpiry() (next time.Time) {
	for _, s := range t.endpoints {
		if !s.listed || s.missingSince.IsZero() {
			continue
		}
		at := s.missingSince.Add(outageGrace)
		if !t.storeDown && t.graceUntil.Before(at) {
			at = t.graceUntil
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// retentionTime is how long the state of a removed endpoint or a silent peer is
// kept, so that one that flaps does not lose it.
const retentionTime = 30 * time.Second

func (t *Table) removeEndpoint(s *endpointState) {
	delete(t.endpoints, s.ID)
	if t.byHash[s.hash] == s {
		delete(t.byHash, s.hash)
	}
	t.holders.removeEndpoint(s.hash)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Lookup returns the endpoint with the given id.
func (t *Table) Lookup(id model.EndpointID) (Endpoint, bool) {
	if s := t.endpoints[id]; s != nil {
		return s.Endpoint, true
	}
	return Endpoint{}, false
}

// HasRestarted reports whether the process of an endpoint that was started at a time, Unix
// ms, has ended since, by the instance list. One that left it as draining has not crashed.
func (t *Table) HasRestarted(id model.EndpointID, started int64) bool {
	s := t.endpoints[id]
	if s == nil || s.Draining || s.leaving {
		return false
	}
	return !s.listed || started != 0 && s.Started != 0 && s.Started != started
}

// Loads returns the requests of this router in flight by endpoint hash, for its
// load reports to the peers.
func (t *Table) Loads() map[uint32]int {
	out := map[uint32]int{}
	for _, s := range t.endpoints {
		if s.inFlight > 0 {
			out[s.hash] = s.inFlight
		}
	}
	return out
}

// poolEndpoints are the endpoints of a pool that are listed and do not leave, in the order
// of their hashes.
type poolEndpoints struct {
	usable []*endpointState
	held   []*endpointState // of the held version, so they get no new requests
}

// usable returns the endpoints of a pool that may get requests. Callers must not modify
// the slice.
func (t *Table) usable(pool model.Pool) []*endpointState { return t.inPool(pool).usable }

// inPool returns the endpoints of a pool. Callers must not modify the slices.
func (t *Table) inPool(pool model.Pool) poolEndpoints {
	if out, ok := t.usableCache[pool]; ok {
		return out
	}
	var out poolEndpoints
	for _, s := range t.endpoints {
		switch {
		case s.Pool != pool || !s.listed || s.Draining || s.leaving:
		case t.held[pool] != "" && s.Version == t.held[pool]:
			out.held = append(out.held, s)
		default:
			out.usable = append(out.usable, s)
		}
	}
	if len(out.usable) == 0 { // no other version is left
		out.usable, out.held = out.held, nil
	}
	slices.SortFunc(out.usable, func(a, b *endpointState) int { return cmp.Compare(a.hash, b.hash) })
	t.usableCache[pool] = out
	return out
}
