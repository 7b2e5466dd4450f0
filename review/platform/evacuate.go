package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

func init() { cases["evacuate"] = evacuatedZone }

// evacuatedZone takes one of two zones out of service while callers send streams at a steady
// rate. The engine of the other zone then reads more prompts than before, one after the
// other, and its first events come later.
func evacuatedZone(w *world) (bool, error) {
	const (
		tolerated = 3
		prompt    = 100 * time.Millisecond // to read 5,500 tokens
		every     = 62 * time.Millisecond  // 16 requests a second, 0.8 of what two engines read
		patience  = 3200 * time.Millisecond
		before    = 5 * time.Second
		after     = 6 * time.Second
		wait      = 10 * time.Second
	)
	w.store.SetConfig(standin.Config(1, []standin.Route{
		{Name: "lookup", Path: "/stream/lookup/", Type: "stream", Pool: "engines", Timeout: wait, LatencyTarget: 400 * time.Millisecond, Attempts: 2, Resumable: true},
	}, map[string][]string{"studio": {testKey}}))
	var list []*engine
	for i := range 2 {
		e, err := w.addEngine(fmt.Sprintf("engine-%d", i), 64)
		if err != nil {
			return false, err
		}
		e.queue, e.events, e.interval, e.prompt = 64, 20, 30*time.Millisecond, prompt
		w.register(e.id, e.address, "engines", fmt.Sprintf("dc-%d", i), "ready", e.began)
		list = append(list, e)
	}
	for i := range 2 {
		if err := w.addRouter(fmt.Sprintf("router-%d", i), fmt.Sprintf("dc-%d", i)); err != nil {
			return false, err
		}
	}
	if err := w.startRouters(); err != nil {
		return false, err
	}
	pause(3500 * time.Millisecond) // StableWindowMs
	// Each caller keeps a connection and uses it again once its request has ended.
	idle := [2]chan *caller{make(chan *caller, 1000), make(chan *caller, 1000)}
	collect := newOwner()
	var results []outcome       // of collect, as onKept
	onKept := map[string]bool{} // requests that were not the first ones of their connections
	var wg sync.WaitGroup
	begin, evacuated := time.Now(), false
	for n := 0; time.Since(begin) < before+after; n++ {
		if w.trouble && !evacuated && time.Since(begin) >= before {
			evacuated = true
			w.store.Evacuate("dc-1", true)
			w.logf("evacuation of dc-1 acknowledged")
		}
		wg.Go(func() {
			var c *caller
			kept := true
			select {
			case c = <-idle[n%2]:
			default:
				kept = false
				var err error
				if c, err = w.dial(fmt.Sprintf("caller-%d", n), w.routers[n%2]); err != nil {
					w.logf("no connection: %v", err)
					return
				}
			}
			o := c.do("POST", "/stream/lookup/1", wait, streamHeaders(n)...)
			if o.err == nil {
				idle[n%2] <- c
			} else {
				_ = c.conn.Close()
			}
			collect.do(func() {
				results = append(results, o)
				if kept {
					onKept[o.id] = true
				}
			})
		})
		pause(every)
	}
	wg.Wait()
	runs := runsOf(list...)
	lost, answered := 0, 0
	for _, o := range results {
		if o.status != 0 {
			answered++
		}
		if len(runs[o.id]) > 0 && onKept[o.id] && o.closedUnanswered() && o.took < patience {
			lost++
			w.logf("request %s was passed on to %s, and its kept connection was closed without an answer after %.3f s", o.id, runs[o.id][0].engine, o.took.Seconds())
		}
	}
	w.logf("of %d requests, %d were answered; %d kept connections were closed without an answer after the request had been passed on to a sound engine; the rule allows %d", len(results), answered, lost, tolerated)
	return lost <= tolerated, nil
}
