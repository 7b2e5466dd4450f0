package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/standin"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// answerFault is a kind of fault injected into the answer histories.
type answerFault int

// The kinds of fault. Each world combines two of them.
const (
	answerFaultFleetNetwork answerFault = iota // on connections between entries and sides
	answerFaultCallers                         // on connections between callers and entries
	answerFaultEngines                         // on connections between sides and engines
	answerFaultReplace                         // a side and its engine are killed and replaced
	answerFaultSlowCallers                     // callers that stop reading for a while
	answerFaultCount
)

// Sizes of the answer histories.
const (
	answerWorlds      = 30
	answerHistories   = 100 // per world
	answerSpread      = 10 * time.Second
	answerTokenTime   = 20 * time.Millisecond
	answerMaxAttempts = 7   // of a chat, without the calls that the network of the callers loses
	answerMaxLost     = 100 // of these
	answerTimeout     = 2 * time.Minute
	slowReaderPause   = 25 * time.Second // longer than the write deadline of a slow caller
)

// engineFaults has no refused connections: a side takes them as a crash of its
// engine, and the requests in flight would become suspects.
var engineFaults = standin.Faults{standin.FaultTruncate: 0.1}

// answerTally counts the outcomes of answer histories.
type answerTally struct {
	histories, calls int64
	wrong            int64 // answers that the caller accepts as complete and that differ from the expected one
	unfinished       int64 // histories without a complete answer after all attempts
	resumed          int64 // interrupted calls, which the caller then resumes
	planned          [answerFaultCount]int64
	injected         [standin.FaultCount]int64
}

// chat is one history: a caller that calls until it has one complete answer.
type chat struct {
	id, body      string
	tokens        int
	stream        bool
	slow          bool
	nextToken     int // index of the next token
	text          strings.Builder
	done          bool
	wrong         bool
	calls         int
	lost          int // calls that the network of the callers lost, in whole or in part
	interruptions int
}

func (c *chat) setBody() {
	c.body = fmt.Sprintf(`{"messages":[{"role":"user","content":"unit of %s"}],"max_tokens":%d,"stream":%t}`, c.id, c.tokens, c.stream)
}

// expectedText returns the text of the complete answer.
func (c *chat) expectedText() string {
	var b strings.Builder
	for i := range c.tokens {
		b.WriteString(standin.Token("motors\x00"+c.id, []byte(c.body), i))
	}
	return b.String()
}

// answerRun is one world with its answer histories.
type answerRun struct {
	*world
	faultSet map[answerFault]bool
	chats    []*chat
	tally    answerTally
}

func newAnswerRun(seed uint64, n int, faults []answerFault, disabled disabledMechanisms) *answerRun {
	r := &answerRun{world: newWorld(seed, disabled), faultSet: map[answerFault]bool{}}
	for _, f := range faults {
		r.faultSet[f] = true
	}
	for i := range n {
		c := &chat{id: fmt.Sprintf("chat-%d", i), tokens: 5 + r.rng.IntN(60), stream: r.rng.IntN(4) > 0}
		c.slow = r.faultSet[answerFaultSlowCallers] && c.stream && r.rng.IntN(10) == 0
		if c.slow {
			c.tokens += 400 // more than the buffers between engine and caller hold
		}
		c.setBody()
		r.chats = append(r.chats, c)
	}
	return r
}

// run runs the world and returns its tally. The caller provides the bubble.
func (r *answerRun) run() answerTally {
	for i := range stateEngines {
		r.addEngine(fmt.Sprint("engine-", i))
	}
	r.addEntries()
	r.startFaults()
	var wg sync.WaitGroup
	for i, c := range r.chats {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(r.seed, uint64(1000+i)))
			wait(time.Duration(rng.Int64N(int64(answerSpread))))
			r.runChat(c, rng.IntN(stateEntries))
		})
	}
	wg.Wait()
	r.count()
	r.close()
	return r.tally
}

func (r *answerRun) startFaults() {
	if r.faultSet[answerFaultFleetNetwork] {
		r.fleet.SetFaults(fleetFaults)
	}
	if r.faultSet[answerFaultCallers] {
		r.callers.SetFaults(callerFaults)
	}
	if r.faultSet[answerFaultEngines] {
		r.endpoints.SetFaults(engineFaults)
	}
	if !r.faultSet[answerFaultReplace] {
		return
	}
	r.tally.planned[answerFaultReplace] = 3
	r.group.Go(func() error {
		for range 3 {
			wait(answerSpread / 4)
			r.killSide(r.randomSide("chat"))
			r.addEngine(fmt.Sprint("engine-", len(r.sides)))
		}
		return nil
	})
}

