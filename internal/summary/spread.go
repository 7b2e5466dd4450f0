package summary

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// BroadcastTrees is the number of trees over which a notice is broadcast. A
	// process is at a different depth in each, so a dead inner node of one tree
	// disconnects no process in the other.
	BroadcastTrees = 2
	// fanOut is the number of children of a process in a tree. 370 entries and the
	// 170 sides of a pool are reached in 4 hops, and one process sends at most 3 KB.
	fanOut = 8
)

// NextHops returns the processes to which self forwards a notice in a tree over
// ids. A sender that is not in ids is the parent of the first process of the tree.
func NextHops(notice string, tree int, self model.InstanceID, ids []model.InstanceID) []model.InstanceID {
	order := Rendezvous("spread\x00"+notice+"\x00"+strconv.Itoa(tree), ids, len(ids))
	at := slices.Index(order, self)
	if at < 0 {
		return order[:min(1, len(order))]
	}
	from := fanOut*at + 1
	return order[min(from, len(order)):min(from+fanOut, len(order))]
}

// Hop is one process to which a notice is forwarded, and its children, to which
// the sender forwards the notice itself if the process does not answer.
type Hop struct {
	To       model.InstanceID
	Children []model.InstanceID
}

// Hops returns the next hops of self in a tree with their children.
func Hops(notice string, tree int, self model.InstanceID, ids []model.InstanceID) []Hop {
	var out []Hop
	for _, id := range NextHops(notice, tree, self, ids) {
		out = append(out, Hop{id, NextHops(notice, tree, id, ids)})
	}
	return out
}

// Notices records the notices that a process has forwarded, so that it forwards
// each once per tree. It belongs to the control goroutine.
type Notices map[notice]time.Time

type notice struct {
	id   string
	tree int
}

const (
	noticeTTL  = time.Minute // time for which a notice is recorded; far longer than a broadcast takes
	maxNotices = 4096
)

// Forward records a notice and returns its next hops, or nil if it has been
// forwarded in this tree before.
func (n Notices) Forward(now time.Time, id string, tree int, self model.InstanceID, ids []model.InstanceID) []Hop {
	key := notice{id, tree}
	if _, forwarded := n[key]; forwarded || tree < 0 || tree >= BroadcastTrees || len(n) >= maxNotices {
		return nil
	}
	n[key] = now
	return Hops(id, tree, self, ids)
}

// Sweep drops expired notices.
func (n Notices) Sweep(now time.Time) {
	maps.DeleteFunc(n, func(_ notice, at time.Time) bool { return now.Sub(at) > noticeTTL })
}
