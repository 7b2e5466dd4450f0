// Package overlay decides to which peers a router sends its datagrams. A message for
// all routers goes to each peer in the sender's data centre and to one peer in each
// other data centre, its relay, which forwards it to the peers in its own. So each
// message crosses each pair of data centres once, however many routers there are.
package overlay

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// liveTime is how long after its last message a peer is preferred as relay. A peer
// without requests sends several messages in that time.
const liveTime = 5 * time.Second

// maxPeers bounds the set, since any host can send a datagram with any address in it.
// It is far above the 370 routers of the target size.
const maxPeers = 2048

// Peers is the set of the other routers. Its methods must be called by one goroutine
// at a time.
type Peers struct {
	self  netip.AddrPort
	home  model.DataCentre
	peers map[netip.AddrPort]peer
}

type peer struct {
	dataCentre model.DataCentre
	known      time.Time // last message or announcement
	heard      time.Time // last message; zero if there was none
}

// New returns an empty set for the router at address self in data centre home.
func New(self netip.AddrPort, home model.DataCentre) *Peers {
	return &Peers{self: self, home: home, peers: map[netip.AddrPort]peer{}}
}

// Announced adds a router that is announced in the store, or renews it.
func (p *Peers) Announced(now time.Time, a netip.AddrPort, dc model.DataCentre) {
	if p.accepts(a) {
		p.peers[a] = peer{dataCentre: dc, known: now, heard: p.peers[a].heard}
	}
}

// Heard adds a router from which a message came, or renews it.
func (p *Peers) Heard(now time.Time, a netip.AddrPort, dc model.DataCentre) {
	if p.accepts(a) {
		p.peers[a] = peer{dataCentre: dc, known: now, heard: now}
	}
}

// accepts reports whether the router at a is or may become a peer.
func (p *Peers) accepts(a netip.AddrPort) bool {
	if _, known := p.peers[a]; known {
		return true
	}
	return a != p.self && a.IsValid() && len(p.peers) < maxPeers
}

// Left removes a router that sent a notice of its shutdown, so that it is not chosen
// as a relay.
func (p *Peers) Left(a netip.AddrPort) { delete(p.peers, a) }

// Expire removes the peers without a message or an announcement within ttl.
func (p *Peers) Expire(now time.Time, ttl time.Duration) {
	for a, e := range p.peers {
		if now.Sub(e.known) > ttl {
			delete(p.peers, a)
		}
	}
}

// Len returns the number of peers.
func (p *Peers) Len() int { return len(p.peers) }

// Local returns the peers in the home data centre except one, to which a relay
// forwards the message of that one.
func (p *Peers) Local(except netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	for a, e := range p.peers {
		if e.dataCentre == p.home && a != except {
			out = append(out, a)
		}
	}
	return out
}

// Relays returns a relay in each data centre but the home data centre, selected with
// pick, which returns a random number in [0, n). It prefers peers that were heard
// within liveTime: a message to a relay that has failed is lost for its data centre.
func (p *Peers) Relays(now time.Time, pick func(n int) int) []netip.AddrPort {
	byDataCentre := map[model.DataCentre][]netip.AddrPort{}
	for a, e := range p.peers {
		if e.dataCentre != p.home {
			byDataCentre[e.dataCentre] = append(byDataCentre[e.dataCentre], a)
		}
	}
	var out []netip.AddrPort
	for _, list := range byDataCentre {
		out = append(out, p.choose(now, list, 1, pick)...)
	}
	return out
}

// Sources returns up to n peers that a starting router asks for the state of the
// fleet, selected with pick, those in the home data centre first.
func (p *Peers) Sources(now time.Time, n int, pick func(n int) int) []netip.AddrPort {
	var local, remote []netip.AddrPort
	for a, e := range p.peers {
		if e.dataCentre == p.home {
			local = append(local, a)
		} else {
			remote = append(remote, a)
		}
	}
	out := p.choose(now, local, n, pick)
	return append(out, p.choose(now, remote, n-len(out), pick)...)
}

// choose returns up to n random peers of the list, those heard within liveTime
// first.
func (p *Peers) choose(now time.Time, list []netip.AddrPort, n int, pick func(n int) int) []netip.AddrPort {
	slices.SortFunc(list, netip.AddrPort.Compare) // so that the choice depends on pick alone
	for i := range list {
		j := i + pick(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	isLive := func(a netip.AddrPort) int {
		if at := p.peers[a].heard; !at.IsZero() && now.Sub(at) <= liveTime {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b netip.AddrPort) int { return cmp.Compare(isLive(a), isLive(b)) })
	return list[:max(0, min(n, len(list)))]
}
