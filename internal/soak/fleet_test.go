package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// process is a router process that the soak starts and signals by its process id.
type process struct {
	fleet         *fleet
	name          string
	settings      string
	callerAddress string
	readyAddress  string
	// exchangeAddress and metricsAddress are those for peers and of metrics; the second one
	// is empty if there is none.
	exchangeAddress, metricsAddress string
	log                             *os.File
	mu                              sync.Mutex
	cmd                             *exec.Cmd
	exited                          chan struct{}
	exitExpected                    bool       // the soak sent a signal that ends the process
	restartMu                       sync.Mutex // held during a restart
}

// fleetEndpoint is an endpoint that routers reach through a proxy.
type fleetEndpoint struct {
	endpoint *standin.Endpoint
	proxy    *proxy
	pool, dc string
}

// fleet is the system under test in one run.
type fleet struct {
	t          *testing.T
	dir        string
	binary     string
	store      *standin.Store
	storeProxy *proxy
	memoryMB   int // settings of the routers; the defaults if 0
	maxFDs     int
	// separated says of each router whether it exchanges messages over IPv6, so that it
	// does not hear those over IPv4; nil if none does.
	separated func(router int) bool
	// healthy is the behaviour of endpoints without faults; healthyEndpoint at first.
	healthy   standin.EndpointFaults
	endpoints []*fleetEndpoint
	routers   []*process
	mu        sync.Mutex
	failures  []string
}

// fail records a failure of the run.
func (f *fleet) fail(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = append(f.failures, fmt.Sprintf(format, args...))
}

// givenPorts holds the addresses that freePort has returned, since processes of fleets
// that run in parallel listen on theirs a little later.
var givenPorts sync.Map

// freePort returns a loopback address whose port is free for TCP and UDP. It returns none
// twice.
func freePort(t *testing.T) string { return freePortAt(t, "127.0.0.1:0") }

// minFreePort is the least port that freePort returns.
const minFreePort = 10_000

// ephemeralPort returns the least port that the kernel gives to connections. Ports above it may
// be taken by any connection while a process that listens there is restarted.
func ephemeralPort() int {
	var least int
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err == nil {
		_, err = fmt.Sscan(string(data), &least)
	}
	if err != nil || least <= minFreePort {
		return 32_768
	}
	return least
}

// freePortAt returns the same of the host of an address.
func freePortAt(t *testing.T, host string) string {
	host, _, _ = net.SplitHostPort(host)
	for range 200 {
		address := net.JoinHostPort(host, strconv.Itoa(minFreePort+rand.IntN(ephemeralPort()-minFreePort)))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		udpAddress, _ := net.ResolveUDPAddr("udp", address)
		conn, err := net.ListenUDP("udp", udpAddress)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = conn.Close()
		if _, given := givenPorts.LoadOrStore(address, true); !given {
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// routeConfig returns a configuration with the routes of the soak and the valid
// API keys of the workspace.
func routeConfig(version int, keys ...string) map[string]any {
	return standin.Config(version, []standin.Route{
		{Name: "chat", Path: "/stream/chat/", Type: "stream", Pool: "engines", Timeout: 5 * time.Second, LatencyTarget: 300 * time.Millisecond, Attempts: 2, Resumable: true},
		{Name: "brief", Path: "/stream/brief/", Type: "stream", Pool: "engines", Timeout: 5 * time.Second, LatencyTarget: 500 * time.Millisecond, Attempts: 1},
		{Name: "assign", Path: "/assign/", Type: "unsafe", Pool: "service", Timeout: 2 * time.Second, LatencyTarget: 200 * time.Millisecond, Attempts: 1},
		{Name: "read", Path: "/read/", Type: "safe", Pool: "service", Timeout: 2 * time.Second, LatencyTarget: 200 * time.Millisecond, Attempts: 2},
	}, map[string][]string{"studio": keys})
}

// newFleet starts a store, endpoints of the given numbers and routers.
func newFleet(t *testing.T, binary string, engines, services, routers int) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), binary: binary, store: standin.NewStore(), healthy: healthyEndpoint}
	t.Cleanup(f.store.Close)
	var err error
	if f.storeProxy, err = newProxy(f.store.Address()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.storeProxy.close)
	f.store.SetConfig(routeConfig(1, "key-1", "key-2"))
	for i := range engines {
		f.addEndpoint(fmt.Sprintf("engine-%d", i), "engines", fmt.Sprintf("dc-%d", i%2))
	}
	for i := range services {
		f.addEndpoint(fmt.Sprintf("service-%d", i), "service", fmt.Sprintf("dc-%d", i%2))
	}
	for i := range routers {
		f.addRouter(i, nil)
	}
	return f
}

