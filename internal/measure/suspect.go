package measure

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Targets of docs/design.md, section 2.
const (
	exMaxCrashed = 3  // endpoints that one request may crash
	poisonCalls  = 50 // calls with each crashing request through each entry
)

// suspectScenarios returns the scenarios of requests that crash endpoints.
func suspectScenarios() []Scenario {
	return []Scenario{{Name: "suspect", Run: suspectCrash}}
}

// suspectCase describes the crashing requests and the faults of one run.
type suspectCase struct {
	name       string
	poisons    int  // different crashing requests at the same time
	chat       bool // the caller sends a chat id
	logDown    bool
	lagging    bool          // one entry is partitioned from the exchange, and instance lists lag
	noExchange bool          // all processes are partitioned from the exchange; set by tests only
	crashTime  time.Duration // from the attempt to the crash
}

var suspectCases = []suspectCase{
	{name: "log-up", poisons: 1, chat: true, crashTime: 50 * time.Millisecond},
	{name: "log-down", poisons: 1, logDown: true, crashTime: 50 * time.Millisecond},
	{name: "two-at-once", poisons: 2, logDown: true, crashTime: 20 * time.Millisecond},
	{name: "lagging-entry", poisons: 1, logDown: true, lagging: true, crashTime: 5 * time.Millisecond},
}

func suspectCrash(env Env) []Figure {
	var out []Figure
	for _, u := range exUsers {
		inFlight := 0
		for _, c := range suspectCases {
			env.Bubble(func() {
				r := runSuspects(env, u, c)
				name := "suspect/" + u.name + "/" + c.name
				out = append(out,
					Figure{Name: name + "/endpoints", Value: float64(r.crashed), Unit: "endpoints", Relation: AtMost, Target: exMaxCrashed},
					Figure{Name: name + "/innocents", Value: float64(r.refused), Unit: "refused", Relation: Equal, Target: 0},
				)
				inFlight += r.inFlight
			})
		}
		// Without innocents in flight at a crash, the number refused has no meaning.
		out = append(out, Figure{Name: "suspect/" + u.name + "/touched", Value: float64(inFlight), Unit: "innocents", Relation: AtLeast, Target: 1})
	}
	return out
}

// suspectResult counts the effects of crashing requests.
type suspectResult struct {
	crashed  int // most endpoints that one request crashed
	refused  int // innocents refused although they were in flight at fewer than two crashes
	inFlight int // innocents in flight at a crash
}

// runSuspects sends each crashing request 50 times through every entry, through
// all entries at the same time, beside innocent traffic.
func runSuspects(env Env, u exUser, c suspectCase) suspectResult {
	f := newExFleet(env, u)
	crashes, inFlight := make(chan [2]string, 1024), make(chan string, 4096)
	for _, s := range f.sides {
		s.endpoint.crashDelay, s.endpoint.downTime = c.crashTime, 500*time.Millisecond
		s.endpoint.onInnocent = func(body []byte) { inFlight <- string(body) }
		s.endpoint.poison = func(body []byte) bool {
			i := bytes.Index(body, []byte("poison-"))
			if i >= 0 {
				crashes <- [2]string{string(body[i+7 : i+8]), s.id}
			}
			return i >= 0
		}
	}
	if c.lagging {
		f.setListLag(func(id string) time.Duration { return time.Duration(len(id)%3) * 2 * time.Second })
		isolated := f.entries[0].id + ".c:1"
		f.setPartition(func(from, to string) bool { return from == isolated || to == isolated })
	}
	if c.noExchange {
		f.setPartition(func(_, to string) bool { return strings.HasSuffix(to, ".c:1") })
	}
	f.logDown.Store(c.logDown)
	refused := make(chan string, 4096)
	wait := f.sendInnocents(refused)
	f.wait(8 * time.Second) // until the endpoints are warm and run several requests at once
	done := make(chan struct{})
	for p := range c.poisons {
		for _, e := range f.entries {
			start := time.Duration(f.rng.IntN(30_000)) * time.Microsecond
			go func() {
				f.sendPoison(e, p, start, c.chat)
				done <- struct{}{}
			}()
		}
	}
	for range c.poisons * len(f.entries) {
		<-done
	}
	wait()
	f.close()
	close(crashes)
	close(inFlight)
	close(refused)
	return countSuspects(crashes, inFlight, refused)
}

// countSuspects evaluates the observations of a run: the crashes as pairs of
// crashing request and endpoint, the bodies of innocents in flight at a crash,
// and the bodies of innocents refused as suspects.
func countSuspects(crashes <-chan [2]string, inFlight, refused <-chan string) suspectResult {
	var r suspectResult
	endpoints := map[string]map[string]bool{}
	for crash := range crashes {
		if endpoints[crash[0]] == nil {
			endpoints[crash[0]] = map[string]bool{}
		}
		endpoints[crash[0]][crash[1]] = true
		r.crashed = max(r.crashed, len(endpoints[crash[0]]))
	}
	seenAtCrash := map[string]int{}
	for body := range inFlight {
		seenAtCrash[body]++
	}
	r.inFlight = len(seenAtCrash)
	for body := range refused {
		if seenAtCrash[body] < 2 {
			r.refused++
		}
	}
	return r
}

// sendPoison sends one crashing request repeatedly, without delay after a crash.
// After a refusal it waits a little, as a caller in a loop does.
func (f *exFleet) sendPoison(e *exEntry, p int, start time.Duration, chat bool) {
	f.wait(start)
	id := ""
	if chat {
		id = fmt.Sprintf("poison-chat-%d", p)
	}
	body := fmt.Sprintf(exChatBody, fmt.Sprintf("poison-%d", p))
	for i := range poisonCalls {
		_, reason := e.send(f.ctx, p, "/v1/chat/completions", fmt.Sprintf("%s-p%d-%d", e.id, p, i), id, body)
		if reason != "" && reason != model.ReasonCrashed {
			f.wait(73 * time.Millisecond)
		}
	}
}

// sendInnocents sends other requests, each several times, until the returned
// function is called. It sends the bodies of those refused as suspects to refused.
func (f *exFleet) sendInnocents(refused chan<- string) (wait func()) {
	ctx, stop := context.WithCancel(f.ctx)
	streams := 6 * f.user.engines // several requests at once at each engine
	done := make(chan struct{})
	for n := range streams {
		start := time.Duration(f.rng.IntN(100_000)) * time.Microsecond
		go func() {
			exPause(ctx, start)
			for i := 0; ctx.Err() == nil; i++ {
				e := f.entries[(n+i/3)%len(f.entries)]
				id := fmt.Sprintf("innocent-%d-%d", n, i)
				body := strings.ReplaceAll(fmt.Sprintf(exChatBody, fmt.Sprintf("%d-%d", n, i/3)), "64", "8")
				if _, reason := e.send(f.ctx, n%exWorkspaces, "/v1/chat/completions", id, fmt.Sprintf("chat-%d", n), body); reason == model.ReasonSuspect {
					refused <- body
				}
				exPause(ctx, 31*time.Millisecond)
			}
			done <- struct{}{}
		}()
	}
	return func() {
		stop()
		for range streams {
			<-done
		}
	}
}
