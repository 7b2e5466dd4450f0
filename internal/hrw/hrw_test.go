package hrw_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/hrw"
)

// Guards against an uneven distribution of keys over the nodes, and against keys
// that move between the remaining nodes when another node is removed.
func TestKeysSpreadAndStay(t *testing.T) {
	is := is.New(t)
	const nodes, keys = 10, 10_000
	first := func(key uint64, without int) int {
		best := -1
		for n := range nodes {
			if n != without && (best < 0 || hrw.Score(key, uint64(n)) > hrw.Score(key, uint64(best))) {
				best = n
			}
		}
		return best
	}
	count := map[int]int{}
	for key := range uint64(keys) {
		at := first(key, -1)
		count[at]++
		if at != 3 {
			is.Equal(first(key, 3), at)
		}
	}
	for n := range nodes {
		is.True(count[n] > keys/nodes*9/10 && count[n] < keys/nodes*11/10)
	}
}
