package place

import (
	"slices"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// listBuckets is the number of buckets into which the endpoints of a list are divided
// by id. Two routers whose lists have no common version compare the hashes of the
// buckets, 256 bytes, and transfer only the buckets that differ: a whole list of 850
// endpoints has 56 KB.
const listBuckets = 64

// bucketOf returns the bucket of an endpoint.
func bucketOf(id model.EndpointID) uint8 { return uint8(EndpointHash(id) % listBuckets) }

// Buckets returns the hash of each bucket of the list.
func (l List) Buckets() []uint32 {
	out := make([]uint32, listBuckets)
	for _, e := range l.Endpoints {
		out[bucketOf(e.ID)] += uint32(e.hash())
	}
	return out
}

// Differing returns the buckets whose hashes differ from those of another list, and
// the endpoints of l in them. All buckets differ from those of a list with another
// number of buckets.
func (l List) Differing(other []uint32) (buckets []uint8, endpoints []Endpoint) {
	for b, h := range l.Buckets() {
		if len(other) != listBuckets || h != other[b] {
			buckets = append(buckets, uint8(b))
		}
	}
	for _, e := range l.Endpoints {
		if slices.Contains(buckets, bucketOf(e.ID)) {
			endpoints = append(endpoints, e)
		}
	}
	return buckets, endpoints
}

// ReplaceBuckets returns the list in which the endpoints of the given buckets are
// replaced.
func (l List) ReplaceBuckets(buckets []uint8, endpoints []Endpoint) List {
	d := Delta{Changed: endpoints}
	for _, e := range l.Endpoints {
		if slices.Contains(buckets, bucketOf(e.ID)) {
			d.Gone = append(d.Gone, e.ID)
		}
	}
	return l.Apply(d)
}
