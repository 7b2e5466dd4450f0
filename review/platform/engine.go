package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// engine is a stand-in of a model server that streams events. It sends the head of an
// answer when it has admitted the request, and the events as they are made. It is sound:
// it ends each stream that it began, unless the connection is closed, which ends the work.
type engine struct {
	w        *world
	id       string
	address  string
	slots    int
	queue    int // requests that may wait for a slot
	events   int
	interval time.Duration // between events
	// prompt is the time to read a prompt. The engine reads one after the other.
	prompt time.Duration
	// firstEvent returns how long the prompt of the n-th run takes to be read.
	firstEvent func(n int) time.Duration
	// preempt returns how long the n-th run is preempted after its third event.
	preempt func(n int) time.Duration
	began   int64 // Unix ms
	quiet   bool  // leaves the requests out of the record

	// deadly is a prompt part at which the engine crashes as it begins to answer, and down
	// the time until it is back, as a new process under the same id.
	deadly           string
	down             time.Duration
	pool, dataCentre string

	state    owner // of the fields below
	listener net.Listener
	conns    map[net.Conn]bool
	active   int
	waiting  int
	reading  chan struct{} // holds one token while a prompt is read
	runs     []*engineRun
	crashes  []time.Time
}

// engineRun is one run of a request.
type engineRun struct {
	id       string
	engine   string
	began    time.Time
	ended    time.Time
	complete bool // all events were sent
	closed   bool // the connection was closed by the router before
}

func (w *world) addEngine(id string, slots int) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	none := func(int) time.Duration { return 0 }
	e := &engine{w: w, id: id, address: l.Addr().String(), listener: l, conns: map[net.Conn]bool{}, slots: slots, began: time.Now().UnixMilli(), reading: make(chan struct{}, 1), state: newOwner(), events: 20, interval: 50 * time.Millisecond, firstEvent: none, preempt: none}
	go e.accept(l)
	return e, nil
}

func (e *engine) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.state.do(func() { e.conns[c] = true })
		go e.serve(c)
	}
}

// end closes the listener and all connections. It runs on the goroutine of state.
func (e *engine) end() {
	_ = e.listener.Close()
	for c := range e.conns {
		_ = c.Close()
	}
}

// crash ends the engine with all its connections and starts it again after e.down.
func (e *engine) crash() {
	e.state.do(func() {
		e.crashes = append(e.crashes, time.Now())
		e.end()
	})
	time.AfterFunc(e.down, func() {
		l, err := net.Listen("tcp", e.address)
		if err != nil {
			e.w.logf("%s cannot start again: %v", e.id, err)
			return
		}
		e.state.do(func() { e.listener = l })
		e.w.register(e.id, e.address, e.pool, e.dataCentre, "ready", time.Now().UnixMilli())
		e.w.logf("%s is back", e.id)
		e.accept(l)
	})
}

func (e *engine) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.state.do(func() { delete(e.conns, c) })
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil || !e.answer(c, r, req) {
			return
		}
	}
}

