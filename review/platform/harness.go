// Command platform plays the platform's part in one case of the review: it is the store and
// the endpoints, from the project's stand-ins and one of its own, and the callers, and judges
// what callers and endpoints saw. The script that starts it also starts the routers.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// errCannotRun is the cause of a case that could not run.
var errCannotRun = errors.New("the case cannot run")

const (
	host    = "app.example"
	testKey = "key-1"
)

// world is the deployment of one case.
type world struct {
	dir     string // of the settings, logs and process ids, made by the script
	record  *os.File
	writer  owner // of record
	begin   time.Time
	trouble bool // false for the run without the disruption
	store   *standin.Store
	routers []*router
	nextID  atomic.Int64
}

// logf writes one line to record.txt.
func (w *world) logf(format string, args ...any) {
	at := time.Since(w.begin).Seconds()
	w.writer.do(func() { fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{at}, args...)...) })
}

// router is a router process.
type router struct {
	name, listen, ready, settings string
	pid                           int // once it has started
}

// freeAddress returns a loopback address with a port that is free for TCP and UDP.
func freeAddress() (string, error) {
	for range 50 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		udp, err := net.ListenPacket("udp", address)
		l.Close()
		if err != nil {
			continue
		}
		udp.Close()
		return address, nil
	}
	return "", errors.New("no free port")
}

// addRouter writes the settings of a router, as deploy/router.ini.tmpl gives them for a
// small site. startRouters has it started.
func (w *world) addRouter(name, dataCentre string) error {
	var at [4]string
	for i := range at {
		a, err := freeAddress()
		if err != nil {
			return err
		}
		at[i] = a
	}
	r := &router{name: name, listen: at[0], ready: at[1], settings: filepath.Join(w.dir, name+".ini")}
	content := fmt.Sprintf(`[router]
instance = %s
data_centre = %s
listen = %s
ready = %s
ready_path = /goldcrestturn/readyz
exchange = %s
metrics = %s
first_start = true
memory_mb = 284

[platform]
store = %s

[bounds]
grace = 8s
drain = 2000ms
revoke = 5000ms
strict_revoke = true
retry_ratio = 0.2
retry_burst = 58
retry_window = 10s

[regions]
data_centres = dc-0,dc-1
dc-0 = r
dc-1 = r
`, name, dataCentre, at[0], at[1], at[2], at[3], w.store.Address())
	if err := os.WriteFile(r.settings, []byte(content), 0o600); err != nil {
		return err
	}
	w.routers = append(w.routers, r)
	return nil
}

// startRouters has the script start the routers and waits until all are ready.
func (w *world) startRouters() error {
	names := ""
	for _, r := range w.routers {
		names += r.name + "\n"
	}
	// The script reads the file as soon as it is there.
	if err := os.WriteFile(filepath.Join(w.dir, "start.new"), []byte(names), 0o600); err != nil {
		return err
	}
	if err := os.Rename(filepath.Join(w.dir, "start.new"), filepath.Join(w.dir, "start")); err != nil {
		return err
	}
	for _, r := range w.routers {
		for end := time.Now().Add(10 * time.Second); r.pid == 0; pause(20 * time.Millisecond) {
			if data, err := os.ReadFile(filepath.Join(w.dir, r.name+".pid")); err == nil {
				r.pid, _ = strconv.Atoi(strings.TrimSpace(string(data)))
			}
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s was not started", errCannotRun, r.name)
			}
		}
		w.logf("%s started, pid %d", r.name, r.pid)
	}
	return w.awaitReady()
}

// stop ends the routers, also if the script that started them is gone.
func (w *world) stop() {
	for _, r := range w.routers {
		if r.pid != 0 {
			_ = syscall.Kill(r.pid, syscall.SIGKILL)
		}
	}
	w.store.Close()
}

// awaitReady waits until all routers are ready.
func (w *world) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); pause(50 * time.Millisecond) {
		ready := 0
		for _, r := range w.routers {
			if res, err := client.Get("http://" + r.ready + "/goldcrestturn/readyz"); err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.routers) {
			w.logf("all routers are ready")
			return nil
		}
	}
	return fmt.Errorf("%w: routers are not ready", errCannotRun)
}

// register writes the entry of an endpoint.
func (w *world) register(id, address, pool, dataCentre, state string, born int64) {
	w.store.Put("keyed.servers", id, map[string]any{
		"Service": pool, "Address": address, "Zone": dataCentre, "Version": "v1", "Slots": 8,
		"State": state, "ColdLeftMs": 0, "Sequence": 1, "born": born,
	})
}

// caller is one connection of a consumer, which it keeps for many requests.
type caller struct {
	w    *world
	name string
	conn net.Conn
	r    *bufio.Reader
	// quiet leaves the requests out of the record.
	quiet bool
}

