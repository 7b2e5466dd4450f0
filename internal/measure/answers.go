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
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/standin"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// answerFault is one kind of fault of the answer histories.
type answerFault int

// The kinds of fault. Each world has two of them together.
const (
	answerFleetNet answerFault = iota // between entries and sides
	answerCallers                     // between callers and entries
	answerEngines                     // between sides and engines
	answerReplace                     // a side and its engine are lost and others come
	answerSlow                        // callers that stop reading for a while
	answerFaultCount
)

// Sizes of the answer histories.
const (
	answerWorlds    = 30
	answerHistories = 100 // per world
	answerSpread    = 10 * time.Second
	answerTokenTime = 20 * time.Millisecond
	answerTries     = 10
	answerTimeout   = 2 * time.Minute
	slowPause       = 25 * time.Second // longer than the deadline of a slow caller
)

// engineFaults leaves out refused connections, by which a side takes its engine
// for crashed: the requests in flight would become suspects.
var engineFaults = standin.Faults{standin.FaultCut: 0.1}

// answerTally sums up answer histories.
type answerTally struct {
	histories, calls int64
	wrong            int64 // answers that the caller takes for whole and that are not the right one
	unfinished       int64 // histories without a whole answer after all tries
	resumed          int64 // calls with Last-Event-ID
	planned          [answerFaultCount]int64
	injected         [standin.FaultCount]int64
}

// chat is one history: one answer that a caller wants whole.
type chat struct {
	id, body string
	tokens   int
	stream   bool
	slow     bool
	next     int // index of the next token
	text     strings.Builder
	done     bool
	wrong    bool
	calls    int
	cuts     int
}

func (c *chat) setBody() {
	c.body = fmt.Sprintf(`{"messages":[{"role":"user","content":"unit of %s"}],"max_tokens":%d,"stream":%t}`, c.id, c.tokens, c.stream)
}

// expect returns the whole answer.
func (c *chat) expect() string {
	var b strings.Builder
	for i := range c.tokens {
		b.WriteString(standin.Token("motors\x00"+c.id, []byte(c.body), i))
	}
	return b.String()
}

type answerRun struct {
	*world
	faultSet map[answerFault]bool
	chats    []*chat
	tally    answerTally
}

func newAnswerRun(seed uint64, n int, faults []answerFault, wo without) *answerRun {
	r := &answerRun{world: newWorld(seed, wo), faultSet: map[answerFault]bool{}}
	for _, f := range faults {
		r.faultSet[f] = true
	}
	for i := range n {
		c := &chat{id: fmt.Sprintf("chat-%d", i), tokens: 5 + r.rng.IntN(60), stream: r.rng.IntN(4) > 0}
		c.slow = r.faultSet[answerSlow] && c.stream && r.rng.IntN(10) == 0
		if c.slow {
			c.tokens += 400 // more than the buffers on the way hold
		}
		c.setBody()
		r.chats = append(r.chats, c)
	}
	return r
}

// run runs the world inside a bubble and returns its tally.
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
			r.live(c, rng.IntN(stateEntries))
		})
	}
	wg.Wait()
	r.count()
	r.close()
	return r.tally
}

func (r *answerRun) startFaults() {
	if r.faultSet[answerFleetNet] {
		r.fleet.SetFaults(fleetFaults)
	}
	if r.faultSet[answerCallers] {
		r.callers.SetFaults(callerFaults)
	}
	if r.faultSet[answerEngines] {
		r.back.SetFaults(engineFaults)
	}
	if !r.faultSet[answerReplace] {
		return
	}
	r.tally.planned[answerReplace] = 3
	r.group.Go(func() error {
		for range 3 {
			wait(answerSpread / 4)
			r.loseSide(r.someSide("chat"))
			r.addEngine(fmt.Sprint("engine-", len(r.sides)))
		}
		return nil
	})
}

// live asks for the answer, and after a cut again through the next entry with
// the same request id and the index of the last event.
func (r *answerRun) live(c *chat, first int) {
	for try := 0; try < answerTries && !c.done && !c.wrong; try++ {
		c.calls++
		r.ask(c, (first+try)%len(r.entries))
		if !c.done {
			c.cuts++
			wait(200 * time.Millisecond)
		}
	}
}

// ask sends the chat once and reports whether it was refused as not run.
func (r *answerRun) ask(c *chat, to int) (refused bool) {
	ctx, cancel := context.WithTimeout(r.ctx, answerTimeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.entries[to].id+"/v1/chat/completions", strings.NewReader(c.body))
	req.Header.Set("Authorization", "Bearer "+stateKey)
	req.Header.Set("Request-Id", "r-"+c.id)
	req.Header.Set("Chat-Id", c.id)
	if c.next > 0 {
		req.Header.Set("Last-Event-ID", fmt.Sprint(c.next-1))
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
		c.readWhole(resp.Body)
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

func (c *chat) readWhole(body io.Reader) {
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
			return // cut in the middle of an event, or an error event
		}
		if e.Choices[0].Delta.Content == "" {
			continue
		}
		if id != c.next {
			c.wrong = true
			return
		}
		c.next++
		c.text.WriteString(e.Choices[0].Delta.Content)
		if c.slow && c.next == 5 {
			wait(slowPause)
		}
	}
}

// finish takes the answer as whole and compares it.
func (c *chat) finish() {
	c.done = true
	c.wrong = c.wrong || c.text.String() != c.expect()
}

func (r *answerRun) count() {
	t := &r.tally
	t.histories = int64(len(r.chats))
	for _, c := range r.chats {
		t.calls += int64(c.calls)
		t.resumed += int64(c.cuts)
		if c.wrong {
			t.wrong++
		}
		if !c.done && !c.wrong {
			t.unfinished++
		}
		if c.slow {
			t.planned[answerSlow]++
		}
	}
	for f := range standin.FaultCount {
		t.injected[f] = r.fleet.Injected(f) + r.callers.Injected(f) + r.back.Injected(f)
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

// answerPairs returns the two faults of world i, every pair in turn.
func answerPairs(i int) []answerFault {
	n := int(answerFaultCount)
	a := i % n
	return []answerFault{answerFault(a), answerFault((a + 1 + i/n%(n-1)) % n)}
}

func runAnswerWorlds(env Env, worlds, histories int, wo without) answerTally {
	var sum answerTally
	for i := range worlds {
		env.Bubble(func() {
			sum.add(newAnswerRun(env.Seed*2_000_003+uint64(i)*977, histories, answerPairs(i), wo).run())
		})
	}
	return sum
}