// runChat calls until the answer is complete or answerMaxAttempts calls have failed that the
// network of the callers did not lose. A bound on all calls counts chats as unfinished that lost
// each call to an injected fault. After an interruption it calls the next entry with the same
// request id and the index of the last event.
func (r *answerRun) runChat(c *chat, first int) {
	for !c.done && !c.wrong && c.calls-c.lost < answerMaxAttempts && c.lost < answerMaxLost {
		var losses atomic.Int64
		r.sendChat(c, (first+c.calls)%len(r.entries), &losses)
		c.calls++
		if !c.done && losses.Load() > 0 {
			c.lost++
		}
		if !c.done {
			c.interruptions++
			wait(200 * time.Millisecond)
		}
	}
}

// sendChat makes one call and reports whether it was refused as not run. losses, which may be
// nil, counts the faults of the network of the callers that lose something.
func (r *answerRun) sendChat(c *chat, to int, losses *atomic.Int64) (refused bool) {
	ctx, cancel := context.WithTimeout(standin.CountLosses(r.ctx, losses), answerTimeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.entries[to].id+"/v1/chat/completions", strings.NewReader(c.body))
	req.Header.Set("Authorization", "Bearer "+stateKey)
	req.Header.Set("Request-Id", "r-"+c.id)
	req.Header.Set("Chat-Id", c.id)
	if c.nextToken > 0 {
		req.Header.Set("Last-Event-ID", fmt.Sprint(c.nextToken-1))
	}
	resp, err := r.callers.RoundTrip(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusedNotRun(resp.Body)
	}
	switch {
	case resp.Header.Get("Request-Id") != "r-"+c.id:
	case c.stream:
		c.readEvents(resp.Body)
	default:
		c.readAnswer(resp.Body)
	}
	return false
}

// refusedNotRun reports whether body is a refusal that says "not run".
func refusedNotRun(body io.Reader) bool {
	var p struct {
		Outcome model.Outcome `json:"outcome"`
	}
	return json.NewDecoder(body).Decode(&p) == nil && p.Outcome == model.OutcomeNotRun
}

func (c *chat) readAnswer(body io.Reader) {
	var answer struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if json.NewDecoder(body).Decode(&answer) != nil || len(answer.Choices) != 1 {
		return
	}
	c.text.WriteString(answer.Choices[0].Message.Content)
	c.finish()
}

func (c *chat) readEvents(body io.Reader) {
	id := -1
	for s := bufio.NewScanner(body); s.Scan(); {
		if v, ok := strings.CutPrefix(s.Text(), "id: "); ok {
			if _, err := fmt.Sscan(v, &id); err != nil {
				return
			}
		}
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			c.finish()
			return
		}
		var e struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(data), &e) != nil || len(e.Choices) != 1 {
			return // truncated in the middle of an event, or an error event
		}
		if e.Choices[0].Delta.Content == "" {
			continue
		}
		if id != c.nextToken {
			c.wrong = true
			return
		}
		c.nextToken++
		c.text.WriteString(e.Choices[0].Delta.Content)
		if c.slow && c.nextToken == 5 {
			wait(slowReaderPause)
		}
	}
}

// finish marks the answer as complete and compares it with the expected text.
func (c *chat) finish() {
	c.done = true
	c.wrong = c.wrong || c.text.String() != c.expectedText()
}

func (r *answerRun) count() {
	t := &r.tally
	t.histories = int64(len(r.chats))
	for _, c := range r.chats {
		t.calls += int64(c.calls)
		t.resumed += int64(c.interruptions)
		if c.wrong {
			t.wrong++
		}
		if !c.done && !c.wrong {
			t.unfinished++
		}
		if c.slow {
			t.planned[answerFaultSlowCallers]++
		}
	}
	for f := range standin.FaultCount {
		t.injected[f] = r.fleet.Injected(f) + r.callers.Injected(f) + r.endpoints.Injected(f)
	}
}

func (t *answerTally) add(o answerTally) {
	t.histories += o.histories
	t.calls += o.calls
	t.wrong += o.wrong
	t.unfinished += o.unfinished
	t.resumed += o.resumed
	for i := range o.planned {
		t.planned[i] += o.planned[i]
	}
	for i := range o.injected {
		t.injected[i] += o.injected[i]
	}
}

// answerFaultPair returns the two faults of world i. The worlds go through all
// pairs in turn.
func answerFaultPair(i int) []answerFault {
	n := int(answerFaultCount)
	a := i % n
	return []answerFault{answerFault(a), answerFault((a + 1 + i/n%(n-1)) % n)}
}

func runAnswerWorlds(env Env, worlds, histories int, disabled disabledMechanisms) answerTally {
	var sum answerTally
	for i := range worlds {
		env.Bubble(func() {
			sum.add(newAnswerRun(env.Seed*2_000_003+uint64(i)*977, histories, answerFaultPair(i), disabled).run())
		})
	}
	return sum
}
