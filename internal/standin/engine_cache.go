package standin

import (
	"container/list"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// prefixCache is an LRU cache of the prefixes of chats. Its size is counted in
// tokens, which no LRU package in the module's dependencies supports.
type prefixCache struct {
	limit  int64
	tokens int64
	lru    *list.List // of *prefix, most recently used first
	chats  map[string]*list.Element
	events []timedEvent
	seq    int64
}

// prefix is the cached prefix of one chat.
type prefix struct {
	chat    string
	version model.Version
	tokens  int64
}

// timedEvent is a cache event with its time, which is zero until stampEvents
// sets it.
type timedEvent struct {
	endpointapi.CacheEvent
	at time.Time
}

// maxCacheEvents limits the number of events that are kept for readers.
const maxCacheEvents = 4096

// clear empties the cache without events, as the restart of an engine does.
func (c *prefixCache) clear(limit int64) {
	c.limit, c.tokens = limit, 0
	c.lru, c.chats = list.New(), map[string]*list.Element{}
}

// touch marks the prefix of the chat as used and returns its length in tokens. It
// returns 0 if there is none of version v.
func (c *prefixCache) touch(chat string, v model.Version) int64 {
	el := c.chats[chat]
	if el == nil || el.Value.(*prefix).version != v {
		return 0
	}
	c.lru.MoveToFront(el)
	return el.Value.(*prefix).tokens
}

// store stores a prefix of the chat, unless a prefix of the same version and at
// least this length is cached, and evicts the least recently used prefixes that
// exceed the limit. It ignores a prefix larger than the whole cache.
func (c *prefixCache) store(chat string, v model.Version, tokens int64) {
	if tokens > c.limit {
		return
	}
	el := c.chats[chat]
	if el == nil {
		el = c.lru.PushFront(&prefix{chat: chat})
		c.chats[chat] = el
	}
	p := el.Value.(*prefix)
	if p.version == v && p.tokens >= tokens {
		return
	}
	c.tokens += tokens - p.tokens
	p.version, p.tokens = v, tokens
	c.lru.MoveToFront(el)
	c.addEvent(endpointapi.CacheStored, p)
	for c.tokens > c.limit {
		oldest := c.lru.Back()
		evicted := oldest.Value.(*prefix)
		c.lru.Remove(oldest)
		delete(c.chats, evicted.chat)
		c.tokens -= evicted.tokens
		c.addEvent(endpointapi.CacheRemoved, evicted)
	}
}

func (c *prefixCache) addEvent(kind endpointapi.CacheEventKind, p *prefix) {
	c.seq++
	c.events = append(c.events, timedEvent{CacheEvent: endpointapi.CacheEvent{Seq: c.seq, Kind: kind, Chat: p.chat, Tokens: p.tokens}})
	c.events = c.events[max(0, len(c.events)-maxCacheEvents):]
}

// stampEvents sets the time of the events that have none yet to now, the time of
// the control event.
func (c *prefixCache) stampEvents(now time.Time) {
	for i := len(c.events) - 1; i >= 0 && c.events[i].at.IsZero(); i-- {
		c.events[i].at = now
	}
}

// since returns the events with a sequence number above seq that happened no
// later than until, without every gap-th event.
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

// engineCache is the stage that exports and imports prefixes.
type engineCache struct{}

func (engineCache) Name() string { return "engine_cache" }

func (engineCache) Apply(s *engineState, now time.Time, ev control.Event) bool {
	s.cache.stampEvents(now)
	switch ev := ev.(type) {
	case exportKV:
		el := s.cache.chats[ev.chat]
		if el == nil || !s.up() {
			ev.Reply(kvResult{err: ErrNoKV})
			return false
		}
		p := el.Value.(*prefix)
		ev.Reply(kvResult{kv: endpointapi.KV{Chat: p.chat, Version: p.version, Tokens: p.tokens}})
	case importKV:
		err := s.importKV(ev.kv)
		s.cache.stampEvents(now)
		ev.Reply(kvResult{err: err})
		return true
	}
	return false
}
