package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// memoryMB is the memory of the smallest routers of the platform, which kills a process
// that exceeds it.
const memoryMB = 184

// Guards against a router that runs out of memory, and with it all requests of other
// callers, since the bounds on heads, bodies and events hold for each of them and not for
// all together.
func TestMemoryUnderAnswersWithoutEnd(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const callers, interval = 150, 5 * time.Millisecond
	binary := buildRouter(t)
	for name, c := range map[string]struct{ path, endless string }{
		"bodies": {"/read/x", standin.EndlessBody},
		"heads":  {"/read/x", standin.EndlessHead},
		"events": {"/stream/brief/x", standin.EndlessBody},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, binary, 0, 0, 0)
			for i := range 8 {
				f.addDirectEndpoint(fmt.Sprint("service-", i), "service").SetFaults(standin.EndpointFaults{Endless: c.endless})
				f.addDirectEndpoint(fmt.Sprint("engine-", i), "engines").SetFaults(standin.EndpointFaults{Endless: c.endless})
			}
			sound := f.addDirectEndpoint("sound", "sound")
			sound.SetFaults(healthyEndpoint)
			f.underMemoryLimit(func(ctx context.Context, p *process, send func(path, body string) int) {
				var running sync.WaitGroup
				for range callers {
					running.Go(func() {
						if send(c.path, "") == http.StatusOK {
							f.fail("an answer without end was passed on as a success")
						}
					})
					time.Sleep(interval)
				}
				running.Wait()
			})
			f.report(1)
		})
	}
}

// Guards against a router that runs out of memory since many callers send long bodies at
// once, each within the configured limit.
func TestMemoryUnderLongBodies(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const callers, size = 60, 4 << 20
	f := newFleet(t, buildRouter(t), 0, 0, 0)
	f.addDirectEndpoint("service", "service").SetFaults(standin.EndpointFaults{Latency: time.Second})
	f.addDirectEndpoint("sound", "sound").SetFaults(healthyEndpoint)
	f.underMemoryLimit(func(_ context.Context, _ *process, send func(path, body string) int) {
		var running sync.WaitGroup
		var answered atomic.Int64
		body := strings.Repeat("x", size)
		for range callers {
			running.Go(func() {
				if send("/assign/x", body) == http.StatusOK {
					answered.Add(1)
				}
			})
		}
		running.Wait()
		if answered.Load() == 0 {
			f.fail("no long body was taken")
		}
	})
	f.report(1)
}

// addDirectEndpoint starts an endpoint that is reached without a proxy.
func (f *fleet) addDirectEndpoint(id, pool string) *standin.Endpoint {
	e, err := standin.NewEndpoint(id)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(e.Close)
	f.store.Register(e, pool, "dc-0", "ready")
	return e
}

// underMemoryLimit starts a router with memoryMB and checks, while load runs, that its
// memory stays within that and that callers of another pool are answered.
func (f *fleet) underMemoryLimit(load func(ctx context.Context, p *process, send func(path, body string) int)) {
	config := routeConfig(2, "key-1")
	config["Limits"].(map[string]any)["MaxBodyBytes"] = 4 << 20
	sound := standin.Config(2, []standin.Route{{Name: "sound", Path: "/sound/", Type: "safe", Pool: "sound", Timeout: 2 * time.Second, LatencyTarget: 200 * time.Millisecond, Attempts: 2}}, nil)
	for _, key := range []string{"Routes", "Services"} {
		config[key] = append(config[key].([]any), sound[key].([]any)...)
	}
	f.store.SetConfig(config)
	f.memoryMB = memoryMB
	f.addRouter(0, nil)
	if !f.awaitReady(recoveryTimeout) {
		f.fail("the router is not ready at the start")
		return
	}
	p := f.routers[0]
	ctx, stop := context.WithCancel(context.Background())
	var ids atomic.Int64
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	send := func(path, body string) int {
		req, _ := http.NewRequest(http.MethodPost, "http://"+p.callerAddress+path, strings.NewReader(body))
		req.Host = "app.example"
		req.Header.Set("X-Goldcrestturn-Request-Id", fmt.Sprint("m-", ids.Add(1)))
		req.Header.Set("X-Goldcrestturn-Deadline-Ms", "4000")
		req.Header.Set("Authorization", "Bearer key-1")
		res, err := client.Do(req)
		if err != nil {
			return 0
		}
		defer res.Body.Close()
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return 0
		}
		return res.StatusCode
	}
	var others sync.WaitGroup
	for range 4 {
		others.Go(func() {
			for ctx.Err() == nil {
				if status := send("/sound/x", ""); status != http.StatusOK {
					f.fail("a sound request was answered %d", status)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	load(ctx, p, send)
	stop()
	others.Wait()
	peak := p.peakMemory()
	f.t.Logf("peak of memory %d MB, of %d MB", peak>>20, memoryMB)
	if peak > memoryMB<<20 {
		f.fail("memory of %d MB exceeds the limit of %d MB", peak>>20, memoryMB)
	}
}

// peakMemory returns the most memory that the process has had, in bytes.
func (p *process) peakMemory() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(status)) {
		if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(v)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}
