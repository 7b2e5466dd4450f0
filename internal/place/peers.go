package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// tellInterval is how often entries tell each other their counts at the least
	// distance, and tellPerPeer what each further entry adds to that, which keeps
	// the bytes that an entry sends from growing with their number.
	tellInterval = 150 * time.Millisecond
	tellPerPeer  = 12 * time.Millisecond
	// toldMissing is how many messages in a row may be lost before the counts of
	// an entry no longer hold, and minLifetime the least time for that.
	toldMissing = 4
	minLifetime = 1500 * time.Millisecond
)

// LoadReportInterval returns how often an entry tells peers others its counts.
func LoadReportInterval(peers int) time.Duration {
	return max(tellInterval, time.Duration(peers)*tellPerPeer)
}

// peerLifetime returns how long the counts of an entry hold that is no longer
// heard.
func (t *Table) peerLifetime() time.Duration {
	return max(minLifetime, toldMissing*LoadReportInterval(len(t.peers)))
}

// peer is what another entry said last.
type peer struct {
	id    uint64 // hash of its name
	heard time.Time
	loads map[uint32]int // counted in peerSums; nil once that is over
}

// UpdatePeerLoads takes the requests in flight of another entry, which replace what
// it said before; nil loads say nothing of them. It reports whether the entry is
// new.
func (t *Table) UpdatePeerLoads(now time.Time, name string, loads map[uint32]int) bool {
	p := t.peers[name]
	fresh := p == nil || now.Sub(p.heard) > t.peerLifetime()
	if p == nil {
		p = &peer{id: entryID(name)}
		t.peers[name] = p
	}
	p.heard = now
	if loads != nil {
		t.discount(p)
		p.loads = loads
		for h, n := range loads {
			t.peerSums[h] += n
		}
	}
	return fresh
}

// discount takes what an entry said out of the sums.
func (t *Table) discount(p *peer) {
	for h, n := range p.loads {
		if t.peerSums[h] -= n; t.peerSums[h] <= 0 {
			delete(t.peerSums, h)
		}
	}
	p.loads = nil
}

// expirePeers takes out what entries said that are no longer heard.
func (t *Table) expirePeers(now time.Time) {
	lifetime := t.peerLifetime()
	for name, p := range t.peers {
		silent := now.Sub(p.heard)
		if silent > lifetime {
			t.discount(p)
		}
		if silent > forgetTime {
			delete(t.peers, name)
		}
	}
}

// DropPeer forgets an entry that said that it stops.
func (t *Table) DropPeer(name string) {
	if p := t.peers[name]; p != nil {
		t.discount(p)
		delete(t.peers, name)
	}
}

// SetAnnounced takes the entries that announced themselves lately, this one
// included.
func (t *Table) SetAnnounced(entries []model.InstanceID) {
	t.announced = make(map[string]uint64, len(entries))
	for _, e := range entries {
		t.announced[string(e)] = entryID(string(e))
	}
}

func entryID(name string) uint64 { return xxhash.Sum64String(name) }

// Entries returns the number of entries that announced themselves or were heard
// within forgetTime, this one included. Shares of limits that also bind entries
// which cannot hear each other follow it.
func (t *Table) Entries(now time.Time) int {
	t.expirePeers(now)
	return max(len(t.announced), 1+len(t.peers))
}

// load returns the requests in flight at s over all entries that are heard.
func (t *Table) load(s *spot) float64 { return float64(s.own + t.peerSums[s.hash]) }

// AddHolder takes from another entry that an endpoint holds a prompt part.
func (t *Table) AddHolder(now time.Time, part uint64, endpoint uint32) {
	t.holders.add(now, part, endpoint)
}

// LivePeers returns the names of the other entries that are heard.
func (t *Table) LivePeers(now time.Time) []model.InstanceID {
	var out []model.InstanceID
	for name, p := range t.peers {
		if now.Sub(p.heard) <= t.peerLifetime() {
			out = append(out, model.InstanceID(name))
		}
	}
	return out
}

// Engines returns the listed engines. Those that leave still hand over their
// caches.
func (t *Table) Engines() []Endpoint {
	var out []Endpoint
	for _, s := range t.spots {
		if s.listed && t.pools[s.Pool].Engine {
			out = append(out, s.Endpoint)
		}
	}
	return out
}

// PartHolder is one prompt part and an endpoint that holds it.
type PartHolder struct {
	Part     uint64
	Endpoint uint32
}

// Holders returns the known holders, the latest used first, up to limit.
func (t *Table) Holders(limit int) []PartHolder { return t.holders.list(limit) }