// answer answers a request and reports whether the connection stays open.
func (e *engine) answer(c net.Conn, r *bufio.Reader, req *http.Request) bool {
	if req.URL.Path == "/goldcrestturn/kv-list" {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 32\r\n\r\n{\"epoch\":1,\"Next\":0,\"held\":[]}\r\n")
		return err == nil
	}
	id := req.Header.Get("X-Goldcrestturn-Request-Id")
	head := "X-Goldcrestturn-Request-Id: " + id + "\r\n"
	if want := req.Header.Get("X-Goldcrestturn-Expect-Instance"); want != "" && want != e.id {
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nX-Goldcrestturn-Instance-Id: "+e.id+"\r\n"+head+"\r\n")
		return err == nil
	}
	run, n := e.admit(id)
	if run == nil {
		queued := false
		e.state.do(func() {
			if queued = e.waiting < e.queue; queued {
				e.waiting++
			}
		})
		open := true
		for queued && open && run == nil {
			if open = e.pause(c, r, 5*time.Millisecond); open {
				run, n = e.admit(id)
			}
		}
		if queued {
			e.state.do(func() { e.waiting-- })
		}
		if !open {
			return false
		}
	}
	if run == nil {
		e.w.logf("%s is full: request %s not executed", e.id, id)
		_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nX-Goldcrestturn-Not-Executed: 1\r\n"+head+"\r\n")
		return err == nil
	}
	e.logf("%s runs request %s, last event %q", e.id, id, req.Header.Get("Last-Event-Id"))
	if e.deadly != "" && strings.Contains(","+req.Header.Get("X-Goldcrestturn-Prefix-Hash"), ","+e.deadly+":") {
		e.w.logf("%s crashes at request %s", e.id, id)
		e.crash()
	}
	open := e.stream(c, r, req, run, head, n)
	e.state.do(func() {
		e.active--
		run.ended = time.Now()
	})
	e.logf("%s ends request %s: complete=%v closed_by_router=%v", e.id, id, run.complete, run.closed)
	return open
}

// admit gives a request a slot and returns its run and its number, or nil if there is none.
func (e *engine) admit(id string) (run *engineRun, n int) {
	e.state.do(func() {
		if e.active >= e.slots {
			return
		}
		e.active++
		n = len(e.runs)
		run = &engineRun{id: id, engine: e.id, began: time.Now()}
		e.runs = append(e.runs, run)
	})
	return run, n
}

func (e *engine) stream(c net.Conn, r *bufio.Reader, req *http.Request, run *engineRun, head string, n int) bool {
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Goldcrestturn-Server-Signature: "+e.id+"."+run.id+"\r\n"+head+"\r\n"); err != nil {
		run.closed = true
		return false
	}
	first := 0
	if v := req.Header.Get("Last-Event-Id"); v != "" {
		last, _ := strconv.Atoi(v)
		first = last + 1
	}
	if e.prompt > 0 && !e.read(c, r) || !e.pause(c, r, e.firstEvent(n)) {
		run.closed = true
		return false
	}
	for i := first; i < e.events; i++ {
		if i-first == 3 && !e.pause(c, r, e.preempt(n)) {
			run.closed = true
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil || !e.pause(c, r, e.interval) {
			run.closed = true
			return false
		}
	}
	run.complete = true
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// read waits for its turn and reads a prompt. It reports whether the connection is still
// open.
func (e *engine) read(c net.Conn, r *bufio.Reader) bool {
	for {
		select {
		case e.reading <- struct{}{}:
			defer func() { <-e.reading }()
			return e.pause(c, r, e.prompt)
		default:
			if !e.pause(c, r, 5*time.Millisecond) {
				return false
			}
		}
	}
}

// pause waits for d and reports whether the connection is still open.
func (e *engine) pause(c net.Conn, r *bufio.Reader, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	_ = c.SetReadDeadline(time.Now().Add(d))
	defer c.SetReadDeadline(time.Time{})
	_, err := r.Peek(1)
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// logf writes a line on a request to record.txt.
func (e *engine) logf(format string, args ...any) {
	if !e.quiet {
		e.w.logf(format, args...)
	}
}

// leave ends the engine once its requests have ended. Its entry goes first.
func (e *engine) leave() {
	e.w.store.Put("keyed.servers", e.id, nil)
	for ended := false; !ended; pause(50 * time.Millisecond) {
		e.state.do(func() {
			if ended = e.active+e.waiting == 0; ended {
				e.end()
			}
		})
	}
}

// runsOf returns the runs of all engines by request id.
func runsOf(engines ...*engine) map[string][]engineRun {
	out := map[string][]engineRun{}
	for _, e := range engines {
		e.state.do(func() {
			for _, r := range e.runs {
				out[r.id] = append(out[r.id], *r)
			}
		})
	}
	return out
}
