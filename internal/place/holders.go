package place

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxParts bounds the prompt parts in the table of a router. At the target size a
// router receives 19 requests a second, so this covers about 15 minutes.
const maxParts = 16384

// maxHolders bounds the holders of one part; the oldest is removed first.
const maxHolders = 8

// holderTable maps prompt parts to the endpoints whose caches hold them.
type holderTable struct {
	parts map[uint64]*promptPart
}

type promptPart struct {
	endpoints []uint32    // hashes of the holders, oldest first
	addedAt   []time.Time // when each endpoint was added
	lastUsed  time.Time
}

func newHolderTable() holderTable { return holderTable{parts: map[uint64]*promptPart{}} }

// add records that endpoint holds the part and reports whether that is new.
func (h *holderTable) add(now time.Time, id uint64, endpoint uint32) bool {
	p := h.parts[id]
	if p == nil {
		if len(h.parts) >= maxParts {
			h.evict()
		}
		p = &promptPart{}
		h.parts[id] = p
	}
	p.lastUsed = now
	if slices.Contains(p.endpoints, endpoint) {
		return false
	}
	if len(p.endpoints) == maxHolders {
		p.endpoints, p.addedAt = slices.Delete(p.endpoints, 0, 1), slices.Delete(p.addedAt, 0, 1)
	}
	p.endpoints, p.addedAt = append(p.endpoints, endpoint), append(p.addedAt, now)
	return true
}

func (h *holderTable) lookup(id uint64) []uint32 {
	if p := h.parts[id]; p != nil {
		return p.endpoints
	}
	return nil
}

// age returns the time since endpoint was recorded as a holder of the part, or 0
// if it is not a holder.
func (h *holderTable) age(now time.Time, id uint64, endpoint uint32) time.Duration {
	p := h.parts[id]
	if p == nil {
		return 0
	}
	if i := slices.Index(p.endpoints, endpoint); i >= 0 {
		return now.Sub(p.addedAt[i])
	}
	return 0
}

// remove removes endpoint from the holders of the part.
func (h *holderTable) remove(id uint64, endpoint uint32) {
	p := h.parts[id]
	if p == nil {
		return
	}
	if i := slices.Index(p.endpoints, endpoint); i >= 0 {
		p.endpoints, p.addedAt = slices.Delete(p.endpoints, i, i+1), slices.Delete(p.addedAt, i, i+1)
	}
}

// removeEndpoint removes endpoint from the holders of all parts.
func (h *holderTable) removeEndpoint(endpoint uint32) {
	for id := range h.parts {
		h.remove(id, endpoint)
	}
}

// evict removes the least recently used eighth of the parts. Removing one at a
// time would sort the table for each new part.
func (h *holderTable) evict() {
	for _, id := range h.byLastUse()[:maxParts/8] {
		delete(h.parts, id)
	}
}

func (h *holderTable) byLastUse() []uint64 {
	return slices.SortedFunc(maps.Keys(h.parts), func(a, b uint64) int {
		return cmp.Or(h.parts[a].lastUsed.Compare(h.parts[b].lastUsed), cmp.Compare(a, b))
	})
}

func (h *holderTable) list(limit int) []PartHolder {
	var out []PartHolder
	for _, id := range slices.Backward(h.byLastUse()) {
		for _, e := range h.parts[id].endpoints {
			if len(out) == limit {
				return out
			}
			out = append(out, PartHolder{Part: id, Endpoint: e})
		}
	}
	return out
}