func (w *world) dial(name string, r *router) (*caller, error) {
	conn, err := net.DialTimeout("tcp", r.listen, time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{w: w, name: name, conn: conn, r: bufio.NewReader(conn)}, nil
}

// outcome is what a caller saw of one request.
type outcome struct {
	id     string
	status int // 0 if the connection ended without an answer
	signed bool
	body   string
	err    error // the answer did not come, or not whole
	took   time.Duration
}

// do sends one request and reads the answer.
func (c *caller) do(method, path string, wait time.Duration, headers ...string) outcome {
	out := outcome{id: fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(c.w.nextID.Add(1)))}
	sent := time.Now()
	text := method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Goldcrestturn-Request-Id: " + out.id +
		fmt.Sprintf("\r\nX-Goldcrestturn-Deadline-Ms: %d", wait.Milliseconds()) + "\r\nAuthorization: Bearer " + testKey + "\r\n"
	for _, h := range headers {
		text += h + "\r\n"
	}
	if method != http.MethodGet {
		text += "Content-Length: 4\r\n\r\nbody"
	} else {
		text += "\r\n"
	}
	_ = c.conn.SetDeadline(sent.Add(wait + time.Second))
	_, out.err = io.WriteString(c.conn, text)
	if out.err == nil {
		out.read(c.r, method)
	}
	out.took = time.Since(sent)
	if c.quiet {
		return out
	}
	c.w.logf("%s %s %s id=%s -> status=%d signed=%v bytes=%d err=%v after %.3f s", c.name, method, path, out.id, out.status, out.signed, len(out.body), out.err, out.took.Seconds())
	return out
}

func (o *outcome) read(r *bufio.Reader, method string) {
	res, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		o.err = err
		return
	}
	defer res.Body.Close()
	o.status, o.signed = res.StatusCode, res.Header.Get("X-Goldcrestturn-Server-Signature") != ""
	body, err := io.ReadAll(res.Body)
	o.body, o.err = string(body), err
}

// closedUnanswered reports whether the connection was closed without an answer, rather
// than left silent.
func (o outcome) closedUnanswered() bool {
	var ne net.Error
	return o.status == 0 && o.err != nil && !(errors.As(o.err, &ne) && ne.Timeout())
}

// owner runs functions one at a time on the goroutine that owns some state. The functions
// must not call do of the same owner.
type owner chan func()

func newOwner() owner {
	o := make(owner)
	go func() {
		for f := range o {
			f()
		}
	}()
	return o
}

// do runs f and waits until it returns.
func (o owner) do(f func()) {
	done := make(chan struct{})
	o <- func() { f(); close(done) }
	<-done
}

// pause waits for d.
func pause(d time.Duration) { control.Pause(context.Background(), d) }

// cases are the cases by name.
var cases = map[string]func(*world) (bool, error){}

// maxRun bounds the run of a case.
const maxRun = 115 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: platform CASE RECORD DIRECTORY")
		os.Exit(cannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, recordPath, dir string) int {
	test := cases[name]
	record, err := os.Create(recordPath)
	if err != nil || test == nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", name, err)
		return cannotRun
	}
	defer record.Close()
	w := &world{dir: dir, record: record, writer: newOwner(), begin: time.Now(), trouble: os.Getenv("TROUBLE") != "0", store: standin.NewStore()}
	type result struct {
		held bool
		err  error
	}
	ended := make(chan result, 1)
	go func() {
		ok, err := test(w)
		ended <- result{ok, err}
	}()
	var got result
	parent := os.Getppid()
	for waiting := true; waiting; {
		select {
		case got = <-ended:
			waiting = false
		case <-time.After(500 * time.Millisecond):
			if os.Getppid() != parent || time.Since(w.begin) > maxRun {
				got.err, waiting = fmt.Errorf("%w: the script has ended, or the case takes too long", errCannotRun), false
			}
		}
	}
	w.stop()
	switch {
	case got.err != nil:
		w.logf("RESULT: the case could not run: %v", got.err)
		fmt.Println("could not run:", got.err)
		return cannotRun
	case !got.held:
		w.logf("RESULT: the rule was broken")
		fmt.Println("broken")
		return broken
	}
	w.logf("RESULT: the rule held")
	fmt.Println("held")
	return held
}

// ranAt returns how often an endpoint ran each request, by request id.
func ranAt(endpoints ...*standin.Endpoint) map[string]int {
	out := map[string]int{}
	for _, e := range endpoints {
		for _, r := range e.Received() {
			if r.Ran {
				out[r.ID]++
			}
		}
	}
	return out
}

// streamHeaders are the headers of a request for a model server.
func streamHeaders(part int) []string {
	return []string{"X-Goldcrestturn-Model: m", "X-Goldcrestturn-Token-Usage: 200,40", fmt.Sprintf("X-Goldcrestturn-Prefix-Hash: a1:100,%x:80", 0xb000+part), "Accept: text/event-stream"}
}
