package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

func init() { cases["descriptors"] = descriptors }

// descriptors replaces the engines of a service again and again while callers keep it busy,
// and then sends requests of another service on new connections.
func descriptors(w *world) (bool, error) {
	const (
		engines  = 47
		callers  = 700 // streams that run at once, over all routers
		routers  = 2
		replaced = 7 // at a time
		gap      = time.Second
		releases = 55 * time.Second
		drain    = 3 * time.Second // DrainMs
		timeout  = 2 * time.Second // of the route of the requests at the end
		slack    = 500 * time.Millisecond
		probes   = 10 // of them for each router
	)
	w.store.SetConfig(standin.Config(1, []standin.Route{
		{Name: "lookup", Path: "/stream/lookup/", Type: "stream", Pool: "engines", Timeout: 10 * time.Second, LatencyTarget: 500 * time.Millisecond, Attempts: 2, Resumable: true},
		{Name: "reserve", Path: "/reserve/", Type: "unsafe", Pool: "service", Timeout: timeout, LatencyTarget: 300 * time.Millisecond, Attempts: 1},
	}, map[string][]string{"studio": {testKey}}))
	started := 0
	start := func() (*engine, error) {
		e, err := w.addEngine(fmt.Sprintf("engine-%d", started), 64)
		if err != nil {
			return nil, err
		}
		started++
		e.quiet = true
		e.events, e.interval = 20, 100*time.Millisecond
		e.pool, e.dataCentre = "engines", fmt.Sprintf("dc-%d", started%2)
		w.register(e.id, e.address, e.pool, e.dataCentre, "ready", time.Now().UnixMilli())
		return e, nil
	}
	var list []*engine
	for range engines {
		e, err := start()
		if err != nil {
			return false, err
		}
		list = append(list, e)
	}
	service, err := standin.NewEndpoint("service-0")
	if err != nil {
		return false, err
	}
	service.SetFaults(standin.EndpointFaults{Latency: 60 * time.Millisecond})
	w.register(service.ID, service.Address(), "service", "dc-0", "ready", time.Now().UnixMilli())
	for i := range routers {
		if err := w.addRouter(fmt.Sprintf("router-%d", i), fmt.Sprintf("dc-%d", i%2)); err != nil {
			return false, err
		}
	}
	if err := w.startRouters(); err != nil {
		return false, err
	}
	pause(4500 * time.Millisecond) // StableWindowMs
	var stop atomic.Bool
	var wg sync.WaitGroup
	var served, refused, failed atomic.Int64
	for i := range callers {
		wg.Go(func() { w.keepStreaming(i, w.routers[i%routers], &stop, &served, &refused, &failed) })
		pause(3 * time.Millisecond)
	}
	begin := time.Now()
	for n := 0; time.Since(begin) < releases; n++ {
		if n%5 == 0 {
			w.logDescriptors(started-engines, served.Swap(0), refused.Swap(0), failed.Swap(0))
		}
		if w.trouble {
			for range replaced {
				e, err := start()
				if err != nil {
					return false, err
				}
				old := list[0]
				list = append(list[1:], e)
				w.register(old.id, old.address, old.pool, old.dataCentre, "draining", old.began)
				time.AfterFunc(drain+500*time.Millisecond, func() { old.leave() })
			}
		}
		pause(gap)
	}
	// Nothing leaves any more. The callers go on on their kept connections.
	pause(drain + 2*time.Second)
	w.logDescriptors(started-engines, served.Swap(0), refused.Swap(0), failed.Swap(0))
	var late, due atomic.Int64
	var probing sync.WaitGroup
	for i := range routers * probes {
		probing.Go(func() {
			sent := time.Now()
			c, err := w.dial(fmt.Sprintf("late-%d", i), w.routers[i%routers])
			if err != nil {
				w.logf("late-%d: no connection: %v", i, err)
				return
			}
			defer c.conn.Close()
			o := c.do("POST", "/reserve/1", 4*time.Second)
			took := time.Since(sent)
			if o.status != 0 && took < timeout {
				return
			}
			due.Add(1)
			if o.status == 0 || took > timeout+slack {
				late.Add(1)
			}
		})
		pause(100 * time.Millisecond)
	}
	probing.Wait()
	w.logDescriptors(started-engines, served.Load(), refused.Load(), failed.Load())
	stop.Store(true)
	wg.Wait()
	w.logf("CONFIG: of %d requests on new connections, %d were unanswered at the time-out, and %d had no answer half a second later; the rule allows half of these", routers*probes, due.Load(), late.Load())
	return late.Load()*2 <= due.Load(), nil
}

// keepStreaming sends one stream after the other on a kept connection until stop is set.
func (w *world) keepStreaming(i int, r *router, stop *atomic.Bool, served, refused, failed *atomic.Int64) {
	var c *caller
	for n := 0; !stop.Load(); n++ {
		if c == nil {
			next, err := w.dial(fmt.Sprintf("caller-%d", i), r)
			if err != nil {
				failed.Add(1)
				pause(time.Second)
				continue
			}
			c = next
			c.quiet = true
		}
		o := c.do("POST", fmt.Sprintf("/stream/lookup/%d-%d", i, n), 10*time.Second, streamHeaders(i)...)
		switch {
		case o.status == 200 && o.err == nil:
			served.Add(1)
		case o.status == 503:
			refused.Add(1)
			pause(300 * time.Millisecond)
		default:
			failed.Add(1)
			pause(300 * time.Millisecond)
		}
		if o.err != nil {
			_ = c.conn.Close()
			c = nil
		}
	}
	if c != nil {
		_ = c.conn.Close()
	}
}

// logDescriptors logs how many descriptors each router has open.
func (w *world) logDescriptors(replaced int, served, refused, failed int64) {
	for _, r := range w.routers {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.pid))
		w.logf("%s has %d descriptors open (error: %v); replaced so far: %d; requests since: %d served, %d refused (503), %d others", r.name, len(open), err, replaced, served, refused, failed)
	}
}
