package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// process is one router process that the soak starts and ends by its id.
type process struct {
	fleet    *fleet
	name     string
	settings string
	callers  string
	ready    string
	log      *os.File
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	ending   bool       // the soak asked it to end
	restarts sync.Mutex // one restart at a time
}

type member struct {
	endpoint *standin.Endpoint
	proxy    *proxy
	pool, dc string
}

// fleet is the whole system of one run.
type fleet struct {
	t         *testing.T
	dir       string
	binary    string
	store     *standin.Store
	storeLink *proxy
	members   []*member
	routers   []*process
	mu        sync.Mutex
	failures  []string
}

func (f *fleet) fail(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = append(f.failures, fmt.Sprintf(format, args...))
}

func freePort(t *testing.T) string {
	for range 50 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().String()
		at, _ := net.ResolveUDPAddr("udp", address)
		u, err := net.ListenUDP("udp", at)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func config(version int, keys ...string) map[string]any {
	return standin.Config(version, []standin.Route{
		{Name: "chat", Path: "/stream/chat/", Kind: "stream", Pool: "engines", Timeout: 5 * time.Second, Target: 300 * time.Millisecond, Attempts: 2, Resumable: true},
		{Name: "brief", Path: "/stream/brief/", Kind: "stream", Pool: "engines", Timeout: 5 * time.Second, Target: 500 * time.Millisecond, Attempts: 1},
		{Name: "assign", Path: "/assign/", Kind: "unsafe", Pool: "service", Timeout: 2 * time.Second, Target: 200 * time.Millisecond, Attempts: 1},
		{Name: "read", Path: "/read/", Kind: "safe", Pool: "service", Timeout: 2 * time.Second, Target: 200 * time.Millisecond, Attempts: 2},
	}, map[string][]string{"studio": keys})
}

// newFleet starts a store, engines, services and routers.
func newFleet(t *testing.T, binary string, engines, services, routers int) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), binary: binary, store: standin.NewStore()}
	t.Cleanup(f.store.Close)
	var err error
	if f.storeLink, err = newProxy(f.store.Address()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.storeLink.close)
	f.store.SetConfig(config(1, "key-1", "key-2"))
	for i := range engines {
		f.add(fmt.Sprintf("engine-%d", i), "engines", fmt.Sprintf("dc-%d", i%2))
	}
	for i := range services {
		f.add(fmt.Sprintf("service-%d", i), "service", fmt.Sprintf("dc-%d", i%2))
	}
	for i := range routers {
		f.addRouter(i, nil)
	}
	return f
}

func (f *fleet) add(id, pool, dc string) *member {
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
	e.SetFaults(ordinary)
	m := &member{e, p, pool, dc}
	f.members = append(f.members, m)
	f.list(m, "ready")
	return m
}

// ordinary is how endpoints work without a fault.
var ordinary = standin.EndpointFaults{Latency: 15 * time.Millisecond, EventInterval: 10 * time.Millisecond, Events: 8}

// list writes an endpoint's entry with the address of its proxy.
func (f *fleet) list(m *member, state string) {
	f.store.Put("keyed.servers", m.endpoint.ID, map[string]any{
		"Service": m.pool, "Address": m.proxy.address(), "Zone": m.dc, "Version": "v1", "Slots": 8, "State": state, "ColdLeftMs": 0, "Sequence": 1,
	})
}

// addRouter starts a router that writes to out, or to a file if out is nil.
func (f *fleet) addRouter(i int, out *os.File) {
	p := &process{fleet: f, name: fmt.Sprintf("router-%d", i), callers: freePort(f.t), ready: freePort(f.t)}
	p.settings = filepath.Join(f.dir, p.name+".ini")
	text := fmt.Sprintf("[router]\ninstance = %s\ndata_centre = dc-%d\nlisten = %s\nready = %s\nready_path = /ready\nexchange = %s\nfirst_start = true\n[platform]\nstore = %s\n[regions]\ndata_centres = dc-0, dc-1\ndc-0 = r\ndc-1 = r\n",
		p.name, i%2, p.callers, p.ready, freePort(f.t), f.storeLink.address())
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
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
	p.start()
}

func (p *process) start() {
	cmd := exec.Command(p.fleet.binary, "-settings", p.settings, "-log-format", "json")
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		p.fleet.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.ending = cmd, exited, false
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		ending := p.ending
		p.mu.Unlock()
		if !ending {
			p.fleet.fail("%s ended by itself: %v", p.name, err)
		}
		close(exited)
	}()
}

// signal sends a signal to the process that the soak started.
func (p *process) signal(s syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ending = p.ending || ends
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// restart ends the process with a signal and starts it anew once it is gone.
func (p *process) restart(s syscall.Signal) {
	p.restarts.Lock()
	defer p.restarts.Unlock()
	p.signal(s, true)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(9 * time.Second):
		p.fleet.fail("%s did not end in the grace time", p.name)
		p.signal(syscall.SIGKILL, true)
		<-exited
	}
	p.start()
}

func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + p.ready + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all routers are ready.
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
