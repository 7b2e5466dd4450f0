//go:build review2

// Command standins-2 plays the scripts of the second review: it starts goldcrest-router and
// endpoints as processes on loopback, beside the project's stand-in of the store, and records
// what was sent, answered and run.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// fleet is the system of one script.
type fleet struct {
	dir     string // temporary
	trouble bool   // false with TROUBLE=0
	store   *standin.Store
	began   time.Time
	mu      sync.Mutex
	record  *os.File
	running []*process
	broken  []string
}

// cannotRun ends a script that cannot run.
func cannotRun(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// newFleet starts a store with a configuration and opens the record in folder.
func newFleet(folder string, config map[string]any) *fleet {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}
	f := &fleet{dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	if f.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		cannotRun("record: %v", err)
	}
	f.note("trouble: %v", f.trouble)
	f.store = standin.NewStore()
	f.store.SetConfig(config)
	return f
}

// note writes a line with the time since the start to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%7.3f ", time.Since(f.began).Seconds())
	fmt.Fprintf(f.record, format+"\n", args...)
}

// breaks records a broken rule.
func (f *fleet) breaks(format string, args ...any) {
	f.note("BROKEN "+format, args...)
	f.mu.Lock()
	f.broken = append(f.broken, fmt.Sprintf(format, args...))
	f.mu.Unlock()
}

// end kills all processes and returns the exit code.
func (f *fleet) end() int {
	for _, p := range f.running {
		p.kill()
	}
	f.store.Close()
	code := exitHeld
	if len(f.broken) > 0 {
		code = exitBroken
	}
	f.note("exit %d", code)
	_ = f.record.Close()
	if code == exitHeld && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs of the processes:", f.dir)
	}
	for _, b := range f.broken {
		fmt.Println("broken:", b)
	}
	return code
}

// process is a process that the script started.
type process struct {
	f      *fleet
	name   string
	args   []string
	cmd    *exec.Cmd
	exited chan struct{}
}

// start starts a program whose standard output goes to lines, or to a file if that is nil.
func (f *fleet) start(name string, lines func(string), args ...string) *process {
	p := &process{f: f, name: name, args: args, exited: make(chan struct{})}
	cmd := exec.Command(args[0], args[1:]...)
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan struct{})
	if lines != nil {
		cmd.Stdout = nil
		out, err := cmd.StdoutPipe()
		if err != nil {
			cannotRun("pipe: %v", err)
		}
		go func() {
			defer close(done)
			for s := bufio.NewScanner(out); s.Scan(); {
				lines(s.Text())
			}
		}()
	} else {
		close(done)
	}
	if err := cmd.Start(); err != nil {
		cannotRun("%s: %v", name, err)
	}
	p.cmd = cmd
	f.note("started %s, process %d", name, cmd.Process.Pid)
	go func() {
		<-done
		err := cmd.Wait()
		f.note("%s has ended: %v", name, err)
		close(p.exited)
	}()
	f.running = append(f.running, p)
	return p
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.f.note("signal to %s: %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process and waits for that.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// given holds the ports that freePort returned.
var given = map[string]bool{}

// freePort returns a loopback address whose port is free for TCP and UDP.
func freePort() string {
	for range 100 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			cannotRun("port: %v", err)
		}
		address := l.Addr().String()
		udp, _ := net.ResolveUDPAddr("udp", address)
		c, err := net.ListenUDP("udp", udp)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = c.Close()
		if !given[address] {
			given[address] = true
			return address
		}
	}
	cannotRun("no free port")
	return ""
}

// router is a process of goldcrest-router.
type router struct {
	*process
	settings, callers, ready string
	values                   settings
}

// settings are the values of the template of settings that scripts vary.
type settings struct {
	name, zone, listen, ready, exchange, metrics, store string
	first                                               bool
	graceS                                              int
}

// render fills in deploy/router.ini.tmpl as the platform does for a small deployment.
func (s settings) render() string {
	return strings.Join([]string{
		"[router]", "instance = " + s.name, "data_centre = " + s.zone, "listen = " + s.listen, "ready = " + s.ready,
		"ready_path = /goldcrestturn/readyz", "exchange = " + s.exchange, "metrics = " + s.metrics, fmt.Sprintf("first_start = %v", s.first),
		"memory_mb = 284", "max_fds = 4100", "",
		"[platform]", "store = " + s.store, "contracts = base,drain,config,cost,retry,recover,engine,stream,tenants,places,rollout,platform", "",
		"[bounds]", fmt.Sprintf("grace = %ds", s.graceS), "drain = 2000ms", "revoke = 5000ms", "strict_revoke = true", "retry_ratio = 0.2", "retry_burst = 58",
		"exposure_share = 0.1", "exposure_tolerance = 50", "rollback = 5000ms", "retry_window = 10s", "",
		"[duties]", "address = ", "names = ", "lease = ", "thaw = ", "report_window = ", "report_delay = ", "",
		"[rollout]", "enabled = false", "",
		"[regions]", "data_centres = akl-a,akl-b,akl-c", "akl-a = akl", "akl-b = akl", "akl-c = akl", "",
	}, "\n")
}

// routerCommand is the command of the deploy file.
func routerCommand(settings string) []string {
	return []string{"target/goldcrest-router", "-settings", settings, "-log-format", "json"}
}

// newRouter starts a router with the usual GraceS and waits until it is ready.
func (f *fleet) newRouter(name, zone string) *router { return f.newRouterWith(name, zone, 8) }

// newRouterWith starts a router and waits until it is ready.
func (f *fleet) newRouterWith(name, zone string, graceS int) *router {
	s := settings{name: name, zone: zone, listen: freePort(), ready: freePort(), exchange: freePort(), metrics: freePort(), store: f.store.Address(), first: true, graceS: graceS}
	r := &router{settings: filepath.Join(f.dir, name+".ini"), callers: s.listen, ready: s.ready, values: s}
	r.write()
	r.process = f.start(name, nil, routerCommand(r.settings)...)
	r.awaitReady(10 * time.Second)
	return r
}

// write writes the settings file.
func (r *router) write() {
	if err := os.WriteFile(r.settings, []byte(r.values.render()), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
}

// isReady asks the readiness check.
func (r *router) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + r.ready + "/goldcrestturn/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (r *router) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r.isReady() {
			r.f.note("%s is ready", r.name)
			return
		}
	}
	cannotRun("%s is not ready after %v", r.name, limit)
}
