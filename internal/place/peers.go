package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// minReportInterval is the shortest interval between two load reports of a
	// router. In larger fleets the interval is reportIntervalPerPeer times the number
	// of peers, so that the bytes that a router sends do not grow with that number.
	minReportInterval     = 150 * time.Millisecond
	reportIntervalPerPeer = 12 * time.Millisecond
	// maxMissedReports is the number of consecutive load reports that may be lost
	// before the counts of a peer expire. They are valid for at least
	// minPeerLifetime.
	maxMissedReports = 4
	minPeerLifetime  = 1500 * time.Millisecond
)

// LoadReportInterval returns the interval between the load reports of a router
// with the given number of peers.
func LoadReportInterval(peers int) time.Duration {
	return max(minReportInterval, time.Duration(peers)*reportIntervalPerPeer)
}

// peerLifetime returns how long the counts of a peer are valid after its last
// message.
func (t *Table) peerLifetime() time.Duration {
	return max(minPeerLifetime, maxMissedReports*LoadReportInterval(len(t.peers)))
}

// peer is the state of another router as of its last message.
type peer struct {
	id         uint64 // hash of its name
	lastSeen   time.Time
	dataCentre model.DataCentre // empty if unknown
	loads      map[uint32]int   // included in peerSums; nil once expired
}

// SetPeerDataCentre sets the data centre of a peer, whose requests then count as those of
// the callers of that data centre.
func (t *Table) SetPeerDataCentre(name string, dc model.DataCentre) {
	if p := t.peers[name]; p != nil {
		p.dataCentre = dc
	}
}

// UpdatePeerLoads applies a message of the named peer. loads are its requests in
// flight by endpoint hash and replace those of its last report; nil keeps those.
// UpdatePeerLoads reports whether the peer was unknown or no longer live.
func (t *Table) UpdatePeerLoads(now time.Time, name string, loads map[uint32]int) bool {
	p := t.peers[name]
	isNew := p == nil || now.Sub(p.lastSeen) > t.peerLifetime()
	if p == nil {
		p = &peer{id: routerID(name)}
		t.peers[name] = p
	}
	p.lastSeen = now
	if loads != nil {
		t.subtractLoads(p)
		p.loads = loads
		for h, n := range loads {
			t.peerSums[h] += n
		}
	}
	return isNew
}

// subtractLoads removes the counts of a peer from the sums.
func (t *Table) subtractLoads(p *peer) {
	for h, n := range p.loads {
		if t.peerSums[h] -= n; t.peerSums[h] <= 0 {
			delete(t.peerSums, h)
		}
	}
	p.loads = nil
}

// expirePeers removes the counts of peers that are no longer live, and after
// retentionTime the peers themselves.
func (t *Table) expirePeers(now time.Time) {
	lifetime := t.peerLifetime()
	for name, p := range t.peers {
		age := now.Sub(p.lastSeen)
		if age > lifetime {
			t.subtractLoads(p)
		}
		if age > retentionTime {
			delete(t.peers, name)
		}
	}
}

// DropPeer removes a peer that sent a notice of its shutdown.
func (t *Table) DropPeer(name string) {
	if p := t.peers[name]; p != nil {
		t.subtractLoads(p)
		delete(t.peers, name)
	}
}

// SetAnnounced sets the routers with a recent announcement in the store,
// including this one.
func (t *Table) SetAnnounced(routers []model.InstanceID) {
	t.announced = make(map[string]uint64, len(routers))
	for _, r := range routers {
		t.announced[string(r)] = routerID(string(r))
	}
}

func routerID(name string) uint64 { return xxhash.Sum64String(name) }

// Routers returns the number of routers, including this one: the announced
// routers or the peers of the last retentionTime, whichever are more. A limit that
// must hold for all routers together, even if they receive nothing from each
// other, is divided by this number.
func (t *Table) Routers(now time.Time) int {
	t.expirePeers(now)
	return max(len(t.announced), 1+len(t.peers))
}

// Rank returns the position of this router, from 0, in the rendezvous order for a key.
func (t *Table) Rank(key uint32) int { return t.rank(key) }

// IsFirst reports whether this router is the first one in the rendezvous order for a key.
func (t *Table) IsFirst(key uint32) bool { return t.rank(key) == 0 }

// AddHolder records that an endpoint holds a prompt part, as reported by a peer.
func (t *Table) AddHolder(now time.Time, part uint64, endpoint uint32) {
	t.holders.add(now, part, endpoint)
}

// LivePeers returns the names of the live peers.
func (t *Table) LivePeers(now time.Time) []model.InstanceID {
	var out []model.InstanceID
	for name, p := range t.peers {
		if now.Sub(p.lastSeen) <= t.peerLifetime() {
			out = append(out, model.InstanceID(name))
		}
	}
	return out
}

// Engines returns the listed engines, including draining ones, since their caches
// can still be transferred.
func (t *Table) Engines() []Endpoint {
	var out []Endpoint
	for _, s := range t.endpoints {
		if s.listed && t.pools[s.Pool].Engine {
			out = append(out, s.Endpoint)
		}
	}
	return out
}

// PartHolder is a prompt part and an endpoint that holds it.
type PartHolder struct {
	Part     uint64
	Endpoint uint32
}

// Holders returns up to limit known holders, the most recently used parts first.
func (t *Table) Holders(limit int) []PartHolder { return t.holders.list(limit) }
