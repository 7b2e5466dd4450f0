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
	exMaxCrashed = 3 // endpoints that one request crashes
	exSends      = 50
)

// suspectScenarios lists the scenarios of requests that crash endpoints.
func suspectScenarios() []Scenario {
	return []Scenario{{Name: "suspect", Run: suspectCrash}}
}

// suspectCase is one way in which crashing requests meet the fleet.
type suspectCase struct {
	name      string
	poisons   int  // different crashing requests at once
	chat      bool // the caller sends a chat id
	logDown   bool
	lagging   bool // one entry hears nothing over the exchange, lists lag
	alone     bool // nobody hears of crashes over the exchange; tests only
	crashTime time.Duration
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
		touched := 0
		for _, c := range suspectCases {
			env.Bubble(func() {
				r := runSuspects(env, u, c)
				name := "suspect/" + u.name + "/" + c.name
				out = append(out,
					Figure{Name: name + "/endpoints", Value: float64(r.crashed), Unit: "endpoints", Relation: AtMost, Target: exMaxCrashed},
					Figure{Name: name + "/innocents", Value: float64(r.refused), Unit: "refused", Relation: Equal, Target: 0},
				)
				touched += r.touched
			})
		}
		// Without innocents in flight at a crash, none refused would mean nothing.
		out = append(out, Figure{Name: "suspect/" + u.name + "/touched", Value: float64(touched), Unit: "innocents", Relation: AtLeast, Target: 1})
	}
	return out
}

// suspectResult is what crashing requests did.
type suspectResult struct {
	crashed int // most endpoints that one request crashed
	refused int // innocents refused although only one crash touched them
	touched int // innocents in flight at a crash
}

// runSuspects sends each crashing request 50 times through every entry, all
// entries at once, beside innocent traffic.
func runSuspects(env Env, u exUser, c suspectCase) suspectResult {
	f := newExFleet(env, u)
	hits, touched := make(chan [2]string, 1024), make(chan string, 4096)
	for _, s := range f.sides {
		s.endpoint.delay, s.endpoint.down = c.crashTime, 500*time.Millisecond
		s.endpoint.touched = func(body []byte) { touched <- string(body) }
		s.endpoint.poison = func(body []byte) bool {
			i := bytes.Index(body, []byte("poison-"))
			if i >= 0 {
				hits <- [2]string{string(body[i+7 : i+8]), s.id}
			}
			return i >= 0
		}
	}
	if c.lagging {
		f.lags(func(id string) time.Duration { return time.Duration(len(id)%3) * 2 * time.Second })
		cut := f.entries[0].id + ".c:1"
		f.cuts(func(from, to string) bool { return from == cut || to == cut })
	}
	if c.alone {
		f.cuts(func(_, to string) bool { return strings.HasSuffix(to, ".c:1") })
	}
	f.logDown.Store(c.logDown)
	refused := make(chan string, 4096)
	wait := f.innocents(refused)
	f.wait(8 * time.Second) // the endpoints become warm and run several requests at once
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
	f.end()
	close(hits)
	close(touched)
	close(refused)
	return suspectCount(hits, touched, refused)
}

func suspectCount(hits <-chan [2]string, touched, refused <-chan string) suspectResult {
	var r suspectResult
	endpoints := map[string]map[string]bool{}
	for hit := range hits {
		if endpoints[hit[0]] == nil {
			endpoints[hit[0]] = map[string]bool{}
		}
		endpoints[hit[0]][hit[1]] = true
		r.crashed = max(r.crashed, len(endpoints[hit[0]]))
	}
	crashes := map[string]int{}
	for body := range touched {
		crashes[body]++
	}
	r.touched = len(crashes)
	for body := range refused {
		if crashes[body] < 2 {
			r.refused++
		}
	}
	return r
}

// sendPoison sends one crashing request again as soon as it fails. After a
// refusal as suspect it waits a little, as a caller in a loop does.
func (f *exFleet) sendPoison(e *exEntry, p int, start time.Duration, chat bool) {
	f.wait(start)
	id := ""
	if chat {
		id = fmt.Sprintf("poison-chat-%d", p)
	}
	body := fmt.Sprintf(exChatBody, fmt.Sprintf("poison-%d", p))
	for i := range exSends {
		_, reason := e.send(f.ctx, p, "/v1/chat/completions", fmt.Sprintf("%s-p%d-%d", e.id, p, i), id, body)
		if reason != "" && reason != model.ReasonCrashed {
			f.wait(73 * time.Millisecond)
		}
	}
}

// innocents sends other requests, each again when it fails, and tells the
// bodies of those refused as suspects.
func (f *exFleet) innocents(refused chan<- string) (wait func()) {
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
