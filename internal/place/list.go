package place

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// List is one version of the instance list. It is immutable.
type List struct {
	// Hash changes with the contents of the list. The remaining cold time of an
	// endpoint counts only as zero or not, so that the passing of time alone does
	// not change the hash.
	Hash      uint64
	Endpoints []Endpoint // sorted by id
}

// Delta is the difference between two versions of the list. Routers send it each
// other with gob, so the names of its fields and of those of Endpoint are part of
// the protocol.
type Delta struct {
	Changed []Endpoint         // added or modified
	Gone    []model.EndpointID // removed
}

// Empty reports whether the delta changes nothing.
func (d Delta) Empty() bool { return len(d.Changed) == 0 && len(d.Gone) == 0 }

// NewList returns the list of the given endpoints. If several have the same id,
// the last one is used.
func NewList(endpoints []Endpoint) List { return List{}.Apply(Delta{Changed: endpoints}) }

// Apply returns the list that results from applying d to l.
func (l List) Apply(d Delta) List {
	changed := make(map[model.EndpointID]Endpoint, len(d.Changed))
	for _, e := range d.Changed {
		changed[e.ID] = e
	}
	gone := make(map[model.EndpointID]bool, len(d.Gone))
	for _, id := range d.Gone {
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
	slices.SortFunc(out.Endpoints, compareID)
	for _, e := range out.Endpoints {
		out.Hash += e.hash()
	}
	return out
}

// Diff returns the delta from l to next.
func (l List) Diff(next List) Delta {
	var d Delta
	old := l.Endpoints
	for _, e := range next.Endpoints {
		for len(old) > 0 && old[0].ID < e.ID {
			d.Gone, old = append(d.Gone, old[0].ID), old[1:]
		}
		if len(old) > 0 && old[0].ID == e.ID {
			if old[0].hash() != e.hash() {
				d.Changed = append(d.Changed, e)
			}
			old = old[1:]
			continue
		}
		d.Changed = append(d.Changed, e)
	}
	for _, e := range old {
		d.Gone = append(d.Gone, e.ID)
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

func compareID(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) }

// hash returns a hash of all fields that affect routing and may change while the process
// of the endpoint runs. The region is left out because the data centre determines it, the
// slots because they change only with the process.
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

// maxHistory is the number of list changes that a router keeps for its peers.
// Those that read the list from it poll four times a second and are one or two
// changes behind.
const maxHistory = 8

// History holds the last changes of the list. It is immutable.
type History []change

type change struct {
	from  uint64 // hash of the list before the change
	delta Delta
}

// Add returns the history extended by the change between two versions.
func (h History) Add(from, to List) History {
	out := append(slices.Clone(h), change{from.Hash, from.Diff(to)})
	return out[max(0, len(out)-maxHistory):]
}

// Since returns the delta from the version with the given hash to the newest
// one. It returns false if the history does not reach back to that version.
func (h History) Since(hash uint64) (Delta, bool) {
	start := -1
	for i, c := range h {
		if c.from == hash {
			start = i // the last match, since the list may have returned to an earlier version
		}
	}
	if start < 0 {
		return Delta{}, false
	}
	changed, gone := map[model.EndpointID]Endpoint{}, map[model.EndpointID]bool{}
	for _, c := range h[start:] {
		for _, e := range c.delta.Changed {
			changed[e.ID] = e
			delete(gone, e.ID)
		}
		for _, id := range c.delta.Gone {
			gone[id] = true
			delete(changed, id)
		}
	}
	var out Delta
	for _, e := range changed {
		out.Changed = append(out.Changed, e)
	}
	for id := range gone {
		out.Gone = append(out.Gone, id)
	}
	slices.SortFunc(out.Changed, compareID)
	slices.Sort(out.Gone)
	return out, true
}
