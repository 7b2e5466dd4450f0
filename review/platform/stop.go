package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

func init() { cases["stop"] = plannedStop }

// plannedStop stops a router by SIGTERM while streams run. The engines are full and preempt
// half of the streams, within the gap after which callers abandon a stream.
func plannedStop(w *world) (bool, error) {
	const (
		engines    = 2
		slots      = 8
		queue      = 2
		preemption = 2500 * time.Millisecond // callers abandon after max(2 s, 4 x 400 ms, 8 x 400 ms) = 3.2 s
		grace      = 8 * time.Second
	)
	w.store.SetConfig(standin.Config(1, []standin.Route{
		{Name: "lookup", Path: "/stream/lookup/", Type: "stream", Pool: "engines", Timeout: 10 * time.Second, LatencyTarget: 400 * time.Millisecond, Attempts: 2, Resumable: true},
	}, map[string][]string{"studio": {testKey}}))
	born := time.Now().UnixMilli()
	var list []*engine
	for i := range engines {
		e, err := w.addEngine(fmt.Sprintf("engine-%d", i), slots)
		if err != nil {
			return false, err
		}
		e.queue = queue
		e.preempt = func(n int) time.Duration {
			if n < slots/2 {
				return preemption
			}
			return 0
		}
		e.events, e.interval = 40, 100*time.Millisecond
		w.register(e.id, e.address, "engines", fmt.Sprintf("dc-%d", i), "ready", born)
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
	results := make([]outcome, engines*(slots+queue))
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			c, err := w.dial(fmt.Sprintf("caller-%d", i), w.routers[i%2])
			if err != nil {
				results[i].err = err
				return
			}
			defer c.conn.Close()
			results[i] = c.do("POST", "/stream/lookup/1", 10*time.Second, streamHeaders(i)...)
		})
		pause(5 * time.Millisecond)
	}
	pause(200 * time.Millisecond)
	term := time.Now()
	if w.trouble {
		w.logf("SIGTERM to %s", w.routers[0].name)
		_ = syscall.Kill(w.routers[0].pid, syscall.SIGTERM)
	}
	wg.Wait()
	lost := 0
	runs := runsOf(list...)
	ran := 0
	for i, o := range results {
		if len(runs[o.id]) == 0 {
			continue // it waited at an engine until the router gave it up and answered
		}
		ran++
		if o.err == nil {
			continue
		}
		run := runs[o.id][0]
		atWork := run.ended.Sub(term) >= grace*5/6
		w.logf("caller-%d: request %s of router-%d ended without a complete answer (status %d, %v); %s was closed by the router %.3f s after the SIGTERM; at work in the last sixth of the grace time: %v",
			i, o.id, i%2, o.status, o.err, run.engine, run.ended.Sub(term).Seconds(), atWork)
		if w.trouble && i%2 == 0 && run.closed && !atWork {
			lost++
		}
	}
	if ran < engines*slots {
		return false, fmt.Errorf("%w: only %d requests ran", errCannotRun, ran)
	}
	w.logf("%d requests at the router that was stopped ended without a complete answer though they had been passed on; the rule allows none", lost)
	return lost == 0, nil
}
