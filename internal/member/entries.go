package member

import (
	"cmp"
	"slices"

	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Peers is the immutable view of the processes of one region that take part in
// the control exchange.
type Peers struct {
	Entries   []model.InstanceID // usable entries, sorted
	Endpoints map[model.Pool]int // endpoints by pool, leaving ones included
	addresses map[model.InstanceID]string
}

// Address returns the control address of an entry, or "" if it is not known.
func (p *Peers) Address(id model.InstanceID) string { return p.addresses[id] }

// Addresses returns the control addresses of entries, in order.
func (p *Peers) Addresses(ids []model.InstanceID) []string {
	var out []string
	for _, id := range ids {
		if a := p.addresses[id]; a != "" {
			out = append(out, a)
		}
	}
	return out
}

// PeersOf returns the peers whose data centre is in the region according to
// inRegion.
func (t *Table) PeersOf(inRegion func(model.DataCentre) bool) *Peers {
	p := &Peers{Endpoints: map[model.Pool]int{}, addresses: map[model.InstanceID]string{}}
	for id, e := range t.items {
		switch {
		case !inRegion(e.DataCentre):
		case e.Role == instances.RoleEndpoint:
			p.Endpoints[e.Pool]++
		case e.Usable() && e.Control != "":
			p.Entries = append(p.Entries, id)
			p.addresses[id] = e.Control
		}
	}
	slices.SortFunc(p.Entries, func(a, b model.InstanceID) int { return cmp.Compare(a, b) })
	return p
}
