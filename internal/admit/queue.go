package admit

import (
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Bounds of the queue.
const (
	// QueueLen is the number of requests that may wait.
	QueueLen = 32
	// QueueWait is the longest wait. It is a third of the time to the first token
	// at the target (0.72 s), since a request has 3 hand-overs.
	QueueWait = 240 * time.Millisecond
)

// verdict is what admission says about work in the queue.
type verdict int

const (
	fits    verdict = iota
	blocked         // it does not fit; nothing behind it may overtake it
	held            // its workspace holds too much; others may overtake it
)

// item is waiting work. Its tag is the finish time of start-time fair queueing:
// each workspace advances by the units that it asks for.
type item struct {
	Work
	since time.Time
	until time.Time
	tag   int64
}

// queue holds waiting work in order of priority and then of fair tags.
type queue struct {
	items  []item
	last   map[model.Workspace]int64 // tag of the last item of a workspace
	now    int64                     // tag of the item that left last
	unfair bool                      // test switch: first in, first out
}

func newQueue() queue { return queue{last: map[model.Workspace]int64{}} }

// push adds w and returns the items that a full queue has to drop, which may
// be w itself.
func (q *queue) push(w Work, now time.Time) []item {
	it := item{Work: w, since: now, until: now.Add(QueueWait)}
	if !w.Deadline.IsZero() && w.Deadline.Before(it.until) {
		it.until = w.Deadline
	}
	it.tag = max(q.now, q.last[w.Workspace]) + w.Cost.Units()
	q.last[w.Workspace] = it.tag
	at := len(q.items)
	for at > 0 && q.before(it, q.items[at-1]) {
		at--
	}
	q.items = slices.Insert(q.items, at, it)
	if len(q.items) <= QueueLen {
		return nil
	}
	return []item{q.take(q.victim())}
}

// before reports whether a goes before b.
func (q *queue) before(a, b item) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return !q.unfair && a.tag < b.tag
}

// victim returns the last item of the workspace that has the most items among
// those of the lowest priority.
func (q *queue) victim() int {
	lowest, counts := q.items[len(q.items)-1].Priority, map[model.Workspace]int{}
	best := len(q.items) - 1
	for i := len(q.items) - 1; i >= 0 && q.items[i].Priority == lowest && !q.unfair; i-- {
		counts[q.items[i].Workspace]++
	}
	for i := len(q.items) - 1; i >= 0 && q.items[i].Priority == lowest && !q.unfair; i-- {
		if counts[q.items[i].Workspace] > counts[q.items[best].Workspace] {
			best = i
		}
	}
	return best
}

func (q *queue) take(i int) item {
	it := q.items[i]
	q.items = slices.Delete(q.items, i, i+1)
	if len(q.items) == 0 {
		clear(q.last) // tags only order work that waits together
		q.now = 0
	}
	return it
}

// next removes and returns the first item that fits.
func (q *queue) next(check func(Work) verdict) (item, bool) {
	for i := range q.items {
		switch check(q.items[i].Work) {
		case fits:
			q.now = max(q.now, q.items[i].tag)
			return q.take(i), true
		case blocked:
			return item{}, false
		}
	}
	return item{}, false
}

// expire removes the items that have waited long enough.
func (q *queue) expire(now time.Time) []item {
	var out []item
	for i := 0; i < len(q.items); {
		if now.Before(q.items[i].until) {
			i++
			continue
		}
		out = append(out, q.take(i))
	}
	return out
}

func (q *queue) clear() []item {
	out := q.items
	q.items, q.now = nil, 0
	clear(q.last)
	return out
}

func (q *queue) remove(t Ticket) {
	if i := slices.IndexFunc(q.items, func(it item) bool { return it.Ticket == t }); i >= 0 {
		q.take(i)
	}
}

// units returns the units of the items that no other endpoint refused before.
func (q *queue) units() int64 {
	var sum int64
	for _, it := range q.items {
		if !it.Retried {
			sum += it.Cost.Units()
		}
	}
	return sum
}
