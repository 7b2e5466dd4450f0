package summary

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// BroadcastTrees is the number of trees over which a notice is spread. A
	// process lies at different depths in them, so a dead inner node of one tree
	// cuts nobody off in the other.
	BroadcastTrees = 2
	// fanOut is the number of processes that one passes a notice on to. 370
	// entries and the 170 sides of a pool are reached in 4 hops, and one process
	// sends at most 3 KB.
	fanOut = 8
)

// NextHops returns the processes to which self passes a notice on in a tree
// over ids. A sender outside of ids is the parent of the tree's first process.
func NextHops(notice string, tree int, self model.InstanceID, ids []model.InstanceID) []model.InstanceID {
	order := Rendezvous("spread\x00"+notice+"\x00"+strconv.Itoa(tree), ids, len(ids))
	at := slices.Index(order, self)
	if at < 0 {
		return order[:min(1, len(order))]
	}
	from := fanOut*at + 1
	return order[min(from, len(order)):min(from+fanOut, len(order))]
}

// Hop is one process to which a notice goes on, and those behind it, which the
// sender tells itself if the process does not answer.
type Hop struct {
	To       model.InstanceID
	Children []model.InstanceID
}

// Hops returns the next hops of self in a tree.
func Hops(notice string, tree int, self model.InstanceID, ids []model.InstanceID) []Hop {
	var out []Hop
	for _, id := range NextHops(notice, tree, self, ids) {
		out = append(out, Hop{id, NextHops(notice, tree, id, ids)})
	}
	return out
}

// Notices remembers the notices that passed a process, so that each passes once
// in each tree. It belongs to the control goroutine.
type Notices map[notice]time.Time

type notice struct {
	id   string
	tree int
}

const (
	noticeTime = time.Minute // far longer than a spread takes
	maxNotices = 4096
)

// Forward returns where a notice goes on, or nothing if it has passed before.
func (n Notices) Forward(now time.Time, id string, tree int, self model.InstanceID, ids []model.InstanceID) []Hop {
	key := notice{id, tree}
	if _, passed := n[key]; passed || tree < 0 || tree >= BroadcastTrees || len(n) >= maxNotices {
		return nil
	}
	n[key] = now
	return Hops(id, tree, self, ids)
}

// Sweep drops old notices.
func (n Notices) Sweep(now time.Time) {
	maps.DeleteFunc(n, func(_ notice, at time.Time) bool { return now.Sub(at) > noticeTime })
}
