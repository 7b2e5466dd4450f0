package load

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// planner schedules the calls. It owns the chats and receives the results of
// their calls, so that the next turn of a chat carries the last answer and its
// return token.
type planner struct {
	settings  Settings
	random    *rand.Rand
	start     time.Time
	callCount int
	chatCount int
	idle      chatHeap // chats that wait for their next turn
	resends   []call   // service calls to send again with the same key
	nextEntry int      // index into Entries, advanced for each call
}

// chat is a conversation of several turns. Each turn sends all its messages.
type chat struct {
	id           model.ChatID
	workspace    Workspace
	messages     []message
	chars        int64
	cachedTokens int64 // tokens that the last turn left in a cache
	returnToken  string
	returnAt     time.Time
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatHeap is a heap of chats ordered by the time of their next turn.
type chatHeap []*chat

func (h chatHeap) Len() int           { return len(h) }
func (h chatHeap) Less(i, j int) bool { return h[i].returnAt.Before(h[j].returnAt) }
func (h chatHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *chatHeap) Push(x any)        { *h = append(*h, x.(*chat)) }
func (h *chatHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newPlanner(s Settings, start time.Time) *planner {
	return &planner{settings: s, random: rand.New(rand.NewPCG(s.Seed, 0)), start: start}
}

// run sends each call to out when it is due, until the duration is over or ctx
// is done, and then closes out. Meanwhile it receives the results of chat calls.
func (p *planner) run(ctx context.Context, out chan<- plannedCall, chatResults <-chan chatResult) {
	defer close(out)
	end := p.start.Add(p.settings.Duration)
	due := p.start
	for {
		due = p.nextArrival(due)
		if !due.Before(end) || !p.waitUntil(ctx, due, chatResults) {
			return
		}
		next := p.nextCall(due)
		for sent := false; !sent; {
			select {
			case out <- next:
				sent = true
			case r := <-chatResults:
				p.scheduleReturn(r, time.Now())
			case <-ctx.Done():
				return
			}
		}
	}
}

// waitUntil receives the results of chat calls until due. It reports false if ctx
// is done earlier.
func (p *planner) waitUntil(ctx context.Context, due time.Time, chatResults <-chan chatResult) bool {
	t := time.NewTimer(time.Until(due))
	defer t.Stop()
	for {
		select {
		case <-t.C:
			return true
		case r := <-chatResults:
			p.scheduleReturn(r, time.Now())
		case <-ctx.Done():
			return false
		}
	}
}

// nextArrival returns the time of the call that follows a call at t. Calls are a
// Poisson process with a higher rate during surges and no calls during pauses.
func (p *planner) nextArrival(t time.Time) time.Time {
	rate := p.settings.Rate
	if p.inSurge(t) {
		rate *= p.settings.Surges.Factor
	}
	t = t.Add(time.Duration(p.random.ExpFloat64() / rate * float64(time.Second)))
	if s := p.settings.Surges; s.Every > 0 && s.Pause > 0 {
		if elapsed := p.sinceSurgeStart(t); elapsed >= s.Length && elapsed < s.Length+s.Pause && t.Sub(p.start) >= s.Every {
			t = t.Add(s.Length + s.Pause - elapsed)
		}
	}
	return t
}

// sinceSurgeStart returns the time since the start of the last surge. The first
// surge starts after one full interval.
func (p *planner) sinceSurgeStart(t time.Time) time.Duration {
	return t.Sub(p.start) % p.settings.Surges.Every
}

func (p *planner) inSurge(t time.Time) bool {
	s := p.settings.Surges
	return s.Every > 0 && t.Sub(p.start) >= s.Every && p.sinceSurgeStart(t) < s.Length
}

// plannedCall is a call with the chat that it belongs to.
type plannedCall struct {
	call call
	chat *chat // nil for a service call
}

// chatResult is the result of a chat call.
type chatResult struct {
	chat        *chat
	text        string
	returnToken string
	complete    bool
}

func (p *planner) nextCall(now time.Time) plannedCall {
	p.callCount++
	p.nextEntry = (p.nextEntry + 1) % len(p.settings.Entries)
	id := model.RequestID(fmt.Sprintf("load-%d-%d", p.settings.Seed, p.callCount))
	if p.random.Float64() < p.settings.Services.Share {
		return plannedCall{call: p.serviceCall(id, now)}
	}
	c := p.pickChat(now)
	n := p.settings.Chats.Tokens/2 + p.random.Int64N(p.settings.Chats.Tokens)
	body, _ := json.Marshal(map[string]any{"model": p.settings.Chats.Model, "messages": c.messages, "max_tokens": n, "stream": true})
	prefill := 1 + c.chars/charsPerToken
	return plannedCall{chat: c, call: call{
		ID: id, Workspace: c.workspace, Chat: c.id, Body: body, Tokens: int(n), Prefill: prefill,
		Cacheable: min(c.cachedTokens, prefill), ReturnToken: c.returnToken, Entry: p.nextEntry, Due: now,
	}}
}

// charsPerToken is the ratio that entries use to estimate the tokens of a prompt.
const charsPerToken = 4

// idempotencyKeyPrefix returns the prefix of all idempotency keys of the run with
// the given seed.
func idempotencyKeyPrefix(seed uint64) string { return fmt.Sprintf("load-key-%d-", seed) }

func (p *planner) serviceCall(id model.RequestID, now time.Time) call {
	if len(p.resends) > 0 && p.random.Float64() < 0.5 {
		c := p.resends[0]
		p.resends = p.resends[1:]
		c.ID, c.ReusesKey, c.Due = id, true, now
		c.Entry = (c.Entry + 1) % len(p.settings.Entries)
		return c
	}
	route := p.settings.Services.Routes[p.random.IntN(len(p.settings.Services.Routes))]
	c := call{
		ID: id, Workspace: p.pickWorkspace(now), Route: route, Key: idempotencyKeyPrefix(p.settings.Seed) + fmt.Sprint(p.callCount), Entry: p.nextEntry, Due: now,
		Body: fmt.Appendf(nil, `{"ticket":%d}`, p.random.IntN(1_000_000)),
	}
	if p.random.Float64() < p.settings.Services.RepeatShare {
		p.resends = append(p.resends, c)
	}
	return c
}

// pickChat returns the idle chat that has been due longest, or opens a new chat.
// Calls during a surge always open new chats.
func (p *planner) pickChat(now time.Time) *chat {
	surge := p.inSurge(now)
	if !surge && len(p.idle) > 0 && !now.Before(p.idle[0].returnAt) && p.random.Float64() >= p.settings.Chats.NewShare {
		return heap.Pop(&p.idle).(*chat)
	}
	p.chatCount++
	c := &chat{id: model.ChatID(fmt.Sprintf("chat-%d-%d", p.settings.Seed, p.chatCount)), workspace: p.pickWorkspace(now)}
	c.addMessage("user", p.randomText(p.settings.Chats.PromptChars/2+p.random.Int64N(p.settings.Chats.PromptChars)))
	return c
}

// pickWorkspace picks a workspace at random by weight. During a surge it returns
// the first workspace.
func (p *planner) pickWorkspace(now time.Time) Workspace {
	if p.inSurge(now) {
		return p.settings.Workspaces[0]
	}
	total := 0.0
	for _, w := range p.settings.Workspaces {
		total += w.Weight
	}
	at := p.random.Float64() * total
	for _, w := range p.settings.Workspaces {
		if at -= w.Weight; at < 0 {
			return w
		}
	}
	return p.settings.Workspaces[len(p.settings.Workspaces)-1]
}

func (c *chat) addMessage(role, content string) {
	c.messages = append(c.messages, message{role, content})
	c.chars += int64(len(content))
}

func (p *planner) randomText(chars int64) string {
	var b strings.Builder
	for int64(b.Len()) < chars {
		fmt.Fprintf(&b, "w%05d ", p.random.IntN(100_000))
	}
	return b.String()
}

// maxChatChars is the length of a prompt after which a chat ends, so that it
// stays below what an entry accepts.
const maxChatChars = 1 << 20

// scheduleReturn appends the answer of a finished chat call and the next prompt
// to the chat and schedules its next turn.
func (p *planner) scheduleReturn(r chatResult, now time.Time) {
	c := r.chat
	if c.chars > maxChatChars {
		return
	}
	if r.complete {
		c.cachedTokens = 1 + c.chars/charsPerToken
		c.returnToken = r.returnToken
		c.addMessage("assistant", r.text)
	}
	c.addMessage("user", p.randomText(p.settings.Chats.PromptChars/10))
	mean := p.settings.Chats.ReturnSoon
	if p.random.Float64() < p.settings.Chats.LateShare {
		mean = p.settings.Chats.ReturnLate
	}
	c.returnAt = now.Add(time.Duration(p.random.ExpFloat64() * float64(mean)))
	heap.Push(&p.idle, c)
}
