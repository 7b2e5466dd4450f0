package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

func init() { cases["timeout"] = loweredTimeout }

// loweredTimeout lowers the TimeoutMs of a stream route by a new version of the
// configuration. The engines are sound and read long prompts, so that the first event comes
// later than the new time-out, though well before the callers' own deadline.
func loweredTimeout(w *world) (bool, error) {
	const (
		callers   = 12
		tolerated = 3
		apply     = 2 * time.Second // ConfigApplyMs
		prefill   = 3 * time.Second // callers wait for max(2 s, 4 x 1 s, 8 x 400 ms) = 4 s
		wait      = 10 * time.Second
		slack     = 500 * time.Millisecond
		clock     = 50 * time.Millisecond // between the caller's clock and the router's
	)
	timeout := 10 * time.Second
	setConfig := func(version int) {
		w.store.SetConfig(standin.Config(version, []standin.Route{
			{Name: "briefing", Path: "/stream/briefing/", Type: "stream", Pool: "engines", Timeout: timeout, LatencyTarget: time.Second, Attempts: 1},
		}, map[string][]string{"studio": {testKey}}))
		w.logf("version %d acknowledged: TimeoutMs %d", version, timeout.Milliseconds())
	}
	setConfig(1)
	var long atomic.Bool // prompts are long
	var list []*engine
	for i := range 2 {
		e, err := w.addEngine(fmt.Sprintf("engine-%d", i), 64)
		if err != nil {
			return false, err
		}
		e.firstEvent = func(int) time.Duration {
			if long.Load() {
				return prefill
			}
			return 20 * time.Millisecond
		}
		w.register(e.id, e.address, "engines", fmt.Sprintf("dc-%d", i), "ready", time.Now().UnixMilli())
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
	kept := make([]*caller, callers)
	for i := range kept {
		c, err := w.dial(fmt.Sprintf("caller-%d", i), w.routers[i%2])
		if err != nil {
			return false, fmt.Errorf("%w: %v", errCannotRun, err)
		}
		defer c.conn.Close()
		if o := c.do("POST", "/stream/briefing/1", wait, streamHeaders(i)...); o.status != 200 || o.err != nil {
			return false, fmt.Errorf("%w: the first request of caller %d failed", errCannotRun, i)
		}
		kept[i] = c
	}
	if w.trouble {
		timeout = 2 * time.Second
		setConfig(2)
	}
	pause(apply + time.Second)
	long.Store(true)
	results := make([]outcome, callers)
	var wg sync.WaitGroup
	for i, c := range kept {
		wg.Go(func() { results[i] = c.do("POST", "/stream/briefing/2", wait, streamHeaders(i)...) })
	}
	wg.Wait()
	runs := runsOf(list...)
	due, silent, lost := 0, 0, 0 // requests unanswered at the time-out; and half a second later; connections closed
	for i, o := range results {
		if len(runs[o.id]) == 0 {
			return false, fmt.Errorf("%w: request %s of caller %d was not passed on", errCannotRun, o.id, i)
		}
		if o.took < timeout-clock && o.status != 0 {
			continue
		}
		due++
		if o.status == 0 || o.took > timeout+slack {
			silent++
		}
		if o.closedUnanswered() {
			lost++
			w.logf("caller-%d: request %s was passed on to %s, and its kept connection was closed without an answer after %.3f s", i, o.id, runs[o.id][0].engine, o.took.Seconds())
		}
	}
	w.logf("CONFIG: of %d requests unanswered at the time-out of %d ms, %d have no answer half a second later; the rule allows half", due, timeout.Milliseconds(), silent)
	w.logf("LOST: %d kept connections were closed without an answer after the request had been passed on to a sound engine; the rule allows %d", lost, tolerated)
	return lost <= tolerated && silent*2 <= due, nil
}
