package place

import (
	"cmp"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against routers that compare other candidates than the first ones of the rendezvous
// order, which they agree on without messages.
func TestFirstInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		list := make([]candidate, rapid.IntRange(0, 30).Draw(rt, "endpoints"))
		for i := range list {
			list[i] = candidate{endpointState: &endpointState{hash: uint32(i)}}
		}
		key, n := rapid.Uint64().Draw(rt, "key"), rapid.IntRange(0, 8).Draw(rt, "n")
		want := slices.SortedFunc(slices.Values(list), func(a, b candidate) int {
			return cmp.Compare(rendezvousScore(key, b.hash), rendezvousScore(key, a.hash))
		})
		is.New(t).Equal(slices.Equal(firstInOrder(key, list, n), want[:min(n, len(want))]), true)
	})
}
