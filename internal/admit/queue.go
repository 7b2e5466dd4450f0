package admit

import (
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Bounds of the queue.
const (
	// QueueLen is the maximum number of queued requests.
	QueueLen = 32
	// QueueWait is the longest time in the queue. It is a third of the target for
	// the time to first token (0.72 s), since a request has up to 3 attempts.
	QueueWait = 240 * time.Millisecond
)

// fitResult is the result of the admission check of queued work.
type fitResult int

const (
	fits          fitResult = iota
	blocked                 // does not fit; no other work may overtake it
	needsHeadroom           // fits only in the headroom; work of other workspaces may overtake it
)

// item is queued work. Its finish tag is that of start-time fair queueing: the
// tag of each workspace advances by the units that it requests.
type item struct {
	Work
	enqueuedAt time.Time
	expiresAt  time.Time
	finishTag  int64
}

// queue holds work in the order of priority and then of finish tags.
type queue struct {
	items       []item
	lastTag     map[model.Workspace]int64 // finish tag of the last item of a workspace
	virtualTime int64                     // highest finish tag of the admitted items
	fifo        bool                      // first in, first out; only tests set it
}

func newQueue() queue { return queue{lastTag: map[model.Workspace]int64{}} }

// push adds w and returns the items that are dropped because the queue is full,
// which may include w itself.
func (q *queue) push(w Work, now time.Time) []item {
	it := item{Work: w, enqueuedAt: now, expiresAt: now.Add(QueueWait)}
	if !w.Deadline.IsZero() && w.Deadline.Before(it.expiresAt) {
		it.expiresAt = w.Deadline
	}
	it.finishTag = max(q.virtualTime, q.lastTag[w.Workspace]) + w.Cost.Units()
	q.lastTag[w.Workspace] = it.finishTag
	at := len(q.items)
	for at > 0 && q.before(it, q.items[at-1]) {
		at--
	}
	q.items = slices.Insert(q.items, at, it)
	if len(q.items) <= QueueLen {
		return nil
	}
	return []item{q.removeAt(q.victim())}
}

// before reports whether a is ordered before b.
func (q *queue) before(a, b item) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return !q.fifo && a.finishTag < b.finishTag
}

// victim returns the index of the item to drop from a full queue: among the
// items of the lowest priority, the last one of the workspace with the most of
// them.
func (q *queue) victim() int {
	lowest, counts := q.items[len(q.items)-1].Priority, map[model.Workspace]int{}
	best := len(q.items) - 1
	for i := len(q.items) - 1; i >= 0 && q.items[i].Priority == lowest && !q.fifo; i-- {
		counts[q.items[i].Workspace]++
	}
	for i := len(q.items) - 1; i >= 0 && q.items[i].Priority == lowest && !q.fifo; i-- {
		if counts[q.items[i].Workspace] > counts[q.items[best].Workspace] {
			best = i
		}
	}
	return best
}

func (q *queue) removeAt(i int) item {
	it := q.items[i]
	q.items = slices.Delete(q.items, i, i+1)
	if len(q.items) == 0 {
		clear(q.lastTag) // tags only order work that is queued together
		q.virtualTime = 0
	}
	return it
}

// popNext removes and returns the first item that fits.
func (q *queue) popNext(check func(Work) fitResult) (item, bool) {
	for i := range q.items {
		switch check(q.items[i].Work) {
		case fits:
			q.virtualTime = max(q.virtualTime, q.items[i].finishTag)
			return q.removeAt(i), true
		case blocked:
			return item{}, false
		}
	}
	return item{}, false
}

// expire removes and returns the items whose time in the queue has ended.
func (q *queue) expire(now time.Time) []item {
	var out []item
	for i := 0; i < len(q.items); {
		if now.Before(q.items[i].expiresAt) {
			i++
			continue
		}
		out = append(out, q.removeAt(i))
	}
	return out
}

func (q *queue) clear() []item {
	out := q.items
	q.items, q.virtualTime = nil, 0
	clear(q.lastTag)
	return out
}

func (q *queue) remove(t Ticket) {
	if i := slices.IndexFunc(q.items, func(it item) bool { return it.Ticket == t }); i >= 0 {
		q.removeAt(i)
	}
}

// firstAttemptUnits returns the units of the items that no other endpoint has
// refused.
func (q *queue) firstAttemptUnits() int64 {
	var sum int64
	for _, it := range q.items {
		if !it.Retried {
			sum += it.Cost.Units()
		}
	}
	return sum
}
