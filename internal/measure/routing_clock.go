package measure

import (
	"container/heap"
	"container/list"
	"time"
)

// epoch is where the virtual clocks of the routing scenarios start.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// virtualClock runs functions in order of their virtual time.
type virtualClock struct {
	now   time.Time
	items clockHeap
	seq   int
}

type clockItem struct {
	at  time.Time
	seq int // keeps items with the same time in insertion order
	f   func()
}

type clockHeap []clockItem

func (h clockHeap) Len() int { return len(h) }
func (h clockHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h clockHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *clockHeap) Push(x any)   { *h = append(*h, x.(clockItem)) }
func (h *clockHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	*h = old[:len(old)-1]
	return it
}

func (c *virtualClock) at(t time.Time, f func()) {
	c.seq++
	heap.Push(&c.items, clockItem{t, c.seq, f})
}

func (c *virtualClock) after(d time.Duration, f func()) { c.at(c.now.Add(d), f) }

// every runs f once an interval, from phase until end after the epoch.
func (c *virtualClock) every(phase, interval, end time.Duration, f func()) {
	t := epoch.Add(phase)
	var run func()
	run = func() {
		f()
		if t = t.Add(interval); t.Before(epoch.Add(end)) {
			c.at(t, run)
		}
	}
	c.at(t, run)
}

// run runs all scheduled functions, including those that they schedule.
func (c *virtualClock) run() {
	for len(c.items) > 0 {
		it := heap.Pop(&c.items).(clockItem)
		c.now = it.at
		it.f()
	}
}

// prefixCache is a fake of an engine's prefix cache. It evicts the least recently
// used chats when its memory is full.
type prefixCache struct {
	limit, used int64
	order       *list.List // of cached, most recent first
	byChat      map[int]*list.Element
}

type cached struct {
	chat  int
	units int64
}

func newPrefixCache(limit int64) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), byChat: map[int]*list.Element{}}
}

// use returns the units cached for a chat and marks it as recently used.
func (p *prefixCache) use(chat int) int64 {
	e, ok := p.byChat[chat]
	if !ok {
		return 0
	}
	p.order.MoveToFront(e)
	return e.Value.(cached).units
}

func (p *prefixCache) drop(chat int) {
	if e, ok := p.byChat[chat]; ok {
		p.used -= e.Value.(cached).units
		p.order.Remove(e)
		delete(p.byChat, chat)
	}
}

func (p *prefixCache) put(chat int, units int64) {
	p.drop(chat)
	p.byChat[chat] = p.order.PushFront(cached{chat, units})
	p.used += units
	for p.used > p.limit {
		p.drop(p.order.Back().Value.(cached).chat)
	}
}
