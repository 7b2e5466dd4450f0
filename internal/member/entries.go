package member

import (
	"slices"

	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
)

// Peers is an immutable view of the processes of one region that take part in the
// control exchange.
type Peers struct {
	Entries   []model.InstanceID                // usable entries, sorted
	Sides     map[model.Pool][]model.InstanceID // sides by pool, including leaving ones, sorted
	addresses map[model.InstanceID]string
}

// EndpointCount returns the number of endpoints of a pool.
func (p *Peers) EndpointCount(pool model.Pool) int { return len(p.Sides[pool]) }

// PoolPeers returns the peers of one side of a pool: the entries and the other
// sides of the pool, which may send or run a request of the pool.
func (p *Peers) PoolPeers(pool model.Pool, side model.InstanceID) []model.InstanceID {
	return slices.DeleteFunc(slices.Concat(p.Entries, p.Sides[pool]), func(id model.InstanceID) bool { return id == side })
}

// Address returns the control address of a process, or "" if it is unknown.
func (p *Peers) Address(id model.InstanceID) string { return p.addresses[id] }

// Addresses returns the known control addresses of processes, in order.
func (p *Peers) Addresses(ids []model.InstanceID) []string {
	var out []string
	for _, id := range ids {
		if a := p.addresses[id]; a != "" {
			out = append(out, a)
		}
	}
	return out
}

// Hop is a next hop of a notice with control addresses.
type Hop struct {
	To       string
	Children []string // receive the notice from the sender if To does not answer
}

// Hops returns hops with control addresses in place of ids.
func (p *Peers) Hops(hops []summary.Hop) []Hop {
	var out []Hop
	for _, h := range hops {
		out = append(out, Hop{p.addresses[h.To], p.Addresses(h.Children)})
	}
	return out
}

// PeersOf returns the peers in the data centres for which inRegion is true.
func (t *Table) PeersOf(inRegion func(model.DataCentre) bool) *Peers {
	p := &Peers{Sides: map[model.Pool][]model.InstanceID{}, addresses: map[model.InstanceID]string{}}
	for id, e := range t.items {
		switch {
		case !inRegion(e.DataCentre) || e.Status == instances.Gone:
		case e.Role == instances.RoleEndpoint:
			p.Sides[e.Pool] = append(p.Sides[e.Pool], id)
			p.addresses[id] = e.Control
		case e.Usable() && e.Control != "":
			p.Entries = append(p.Entries, id)
			p.addresses[id] = e.Control
		}
	}
	slices.Sort(p.Entries)
	for _, list := range p.Sides {
		slices.Sort(list)
	}
	return p
}
