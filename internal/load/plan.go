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

// plan decides which call is due when. It owns the chats; the results of
// finished calls come back to it, so that a chat returns with its answer and
// its return token.
type plan struct {
	s       Settings
	random  *rand.Rand
	start   time.Time
	calls   int
	opened  int
	resting chatHeap // chats that wait to return
	repeat  []call   // service calls to be sent again
	turn    int      // next entry
}

// chat is one conversation.
type chat struct {
	id          model.ChatID
	workspace   Workspace
	messages    []message
	chars       int64
	cached      int64 // tokens that the last turn left in a cache
	returnToken string
	due         time.Time
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatHeap orders chats by the time at which they return.
type chatHeap []*chat

func (h chatHeap) Len() int           { return len(h) }
func (h chatHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }
func (h chatHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *chatHeap) Push(x any)        { *h = append(*h, x.(*chat)) }
func (h *chatHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newPlan(s Settings, start time.Time) *plan {
	return &plan{s: s, random: rand.New(rand.NewPCG(s.Seed, 0)), start: start}
}

// run sends due calls to out until the duration is over or ctx ends, and then
// closes out. Results arrive from back.
func (p *plan) run(ctx context.Context, out chan<- planned, back <-chan returned) {
	defer close(out)
	end := p.start.Add(p.s.Duration)
	due := p.start
	for {
		due = p.after(due)
		if !due.Before(end) || !p.waitUntil(ctx, due, back) {
			return
		}
		next := p.next(due)
		for sent := false; !sent; {
			select {
			case out <- next:
				sent = true
			case r := <-back:
				p.comeBack(r, time.Now())
			case <-ctx.Done():
				return
			}
		}
	}
}

func (p *plan) waitUntil(ctx context.Context, due time.Time, back <-chan returned) bool {
	t := time.NewTimer(time.Until(due))
	defer t.Stop()
	for {
		select {
		case <-t.C:
			return true
		case r := <-back:
			p.comeBack(r, time.Now())
		case <-ctx.Done():
			return false
		}
	}
}

// after returns the time of the call after one at t. Calls are a Poisson
// process whose rate rises in surges; none falls into a pause.
func (p *plan) after(t time.Time) time.Time {
	rate := p.s.Rate
	if p.inSurge(t) {
		rate *= p.s.Surges.Factor
	}
	t = t.Add(time.Duration(p.random.ExpFloat64() / rate * float64(time.Second)))
	if s := p.s.Surges; s.Every > 0 && s.Pause > 0 {
		if in := p.phase(t); in >= s.Length && in < s.Length+s.Pause && t.Sub(p.start) >= s.Every {
			t = t.Add(s.Length + s.Pause - in)
		}
	}
	return t
}

// phase is the time since the last surge began; the first one begins after
// one whole interval.
func (p *plan) phase(t time.Time) time.Duration { return t.Sub(p.start) % p.s.Surges.Every }

func (p *plan) inSurge(t time.Time) bool {
	s := p.s.Surges
	return s.Every > 0 && t.Sub(p.start) >= s.Every && p.phase(t) < s.Length
}

// planned is a call and the chat that it belongs to.
type planned struct {
	call call
	chat *chat // nil for a service call
}

// returned is a finished chat call.
type returned struct {
	chat        *chat
	text        string
	returnToken string
	whole       bool
}

func (p *plan) next(now time.Time) planned {
	p.calls++
	p.turn = (p.turn + 1) % len(p.s.Entries)
	id := model.RequestID(fmt.Sprintf("load-%d-%d", p.s.Seed, p.calls))
	if p.random.Float64() < p.s.Services.Share {
		return planned{call: p.serviceCall(id, now)}
	}
	c := p.pickChat(now)
	n := p.s.Chats.Tokens/2 + p.random.Int64N(p.s.Chats.Tokens)
	body, _ := json.Marshal(map[string]any{"model": p.s.Chats.Model, "messages": c.messages, "max_tokens": n, "stream": true})
	prefill := 1 + c.chars/charsPerToken
	return planned{chat: c, call: call{
		ID: id, Workspace: c.workspace, Chat: c.id, Body: body, Tokens: int(n), Prefill: prefill,
		Ideal: min(c.cached, prefill), ReturnToken: c.returnToken, Entry: p.turn, Due: now,
	}}
}

// charsPerToken is the ratio by which entries estimate the tokens of a prompt.
const charsPerToken = 4

// keyPrefix starts the idempotency keys of the run with the given seed.
func keyPrefix(seed uint64) string { return fmt.Sprintf("load-key-%d-", seed) }

func (p *plan) serviceCall(id model.RequestID, now time.Time) call {
	if len(p.repeat) > 0 && p.random.Float64() < 0.5 {
		c := p.repeat[0]
		p.repeat = p.repeat[1:]
		c.ID, c.Repeat, c.Due = id, true, now
		c.Entry = (c.Entry + 1) % len(p.s.Entries)
		return c
	}
	route := p.s.Services.Routes[p.random.IntN(len(p.s.Services.Routes))]
	c := call{
		ID: id, Workspace: p.pickWorkspace(now), Route: route, Key: keyPrefix(p.s.Seed) + fmt.Sprint(p.calls), Entry: p.turn, Due: now,
		Body: fmt.Appendf(nil, `{"ticket":%d}`, p.random.IntN(1_000_000)),
	}
	if p.random.Float64() < p.s.Services.RepeatShare {
		p.repeat = append(p.repeat, c)
	}
	return c
}

// pickChat returns the chat that is due first, or opens a new one.
func (p *plan) pickChat(now time.Time) *chat {
	surge := p.inSurge(now)
	if !surge && len(p.resting) > 0 && !now.Before(p.resting[0].due) && p.random.Float64() >= p.s.Chats.NewShare {
		return heap.Pop(&p.resting).(*chat)
	}
	p.opened++
	c := &chat{id: model.ChatID(fmt.Sprintf("chat-%d-%d", p.s.Seed, p.opened)), workspace: p.pickWorkspace(now)}
	c.say("user", p.words(p.s.Chats.PromptChars/2+p.random.Int64N(p.s.Chats.PromptChars)))
	return c
}

// pickWorkspace draws by weight; the first workspace sends every surge.
func (p *plan) pickWorkspace(now time.Time) Workspace {
	if p.inSurge(now) {
		return p.s.Workspaces[0]
	}
	total := 0.0
	for _, w := range p.s.Workspaces {
		total += w.Weight
	}
	at := p.random.Float64() * total
	for _, w := range p.s.Workspaces {
		if at -= w.Weight; at < 0 {
			return w
		}
	}
	return p.s.Workspaces[len(p.s.Workspaces)-1]
}

func (c *chat) say(role, content string) {
	c.messages = append(c.messages, message{role, content})
	c.chars += int64(len(content))
}

func (p *plan) words(chars int64) string {
	var b strings.Builder
	for int64(b.Len()) < chars {
		fmt.Fprintf(&b, "w%05d ", p.random.IntN(100_000))
	}
	return b.String()
}

// maxChatChars ends a chat before its prompt outgrows what an entry accepts.
const maxChatChars = 1 << 20

// comeBack schedules the return of a chat whose answer has arrived.
func (p *plan) comeBack(r returned, now time.Time) {
	c := r.chat
	if c.chars > maxChatChars {
		return
	}
	if r.whole {
		c.cached = 1 + c.chars/charsPerToken
		c.returnToken = r.returnToken
		c.say("assistant", r.text)
	}
	c.say("user", p.words(p.s.Chats.PromptChars/10))
	mean := p.s.Chats.ReturnSoon
	if p.random.Float64() < p.s.Chats.LateShare {
		mean = p.s.Chats.ReturnLate
	}
	c.due = now.Add(time.Duration(p.random.ExpFloat64() * float64(mean)))
	heap.Push(&p.resting, c)
}
