package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/catalog"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Endpoint is one endpoint as the instance list describes it.
type Endpoint struct {
	ID         model.EndpointID
	Pool       model.Pool
	Address    string // ip:port
	DataCentre model.DataCentre
	Region     model.Region
	Version    model.Version
	Draining   bool
	ColdLeft   time.Duration // how much longer it stays cold
	Started    int64         // start of its process, Unix ms; 0 if unknown
}

// EndpointHash is the short form of an endpoint id that entries tell each other.
func EndpointHash(id model.EndpointID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// spot is what the table knows about one endpoint.
type spot struct {
	Endpoint
	hash      uint32
	own       int // requests of this entry in flight
	listed    bool
	missing   time.Time // when it was first missing from the list; zero if the last one had it
	coldUntil time.Time
	starts    window // sends while cold
	health    health
}

// Table is the state behind placement.
type Table struct {
	home       model.DataCentre
	spots      map[model.EndpointID]*spot
	byHash     map[uint32]*spot
	inUse      map[model.Pool][]*spot // what usable returned since the last change
	pools      map[model.Pool]catalog.Pool
	evacuated  map[model.DataCentre]bool
	peers      map[string]*peer
	peerSums   map[uint32]int    // requests in flight of the peers by endpoint hash
	self       uint64            // hash of the own name
	announced  map[string]uint64 // entries that announced themselves lately, with the hashes of their names
	holders    holderTable
	firstList  bool      // the first list of this process has arrived
	tolerateTo time.Time // until then, endpoints that are missing from the list are kept
}

// New returns a table of the entry self in data centre home.
func New(self model.InstanceID, home model.DataCentre) *Table {
	return &Table{
		self: entryID(string(self)), home: home, spots: map[model.EndpointID]*spot{}, byHash: map[uint32]*spot{}, inUse: map[model.Pool][]*spot{},
		pools: map[model.Pool]catalog.Pool{}, evacuated: map[model.DataCentre]bool{},
		peers: map[string]*peer{}, peerSums: map[uint32]int{}, holders: newHolderTable(),
	}
}

// SetPools takes the pools of the catalogue in force.
func (t *Table) SetPools(pools map[model.Pool]catalog.Pool) { t.pools = pools }

// SetEvacuated takes the data centres that operators took out of service.
func (t *Table) SetEvacuated(out map[model.DataCentre]bool) { t.evacuated = maps.Clone(out) }

// returnTime is how long endpoints that are missing from the list after an
// outage of the store may still come back; the platform promises about two
// seconds.
const returnTime = 2500 * time.Millisecond

// RecordStoreOutage notes that the instance list could not be read at now. Entries that
// lapse during an outage are kept for a while after it.
func (t *Table) RecordStoreOutage(now time.Time) { t.tolerateTo = now.Add(returnTime) }

// Changes are the endpoints that a list changed.
type Changes struct {
	Added, Removed []model.EndpointID
	Leaving        []model.EndpointID // listed, and take no new work from now on
}

// SetEndpoints takes the whole instance list. An endpoint that is no longer
// listed gets no new work, except for a while after an outage.
func (t *Table) SetEndpoints(now time.Time, list []Endpoint) Changes {
	var c Changes
	clear(t.inUse)
	seen := make(map[model.EndpointID]bool, len(list))
	for _, e := range list {
		seen[e.ID] = true
		s := t.spots[e.ID]
		switch {
		case s == nil:
			s = &spot{hash: EndpointHash(e.ID)}
			t.spots[e.ID], t.byHash[s.hash] = s, s
			c.Added = append(c.Added, e.ID)
			if t.firstList {
				s.coldUntil = now.Add(t.pools[e.Pool].ColdTime)
			}
		case e.Started != s.Started && s.Started != 0 && e.Started != 0:
			t.holders.forget(s.hash) // a new process holds nothing of before
			s.coldUntil = now.Add(t.pools[e.Pool].ColdTime)
		}
		if !s.listed {
			s.listed = true
			if t.firstList && !s.missing.IsZero() {
				c.Added = append(c.Added, e.ID)
			}
		}
		if e.Draining && !s.Draining {
			c.Leaving = append(c.Leaving, e.ID)
		}
		s.missing = time.Time{}
		s.Endpoint = e
		if e.ColdLeft > 0 {
			s.coldUntil = later(s.coldUntil, now.Add(e.ColdLeft))
		}
	}
	t.firstList = true
	for id, s := range t.spots {
		if !seen[id] && s.missing.IsZero() {
			s.missing = now
		}
	}
	c.Removed = t.ExpireMissing(now)
	return c
}

// ExpireMissing notes that the instance list is as it was. It returns the endpoints
// that are given up only now, since they were missing after an outage.
func (t *Table) ExpireMissing(now time.Time) (went []model.EndpointID) {
	for id, s := range t.spots {
		if s.missing.IsZero() {
			continue
		}
		if s.listed && (s.Draining || !now.Before(t.tolerateTo)) {
			s.listed = false
			clear(t.inUse)
			went = append(went, id)
		}
		if !s.listed && s.own == 0 && now.Sub(s.missing) > forgetTime {
			t.drop(s)
		}
	}
	return went
}

// forgetTime is how long a lost endpoint is remembered, so that an entry that
// flaps keeps what is known about it.
const forgetTime = 30 * time.Second

func (t *Table) drop(s *spot) {
	delete(t.spots, s.ID)
	if t.byHash[s.hash] == s {
		delete(t.byHash, s.hash)
	}
	t.holders.forget(s.hash)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Lookup returns the endpoint with the given id.
func (t *Table) Lookup(id model.EndpointID) (Endpoint, bool) {
	if s := t.spots[id]; s != nil {
		return s.Endpoint, true
	}
	return Endpoint{}, false
}

// Loads returns the requests of this entry in flight by endpoint hash, for the
// other entries.
func (t *Table) Loads() map[uint32]int {
	out := map[uint32]int{}
	for _, s := range t.spots {
		if s.own > 0 {
			out[s.hash] = s.own
		}
	}
	return out
}

// usable returns the spots of a pool that are listed and not leaving, in a fixed
// order. Callers do not change it.
func (t *Table) usable(pool model.Pool) []*spot {
	if out, ok := t.inUse[pool]; ok {
		return out
	}
	var out []*spot
	for _, s := range t.spots {
		if s.Pool == pool && s.listed && !s.Draining {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *spot) int { return cmp.Compare(a.hash, b.hash) })
	t.inUse[pool] = out
	return out
}