// addEndpoint starts an endpoint behind a proxy and adds it to the store.
func (f *fleet) addEndpoint(id, pool, dc string) *fleetEndpoint {
	e, err := standin.NewEndpoint(id)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(e.Close)
	p, err := newProxy(e.Address())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(p.close)
	e.SetFaults(f.healthy)
	added := &fleetEndpoint{e, p, pool, dc}
	f.endpoints = append(f.endpoints, added)
	f.putEndpoint(added, "ready")
	return added
}

// healthyEndpoint is the usual behaviour of endpoints without faults.
var healthyEndpoint = standin.EndpointFaults{Latency: 15 * time.Millisecond, EventInterval: 10 * time.Millisecond, Events: 8}

// putEndpoint writes the record of an endpoint, with the address of its proxy, to
// the store.
func (f *fleet) putEndpoint(e *fleetEndpoint, state string) {
	f.putEndpointAs(e.endpoint.ID, e, state)
}

// putEndpointAs writes the record of an endpoint under another id, like that of an earlier
// process at its address.
func (f *fleet) putEndpointAs(id string, e *fleetEndpoint, state string) {
	f.store.Put("keyed.servers", id, map[string]any{
		"Service": e.pool, "Address": e.proxy.address(), "Zone": e.dc, "Version": "v1", "Slots": 8, "State": state, "ColdLeftMs": 0, "Sequence": 1,
	})
}

// addRouter starts router i. Its output goes to out, or to a file if out is nil.
func (f *fleet) addRouter(i int, out *os.File) {
	p := &process{fleet: f, name: fmt.Sprintf("router-%d", i), callerAddress: freePort(f.t), readyAddress: freePort(f.t)}
	p.settings = filepath.Join(f.dir, p.name+".ini")
	exchange := "127.0.0.1:0"
	if f.separated != nil && f.separated(i) {
		exchange = "[::1]:0"
	}
	memory := ""
	if f.memoryMB > 0 {
		memory = fmt.Sprintf("memory_mb = %d\n", f.memoryMB)
	}
	if f.maxFDs > 0 {
		p.metricsAddress = freePort(f.t)
		memory += fmt.Sprintf("max_fds = %d\nmetrics = %s\n", f.maxFDs, p.metricsAddress)
	}
	p.exchangeAddress = freePortAt(f.t, exchange)
	content := fmt.Sprintf("[router]\ninstance = %s\ndata_centre = dc-%d\nlisten = %s\nready = %s\nready_path = /ready\nexchange = %s\nfirst_start = true\n%s[platform]\nstore = %s\n[regions]\ndata_centres = dc-0, dc-1\ndc-0 = r\ndc-1 = r\n",
		p.name, i%2, p.callerAddress, p.readyAddress, p.exchangeAddress, memory, f.storeProxy.address())
	if err := os.WriteFile(p.settings, []byte(content), 0o600); err != nil {
		f.t.Fatal(err)
	}
	if p.log = out; out == nil {
		var err error
		if p.log, err = os.Create(filepath.Join(f.dir, p.name+".log")); err != nil {
			f.t.Fatal(err)
		}
	}
	f.t.Cleanup(func() { p.signal(syscall.SIGKILL, true); p.log.Close() })
	f.routers = append(f.routers, p)
	p.launch()
}

// launch starts the process. An exit that the soak did not ask for is a failure.
func (p *process) launch() {
	cmd := exec.Command(p.fleet.binary, "-settings", p.settings, "-log-format", "json")
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		p.fleet.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.exitExpected = cmd, exited, false
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		expected := p.exitExpected
		p.mu.Unlock()
		if !expected {
			p.fleet.fail("%s exited unexpectedly: %v", p.name, err)
		}
		close(exited)
	}()
}

// signal sends a signal to the process. exits says whether the process exits because
// of it.
func (p *process) signal(s syscall.Signal, exits bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = p.exitExpected || exits
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// restart stops the process with a signal and starts it again after it has exited.
func (p *process) restart(s syscall.Signal) {
	p.restartMu.Lock()
	defer p.restartMu.Unlock()
	p.signal(s, true)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(9 * time.Second):
		p.fleet.fail("%s did not exit within the grace period", p.name)
		p.signal(syscall.SIGKILL, true)
		<-exited
	}
	p.launch()
}

// isReady reports whether the readiness check of the router succeeds.
func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + p.readyAddress + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all routers are ready. It returns false if they are not
// within limit.
func (f *fleet) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, p := range f.routers {
			all = all && p.isReady()
		}
		if all {
			return true
		}
	}
	return false
}
