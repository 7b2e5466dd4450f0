package place

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// List is one version of the instance list. It is not changed once it is made.
type List struct {
	// Hash changes when the list does, but not as the time passes that an
	// endpoint stays cold.
	Hash      uint64
	Endpoints []Endpoint // in the order of their ids
}

// Delta leads from one version of the list to another.
type Delta struct {
	Changed []Endpoint // listed anew or with other contents
	Removed []model.EndpointID
}

// Empty reports whether the delta changes nothing.
func (d Delta) Empty() bool { return len(d.Changed) == 0 && len(d.Removed) == 0 }

// NewList returns the list of the given endpoints. Of several with one id the
// last one counts.
func NewList(endpoints []Endpoint) List { return List{}.Apply(Delta{Changed: endpoints}) }

// Apply returns the list after d.
func (l List) Apply(d Delta) List {
	changed := make(map[model.EndpointID]Endpoint, len(d.Changed))
	for _, e := range d.Changed {
		changed[e.ID] = e
	}
	gone := make(map[model.EndpointID]bool, len(d.Removed))
	for _, id := range d.Removed {
		gone[id] = true
	}
	out := List{Endpoints: make([]Endpoint, 0, len(l.Endpoints)+len(changed))}
	for _, e := range l.Endpoints {
		if _, ok := changed[e.ID]; !ok && !gone[e.ID] {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	for _, e := range changed {
		out.Endpoints = append(out.Endpoints, e)
	}
	slices.SortFunc(out.Endpoints, byID)
	for _, e := range out.Endpoints {
		out.Hash += e.hash()
	}
	return out
}

// Diff returns the delta from l to next.
func (l List) Diff(next List) Delta {
	var d Delta
	was := l.Endpoints
	for _, e := range next.Endpoints {
		for len(was) > 0 && was[0].ID < e.ID {
			d.Removed, was = append(d.Removed, was[0].ID), was[1:]
		}
		if len(was) > 0 && was[0].ID == e.ID {
			if was[0].hash() != e.hash() {
				d.Changed = append(d.Changed, e)
			}
			was = was[1:]
			continue
		}
		d.Changed = append(d.Changed, e)
	}
	for _, e := range was {
		d.Removed = append(d.Removed, e.ID)
	}
	return d
}

// PoolSizes returns the number of endpoints by pool.
func (l List) PoolSizes() map[model.Pool]int {
	out := map[model.Pool]int{}
	for _, e := range l.Endpoints {
		out[e.Pool]++
	}
	return out
}

func byID(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) }

// hash returns a hash of all fields that routers act upon. The region follows
// from the data centre.
func (e Endpoint) hash() uint64 {
	state := uint64(e.Started) << 2
	if e.Draining {
		state |= 1
	}
	if e.ColdLeft > 0 {
		state |= 2
	}
	text := strings.Join([]string{string(e.ID), string(e.Pool), e.Address, string(e.DataCentre), string(e.Version)}, "\x00")
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(text), state))
}

// trailLen is the number of changes that a router remembers for others. Those
// that ask it four times a second lack one or two.
const trailLen = 8

// History holds the last changes of the list. It is not changed once it is made.
type History []step

type step struct {
	from  uint64 // hash of the list before
	delta Delta
}

// Add returns the trail with the change from one version to the next.
func (t History) Add(from, to List) History {
	out := append(slices.Clone(t), step{from.Hash, from.Diff(to)})
	return out[max(0, len(out)-trailLen):]
}

// Since returns the delta from the version with the given hash to the newest
// one, and false if that version is not remembered.
func (t History) Since(hash uint64) (Delta, bool) {
	start := -1
	for i, s := range t {
		if s.from == hash {
			start = i // the list may have been the same before
		}
	}
	if start < 0 {
		return Delta{}, false
	}
	changed, gone := map[model.EndpointID]Endpoint{}, map[model.EndpointID]bool{}
	for _, s := range t[start:] {
		for _, e := range s.delta.Changed {
			changed[e.ID] = e
			delete(gone, e.ID)
		}
		for _, id := range s.delta.Removed {
			gone[id] = true
			delete(changed, id)
		}
	}
	var out Delta
	for _, e := range changed {
		out.Changed = append(out.Changed, e)
	}
	for id := range gone {
		out.Removed = append(out.Removed, id)
	}
	slices.SortFunc(out.Changed, byID)
	slices.Sort(out.Removed)
	return out, true
}
