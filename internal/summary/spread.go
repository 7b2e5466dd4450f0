package summary

import (
	"slices"
	"strconv"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// SpreadTrees is the number of trees over which a notice is spread. An
	// entry lies at different depths in them, so a dead inner node of one tree
	// cuts nobody off in the other.
	SpreadTrees = 2
	// fanOut is the number of entries that one entry passes a notice on to. 370
	// entries are reached in 3 hops, and one entry sends at most 2 KB.
	fanOut = 8
)

// SpreadNext returns the entries to which self passes a notice on in a tree. A
// sender outside of entries is the parent of the tree's first entry.
func SpreadNext(notice string, tree int, self model.InstanceID, entries []model.InstanceID) []model.InstanceID {
	order := Rendezvous("spread\x00"+notice+"\x00"+strconv.Itoa(tree), entries, len(entries))
	at := slices.Index(order, self)
	if at < 0 {
		return order[:min(1, len(order))]
	}
	from := fanOut*at + 1
	return order[min(from, len(order)):min(from+fanOut, len(order))]
}
