package standin

import (
	"container/list"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// prefixCache holds the prefixes of chats, least recently used last. The size
// is counted in tokens, which no LRU package of the module offers.
type prefixCache struct {
	limit  int64
	tokens int64
	order  *list.List // of *prefix
	chats  map[string]*list.Element
	events []datedEvent
	seq    int64
}

type prefix struct {
	chat    string
	version model.Version
	tokens  int64
}

type datedEvent struct {
	endpointapi.CacheEvent
	at time.Time
}

// maxCacheEvents bounds the events that are kept for readers.
const maxCacheEvents = 4096

// clear empties the cache without any event, as a restarted engine does.
func (c *prefixCache) clear(limit int64) {
	c.limit, c.tokens = limit, 0
	c.order, c.chats = list.New(), map[string]*list.Element{}
}

// touch marks the chat as used and returns its cached tokens.
func (c *prefixCache) touch(chat string, v model.Version) int64 {
	el := c.chats[chat]
	if el == nil || el.Value.(*prefix).version != v {
		return 0
	}
	c.order.MoveToFront(el)
	return el.Value.(*prefix).tokens
}

// store keeps the longest prefix of the chat and evicts the least recently
// used others.
func (c *prefixCache) store(chat string, v model.Version, tokens int64) {
	if tokens > c.limit {
		return
	}
	el := c.chats[chat]
	if el == nil {
		el = c.order.PushFront(&prefix{chat: chat})
		c.chats[chat] = el
	}
	p := el.Value.(*prefix)
	if p.version == v && p.tokens >= tokens {
		return
	}
	c.tokens += tokens - p.tokens
	p.version, p.tokens = v, tokens
	c.order.MoveToFront(el)
	c.event(endpointapi.CacheStored, p)
	for c.tokens > c.limit {
		last := c.order.Back()
		old := last.Value.(*prefix)
		c.order.Remove(last)
		delete(c.chats, old.chat)
		c.tokens -= old.tokens
		c.event(endpointapi.CacheRemoved, old)
	}
}

func (c *prefixCache) event(kind endpointapi.CacheEventKind, p *prefix) {
	c.seq++
	c.events = append(c.events, datedEvent{CacheEvent: endpointapi.CacheEvent{Seq: c.seq, Kind: kind, Chat: p.chat, Tokens: p.tokens}})
	c.events = c.events[max(0, len(c.events)-maxCacheEvents):]
}

// date gives new events the time of the control event that caused them.
func (c *prefixCache) date(now time.Time) {
	for i := len(c.events) - 1; i >= 0 && c.events[i].at.IsZero(); i-- {
		c.events[i].at = now
	}
}

// since returns the events after seq that happened before until, without every
// gap-th one.
func (c *prefixCache) since(seq int64, until time.Time, gap int64) endpointapi.CacheEvents {
	out := endpointapi.CacheEvents{Next: seq, Events: []endpointapi.CacheEvent{}}
	for _, ev := range c.events {
		if ev.Seq <= seq || ev.at.After(until) {
			continue
		}
		out.Next = ev.Seq
		if gap == 0 || ev.Seq%gap != 0 {
			out.Events = append(out.Events, ev.CacheEvent)
		}
	}
	return out
}

// engineCache exports and imports prefixes.
type engineCache struct{}

func (engineCache) Name() string { return "engine_cache" }

func (engineCache) Apply(s *engineState, now time.Time, ev control.Event) bool {
	s.cache.date(now)
	switch ev := ev.(type) {
	case exportKV:
		el := s.cache.chats[ev.chat]
		if el == nil || !s.up() {
			ev.Reply(kvAnswer{err: ErrNoKV})
			return false
		}
		p := el.Value.(*prefix)
		ev.Reply(kvAnswer{kv: endpointapi.KV{Chat: p.chat, Version: p.version, Tokens: p.tokens}})
	case importKV:
		err := s.importKV(ev.kv)
		s.cache.date(now)
		ev.Reply(kvAnswer{err: err})
		return true
	}
	return false
}
