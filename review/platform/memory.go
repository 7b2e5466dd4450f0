package main

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

func init() { cases["memory"] = longBodies }

// longBodies sends bodies of the longest size that the configuration allows, while other
// callers send short requests on kept connections. As the platform does, it kills a process
// that exceeds its memory.
func longBodies(w *world) (bool, error) {
	const (
		memoryKB  = 284 << 10 // MemoryMb
		maxBody   = 4194304   // MaxBodyBytes
		usualBody = 3600      // the longest of the route on the site's sheet
		long      = 45        // callers with long bodies
		upload    = 2 * time.Second
		short     = 16 // callers with short requests, at the same router
		work      = 450 * time.Millisecond
		wait      = 4 * time.Second
		tolerated = 3
	)
	config := standin.Config(1, []standin.Route{
		{Name: "reserve", Path: "/reserve/", Type: "unsafe", Pool: "service", Timeout: wait, LatencyTarget: 300 * time.Millisecond, Attempts: 1},
	}, map[string][]string{"studio": {testKey}})
	config["Limits"].(map[string]any)["MaxBodyBytes"] = maxBody
	w.store.SetConfig(config)
	var services []*standin.Endpoint
	for i := range 4 {
		e, err := standin.NewEndpoint(fmt.Sprintf("service-%d", i))
		if err != nil {
			return false, err
		}
		e.SetFaults(standin.EndpointFaults{Latency: work})
		w.register(e.ID, e.Address(), "service", fmt.Sprintf("dc-%d", i%2), "ready", time.Now().UnixMilli())
		services = append(services, e)
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
	r := w.routers[0]
	var stop, killed atomic.Bool
	var watching sync.WaitGroup
	watching.Go(func() { w.watchMemory(r, memoryKB, &stop, &killed) })
	var running, uploads sync.WaitGroup
	var lost atomic.Int64
	for i := range short {
		running.Go(func() {
			c, err := w.dial(fmt.Sprintf("short-%d", i), r)
			for n := 0; err == nil && !stop.Load(); n++ {
				o := c.do("POST", "/reserve/short", wait)
				if o.closedUnanswered() && n > 0 && ranAt(services...)[o.id] > 0 {
					w.logf("short-%d: request %s ran, and its kept connection was closed without an answer", i, o.id)
					lost.Add(1)
				}
				err = o.err
			}
			if c != nil {
				_ = c.conn.Close()
			}
		})
	}
	pause(2 * time.Second)
	size := maxBody
	if !w.trouble {
		size = usualBody
	}
	body := strings.Repeat("x", size)
	for i := range long {
		uploads.Go(func() {
			c, err := w.dial(fmt.Sprintf("long-%d", i), r)
			if err != nil {
				w.logf("long-%d: %v", i, err)
				return
			}
			defer c.conn.Close()
			c.upload("/reserve/long", wait, body, upload)
		})
	}
	uploads.Wait()
	stop.Store(true)
	running.Wait()
	watching.Wait()
	w.logf("process ended for its memory: %v; %d requests that ran lost their kept connection without an answer; the rule allows %d", killed.Load(), lost.Load(), tolerated)
	return lost.Load() <= tolerated, nil
}

// watchMemory kills the router once its memory, without that of files, exceeds limit.
func (w *world) watchMemory(r *router, limit int64, stop, killed *atomic.Bool) {
	peak := int64(0)
	for ; !stop.Load(); pause(20 * time.Millisecond) {
		status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.pid))
		for line := range strings.Lines(string(status)) {
			if v, ok := strings.CutPrefix(line, "RssAnon:"); ok {
				n, _ := strconv.ParseInt(strings.Fields(v)[0], 10, 64)
				peak = max(peak, n)
			}
		}
		if peak > limit && !killed.Load() {
			killed.Store(true)
			w.logf("%s has %d kB of memory, more than %d kB: killed", r.name, peak, limit)
			_ = syscall.Kill(r.pid, syscall.SIGKILL)
			return
		}
	}
	w.logf("%s: peak of memory since its start: %d kB", r.name, peak)
}

// upload sends a request with a body that arrives evenly over the given time.
func (c *caller) upload(path string, wait time.Duration, body string, over time.Duration) {
	const steps = 100
	id := fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(c.w.nextID.Add(1)))
	sent := time.Now()
	_ = c.conn.SetDeadline(sent.Add(wait + time.Second))
	_, err := io.WriteString(c.conn, "POST "+path+" HTTP/1.1\r\nHost: "+host+"\r\nX-Goldcrestturn-Request-Id: "+id+
		fmt.Sprintf("\r\nX-Goldcrestturn-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", wait.Milliseconds(), testKey, len(body)))
	for i := 0; i < steps && err == nil; i++ {
		_, err = io.WriteString(c.conn, body[i*len(body)/steps:(i+1)*len(body)/steps])
		pause(time.Until(sent.Add(time.Duration(i+1) * over / steps)))
	}
	o := outcome{id: id, err: err}
	if err == nil {
		o.read(c.r, "POST")
	}
	c.w.logf("%s POST %s id=%s, body of %d bytes -> status=%d err=%v after %.3f s", c.name, path, id, len(body), o.status, o.err, time.Since(sent).Seconds())
}
