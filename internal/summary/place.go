package summary

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Key identifies the endpoints that share a mean. Each region has its own, so that
// a network partition between regions has no effect.
type Key struct {
	Pool   model.Pool
	Region model.Region
}

const (
	// groupSize is the mean number of endpoints of a group. Larger groups put more
	// load on their aggregators, smaller ones on the roots.
	groupSize = 12
	// maxSingleGroup is the largest number of endpoints of a pool with one group,
	// whose aggregators are also its roots. It saves the second hop in pools of the
	// sizes that the first users have.
	maxSingleGroup = 16
	// replicas is the number of aggregators of a group and of roots of a pool, so
	// that the loss of one leaves a complete sum.
	replicas = 2
)

// Groups returns the number of groups for a pool of n endpoints in a region.
func Groups(n int) int {
	if n <= maxSingleGroup {
		return 1
	}
	return int(math.Round(float64(n) / groupSize))
}

// Group returns the group of an endpoint by rendezvous hashing over the groups, so
// that a change of their number moves as few endpoints as possible.
func Group(id model.EndpointID, groups int) int {
	best, bestHash := 0, uint64(0)
	for g := range groups {
		if h := xxhash.Sum64String("group\x00" + string(id) + "\x00" + strconv.Itoa(g)); h > bestHash {
			best, bestHash = g, h
		}
	}
	return best
}

// Aggregators returns the entries that sum up a group, in order of preference.
func Aggregators(k Key, group int, entries []model.InstanceID) []model.InstanceID {
	return Rendezvous("holder\x00"+k.name()+"\x00"+strconv.Itoa(group), entries, replicas)
}

// Roots returns the entries that merge the groups of a pool. With one group they
// are its aggregators.
func Roots(k Key, groups int, entries []model.InstanceID) []model.InstanceID {
	if groups == 1 {
		return Aggregators(k, 0, entries)
	}
	return Rendezvous("root\x00"+k.name(), entries, replicas)
}

func (k Key) name() string { return string(k.Pool) + "\x00" + string(k.Region) }

// Rendezvous returns the first n ids in the rendezvous order of key. The hash of
// the key is computed once, since an entry looks up the home entry of every
// request among up to 370 entries.
func Rendezvous(key string, ids []model.InstanceID, n int) []model.InstanceID {
	type scored struct {
		id   model.InstanceID
		hash uint64
	}
	order := func(a, b scored) int { return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.id, b.id)) }
	n = min(n, len(ids))
	top := make([]scored, 0, n+1)
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], xxhash.Sum64String(key))
	for _, id := range ids {
		binary.LittleEndian.PutUint64(pair[8:], xxhash.Sum64String(string(id)))
		next := scored{id, xxhash.Sum64(pair[:])}
		if len(top) == n && (n == 0 || order(next, top[n-1]) >= 0) {
			continue
		}
		if n == len(ids) {
			top = append(top, next) // all are returned and sorted below
			continue
		}
		at, _ := slices.BinarySearchFunc(top, next, order)
		top = slices.Insert(top, at, next)
		top = top[:min(len(top), n)]
	}
	slices.SortFunc(top, order)
	out := make([]model.InstanceID, len(top))
	for i, s := range top {
		out[i] = s.id
	}
	return out
}
