package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

func init() { cases["idle"] = idleCallers }

// idleCallers sends each request on a connection of its own, which the caller then leaves
// open without using it again. Without the disruption callers close it at the end of the
// operators' idle time.
func idleCallers(w *world) (bool, error) {
	const (
		routers  = 2
		every    = time.Second / 128 // all requests of the site
		length   = 80 * time.Second
		idleTime = 15 * time.Second // IdleTimeoutMs
		timeout  = 2 * time.Second
		slack    = 500 * time.Millisecond
		last     = 10 * time.Second // the part of the run that is judged
	)
	w.store.SetConfig(standin.Config(1, []standin.Route{
		{Name: "reserve", Path: "/reserve/", Type: "unsafe", Pool: "service", Timeout: timeout, LatencyTarget: 300 * time.Millisecond, Attempts: 1},
	}, map[string][]string{"studio": {testKey}}))
	for i := range 4 {
		e, err := standin.NewEndpoint(fmt.Sprintf("service-%d", i))
		if err != nil {
			return false, err
		}
		e.SetFaults(standin.EndpointFaults{Latency: 20 * time.Millisecond})
		w.register(e.ID, e.Address(), "service", fmt.Sprintf("dc-%d", i%2), "ready", time.Now().UnixMilli())
	}
	for i := range routers {
		if err := w.addRouter(fmt.Sprintf("router-%d", i), fmt.Sprintf("dc-%d", i%2)); err != nil {
			return false, err
		}
	}
	if err := w.startRouters(); err != nil {
		return false, err
	}
	pause(3500 * time.Millisecond) // StableWindowMs
	conns := newOwner()
	var open []net.Conn // of conns
	var wg sync.WaitGroup
	var served, refused, failed, late, due atomic.Int64
	begin := time.Now()
	for n := 0; time.Since(begin) < length; n++ {
		if n%(128*5) == 0 {
			w.logDescriptors(0, served.Swap(0), refused.Swap(0), failed.Swap(0))
		}
		judged := time.Since(begin) > length-last
		wg.Go(func() {
			sent := time.Now()
			c, err := w.dial(fmt.Sprintf("caller-%d", n), w.routers[n%routers])
			if err != nil {
				failed.Add(1)
				return
			}
			conns.do(func() { open = append(open, c.conn) })
			c.quiet = true
			o := c.do("POST", "/reserve/1", 4*time.Second)
			switch {
			case o.status == 200 && o.err == nil:
				served.Add(1)
			case o.status == 503:
				refused.Add(1)
			default:
				failed.Add(1)
			}
			took := time.Since(sent)
			if judged && (o.status == 0 || took >= timeout) {
				due.Add(1)
				if o.status == 0 || took > timeout+slack {
					late.Add(1)
				}
			}
			if !w.trouble {
				time.AfterFunc(idleTime, func() { _ = c.conn.Close() })
			}
		})
		pause(time.Until(begin.Add(time.Duration(n+1) * every)))
	}
	wg.Wait()
	w.logDescriptors(0, served.Load(), refused.Load(), failed.Load())
	for _, c := range open {
		_ = c.Close()
	}
	w.logf("CONFIG: of the requests of the last %v, %d were unanswered at the time-out, and %d of these had no answer half a second later; the rule allows half", last, due.Load(), late.Load())
	return late.Load()*2 <= due.Load(), nil
}
