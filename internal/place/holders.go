package place

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxParts bounds the prompt parts that an entry remembers. At the target size
// an entry sees 19 requests a second, so this covers a quarter of an hour.
const maxParts = 16384

// maxHolders bounds the endpoints that are remembered for one part.
const maxHolders = 8

// holderTable remembers which endpoints read which prompt parts.
type holderTable struct {
	parts map[uint64]*part
}

type part struct {
	endpoints []uint32    // the first one first
	since     []time.Time // when each was first known to hold the part
	used      time.Time
}

func newHolderTable() holderTable { return holderTable{parts: map[uint64]*part{}} }

// add notes that endpoint holds the part and reports whether that is new.
func (h *holderTable) add(now time.Time, id uint64, endpoint uint32) bool {
	p := h.parts[id]
	if p == nil {
		if len(h.parts) >= maxParts {
			h.evict()
		}
		p = &part{}
		h.parts[id] = p
	}
	p.used = now
	if slices.Contains(p.endpoints, endpoint) {
		return false
	}
	if len(p.endpoints) == maxHolders {
		p.endpoints, p.since = slices.Delete(p.endpoints, 0, 1), slices.Delete(p.since, 0, 1)
	}
	p.endpoints, p.since = append(p.endpoints, endpoint), append(p.since, now)
	return true
}

func (h *holderTable) of(id uint64) []uint32 {
	if p := h.parts[id]; p != nil {
		return p.endpoints
	}
	return nil
}

// age returns how long endpoint is known to hold the part.
func (h *holderTable) age(now time.Time, id uint64, endpoint uint32) time.Duration {
	p := h.parts[id]
	if p == nil {
		return 0
	}
	if i := slices.Index(p.endpoints, endpoint); i >= 0 {
		return now.Sub(p.since[i])
	}
	return 0
}

// remove notes that endpoint does not hold the part after all.
func (h *holderTable) remove(id uint64, endpoint uint32) {
	p := h.parts[id]
	if p == nil {
		return
	}
	if i := slices.Index(p.endpoints, endpoint); i >= 0 {
		p.endpoints, p.since = slices.Delete(p.endpoints, i, i+1), slices.Delete(p.since, i, i+1)
	}
}

// forget drops an endpoint that holds nothing any more.
func (h *holderTable) forget(endpoint uint32) {
	for id := range h.parts {
		h.remove(id, endpoint)
	}
}

// evict drops the eighth that was used longest ago, so that the table is not
// sorted for each new part.
func (h *holderTable) evict() {
	for _, id := range h.byUse()[:maxParts/8] {
		delete(h.parts, id)
	}
}

func (h *holderTable) byUse() []uint64 {
	return slices.SortedFunc(maps.Keys(h.parts), func(a, b uint64) int {
		return cmp.Or(h.parts[a].used.Compare(h.parts[b].used), cmp.Compare(a, b))
	})
}

func (h *holderTable) list(limit int) []PartHolder {
	var out []PartHolder
	for _, id := range slices.Backward(h.byUse()) {
		for _, e := range h.parts[id].endpoints {
			if len(out) == limit {
				return out
			}
			out = append(out, PartHolder{Part: id, Endpoint: e})
		}
	}
	return out
}
