package measure

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// retryScenarios returns the scenarios of retries.
func retryScenarios() []Scenario { return []Scenario{{Name: "retry", Run: retryRun}} }

// maxExecutionsPerRequest is the target for executions per request (docs/design.md,
// section 2).
const maxExecutionsPerRequest = 1.1

// retryRun makes half of the endpoints of real entries and sides fail each
// request after executing it, and counts executions and served requests.
func retryRun(env Env) []Figure {
	var out []Figure
	for _, u := range exUsers {
		env.Bubble(func() {
			f := newExFleet(env, u)
			var failing atomic.Int64
			for i, s := range f.sides {
				if i%2 == 0 {
					s.endpoint.failRun = func() bool { failing.Add(1); return true }
				}
				s.endpoint.runTime = 30 * time.Millisecond
			}
			before := f.runs()
			sent, served := f.sendMany(30 * time.Second)
			runs := f.runs() - before
			f.close()
			name := "retry/" + u.name
			out = append(out,
				Figure{Name: name + "/amplification", Value: limitRound(float64(runs) / float64(sent)), Unit: "runs", Relation: AtMost, Target: maxExecutionsPerRequest},
				Figure{Name: name + "/served", Value: limitRound(float64(served) / float64(sent)), Unit: "part", Baseline: fmt.Sprintf("without retries about %.2f", 1-limitRound(float64(failing.Load())/float64(runs)))},
			)
		})
	}
	return out
}

// runs returns the number of executions at all endpoints so far.
func (f *exFleet) runs() int64 {
	var n int64
	for _, s := range f.sides {
		n += s.endpoint.runs.Load()
	}
	return n
}

// sendMany sends requests of new chats through all entries for the given time.
func (f *exFleet) sendMany(span time.Duration) (sent, served int64) {
	var total, ok atomic.Int64
	done := make(chan struct{})
	const streams = 8
	for _, e := range f.entries {
		for n := range streams {
			start := time.Duration(f.rng.IntN(200_000)) * time.Microsecond
			go func() {
				f.wait(start)
				for i, end := 0, time.Now().Add(span); time.Now().Before(end); i++ {
					id := fmt.Sprintf("%s-%d-%d", e.id, n, i)
					status, _ := e.send(f.ctx, n, "/v1/chat/completions", id, id, fmt.Sprintf(exChatBody, id))
					total.Add(1)
					if status == http.StatusOK {
						ok.Add(1)
					}
					f.wait(100 * time.Millisecond)
				}
				done <- struct{}{}
			}()
		}
	}
	for range streams * len(f.entries) {
		<-done
	}
	return total.Load(), ok.Load()
}
