// Command standins-2 plays the scripts of the second review: it has its supervisor,
// review/run-case-2.sh, start goldcrest-router and endpoints as processes on loopback, beside the
// project's stand-in of the store, and records what was sent, answered and run.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
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

// lock is held by whoever has put a value into it.
type lock chan struct{}

func newLock() lock { return make(lock, 1) }

func (l lock) acquire() { l <- struct{}{} }
func (l lock) release() { <-l }

// pause waits for d.
func pause(d time.Duration) { <-time.After(d) }

// fleet is the system of one script.
type fleet struct {
	dir     string // temporary, of the supervisor
	trouble bool   // false with TROUBLE=0
	store   *standin.Store
	began   time.Time
	starts  *os.File // to the supervisor
	lock    lock     // for the fields after it
	record  *os.File
	running []*process
	broken  []string
}

// place is where a script finds its supervisor and leaves its record.
type place struct{ folder, dir string }

// cannotRun ends a script that cannot run.
func cannotRun(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// supervisorInterval is how often a script checks that its supervisor is there.
const supervisorInterval = 100 * time.Millisecond

// newFleet starts a store with a configuration and opens the record.
func newFleet(at place, config map[string]any) *fleet {
	f := &fleet{dir: at.dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), lock: newLock()}
	var err error
	if f.record, err = os.Create(filepath.Join(at.folder, "record.txt")); err != nil {
		cannotRun("record: %v", err)
	}
	if f.starts, err = os.OpenFile(filepath.Join(at.dir, "starts"), os.O_WRONLY, 0); err != nil {
		cannotRun("supervisor: %v", err)
	}
	go f.followSupervisor(os.Getppid())
	f.note("trouble: %v", f.trouble)
	f.store = standin.NewStore()
	f.store.SetConfig(config)
	return f
}

// followSupervisor ends all processes and the script once the supervisor has ended.
func (f *fleet) followSupervisor(parent int) {
	for os.Getppid() == parent {
		pause(supervisorInterval)
	}
	f.lock.acquire()
	for _, p := range f.running {
		_ = syscall.Kill(p.pid, syscall.SIGKILL)
	}
	os.Exit(exitNotRun)
}

// note writes a line with the time since the start to the record.
func (f *fleet) note(format string, args ...any) {
	f.lock.acquire()
	defer f.lock.release()
	fmt.Fprintf(f.record, "%7.3f ", time.Since(f.began).Seconds())
	fmt.Fprintf(f.record, format+"\n", args...)
}

// breaks records a broken rule.
func (f *fleet) breaks(format string, args ...any) {
	f.note("BROKEN "+format, args...)
	f.lock.acquire()
	f.broken = append(f.broken, fmt.Sprintf(format, args...))
	f.lock.release()
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
	for _, b := range f.broken {
		fmt.Println("broken:", b)
	}
	return code
}

// process is a process that the supervisor started for the script.
type process struct {
	f    *fleet
	name string
	pid  int
	log  string // file with its output
}

// startTimeout bounds the time in which the supervisor starts a process.
const startTimeout = 5 * time.Second

// start has the supervisor start a program.
func (f *fleet) start(name string, args ...string) *process {
	number := len(f.running)
	if _, err := fmt.Fprintf(f.starts, "%d %s\n", number, strings.Join(args, " ")); err != nil {
		cannotRun("supervisor: %v", err)
	}
	p := &process{f: f, name: name, log: filepath.Join(f.dir, fmt.Sprint(number, ".log"))}
	for end := time.Now().Add(startTimeout); p.pid == 0; pause(time.Millisecond) {
		if text, err := os.ReadFile(filepath.Join(f.dir, fmt.Sprint(number, ".pid"))); err == nil {
			p.pid, _ = strconv.Atoi(strings.TrimSpace(string(text)))
		}
		if time.Now().After(end) {
			cannotRun("%s was not started", name)
		}
	}
	f.note("started %s, process %d", name, p.pid)
	f.lock.acquire()
	f.running = append(f.running, p)
	f.lock.release()
	return p
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.f.note("signal to %s: %v", p.name, s)
	_ = syscall.Kill(p.pid, s)
}

// kill ends the process and waits for that.
func (p *process) kill() {
	if p.ended() {
		return
	}
	p.signal(syscall.SIGKILL)
	for !p.ended() {
		pause(time.Millisecond)
	}
}

// ended reports whether the process has ended. The supervisor may not have waited for it yet.
func (p *process) ended() bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.pid))
	if err != nil {
		return true
	}
	_, state, _ := strings.Cut(string(stat), ") ")
	return strings.HasPrefix(state, "Z") || strings.HasPrefix(state, "X")
}

// follow calls line for each line that the process writes, until it has ended.
func (p *process) follow(line func(string)) {
	var read, rest = 0, ""
	for last := false; ; pause(2 * time.Millisecond) {
		data, _ := os.ReadFile(p.log)
		rest += string(data[min(read, len(data)):])
		read = len(data)
		for {
			text, after, found := strings.Cut(rest, "\n")
			if !found {
				break
			}
			line(text)
			rest = after
		}
		if last {
			return
		}
		last = p.ended()
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
	r.process = f.start(name, routerCommand(r.settings)...)
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
	for end := time.Now().Add(limit); time.Now().Before(end); pause(20 * time.Millisecond) {
		if r.isReady() {
			r.f.note("%s is ready", r.name)
			return
		}
	}
	cannotRun("%s is not ready after %v", r.name, limit)
}
