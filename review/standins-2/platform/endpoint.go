package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// behaviour is how an endpoint behaves.
type behaviour struct {
	Listen, ID string
	Events     int           // of a stream, or pieces of an answer
	Interval   time.Duration // between them
	Unframed   bool          // answers have neither a length nor chunks
	Long       int           // number of an event whose data has longData bytes; none if 0
	Deadly     string        // prompt part at which the process ends as it begins to answer; none if empty
}

// server is an endpoint process. It writes a line to its standard output for all that it
// receives, begins to run and sends.
type server struct {
	behaviour
	leaving atomic.Bool
	lock    lock // for the output
}

// runEndpoint runs an endpoint with a behaviour in JSON until it is killed. SIGUSR1 makes it
// leave.
func runEndpoint(text string) int {
	s := server{lock: newLock()}
	if err := json.Unmarshal([]byte(text), &s.behaviour); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGUSR1)
	go func() {
		<-leave
		s.leaving.Store(true)
		s.log("leaves")
	}()
	s.log("listens on " + s.Listen)
	for {
		c, err := l.Accept()
		if err != nil {
			return exitNotRun
		}
		go s.serve(c)
	}
}

func (s *server) log(text string) {
	s.lock.acquire()
	defer s.lock.release()
	fmt.Println(text)
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !s.answer(c, req, len(body)) {
			return
		}
	}
}

// answer answers a request and reports whether the connection stays open.
func (s *server) answer(c net.Conn, req *http.Request, length int) bool {
	id := req.Header.Get("X-Goldcrestturn-Request-Id")
	head := "X-Goldcrestturn-Request-Id: " + id + "\r\n"
	if s.leaving.Load() {
		head += "Server-Leaving: 1\r\n"
	}
	if req.URL.Path == "/healthz" {
		return write(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Goldcrestturn-Instance-Id: "+s.ID+"\r\n\r\n")
	}
	if req.URL.Path == "/goldcrestturn/kv-list" {
		text := `{"epoch":1,"Next":0,"held":[]}`
		return write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text))
	}
	if want := req.Header.Get("X-Goldcrestturn-Expect-Instance"); want != "" && want != s.ID {
		return write(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"+head+"\r\n")
	}
	if id == "" {
		return write(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nX-Goldcrestturn-Not-Executed: 1\r\n\r\n")
	}
	s.log(fmt.Sprintf("runs %s, %s %s, %d bytes of body, last event %q, leaving %v", id, req.Method, req.RequestURI, length, req.Header.Get("Last-Event-Id"), s.leaving.Load()))
	if s.Deadly != "" && strings.Contains(","+req.Header.Get("X-Goldcrestturn-Prefix-Hash"), ","+s.Deadly+":") {
		s.log("crashes at " + id)
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	}
	head += "X-Goldcrestturn-Server-Signature: " + s.ID + "." + id + "\r\n"
	stream := strings.HasPrefix(req.URL.Path, "/stream")
	if stream {
		head += "Content-Type: text/event-stream\r\n"
	}
	pieces, total := make([]string, s.Events), 0
	for i := range pieces {
		pieces[i] = piece(i, stream)
		if i == s.Long && i > 0 {
			pieces[i] = longPiece(i)
		}
		total += len(pieces[i])
	}
	from := 0
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil && stream {
		from = last + 1
	}
	framing := "Transfer-Encoding: chunked\r\n"
	switch {
	case s.Unframed:
		framing = "Connection: close\r\n"
	case !stream:
		framing = fmt.Sprintf("Content-Length: %d\r\n", total)
	}
	if !write(c, "HTTP/1.1 200 OK\r\n"+framing+head+"\r\n") {
		return false
	}
	for i := from; i < len(pieces); i++ {
		parts := []string{pieces[i]}
		if i == s.Long && i > 0 { // its last line in a chunk of its own
			parts = []string{pieces[i][:len(pieces[i])-1], "\n"}
		}
		for _, text := range parts {
			if stream && !s.Unframed {
				text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
			}
			if !write(c, text) {
				s.log(fmt.Sprintf("dropped %s after %d pieces", id, i))
				return false
			}
			if len(parts) > 1 {
				s.log(fmt.Sprintf("sent %s a part of piece %d", id, i+1))
				pause(s.Interval)
			}
		}
		s.log(fmt.Sprintf("sent %s piece %d of %d", id, i+1, len(pieces)))
		pause(s.Interval)
	}
	s.log("completed " + id)
	if s.Unframed {
		return false
	}
	return !stream || write(c, "0\r\n\r\n")
}

// piece returns an event of a stream, or a part of another answer.
func piece(i int, stream bool) string {
	if stream {
		return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
	}
	return fmt.Sprintf("part %03d;", i)
}

// longData is the length of the data of a long event, so that its line has 1024 bytes.
const longData = 1018

// longPiece returns an event with data of longData bytes.
func longPiece(i int) string {
	data := fmt.Sprintf("piece %d ", i)
	return fmt.Sprintf("id: %d\ndata: %s\n\n", i, data+strings.Repeat("x", longData-len(data)))
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// endpoint is an endpoint process of a script.
type endpoint struct {
	*process
	id, address, pool, zone string
	behaviour               behaviour
	born                    int64 // start of its process, Unix ms
	lock                    lock  // for lines
	lines                   []string
}

// newEndpoint starts an endpoint and lists it as ready.
func (f *fleet) newEndpoint(id, pool, zone string, b behaviour) *endpoint {
	e := &endpoint{id: id, address: freePort(), pool: pool, zone: zone, behaviour: b, lock: newLock()}
	e.behaviour.Listen, e.behaviour.ID = e.address, id
	f.launch(e)
	f.list(e, "ready")
	return e
}

// launch starts the process of an endpoint and waits until it listens.
func (f *fleet) launch(e *endpoint) {
	listens := make(chan struct{})
	e.born = time.Now().UnixMilli()
	text, err := json.Marshal(e.behaviour)
	if err != nil {
		cannotRun("%s: %v", e.id, err)
	}
	e.process = f.start(e.id, self(), "endpoint", string(text))
	go e.follow(func(line string) {
		f.note("%s: %s", e.id, line)
		if strings.HasPrefix(line, "listens") {
			close(listens)
		}
		e.lock.acquire()
		e.lines = append(e.lines, line)
		e.lock.release()
	})
	select {
	case <-listens:
	case <-time.After(5 * time.Second):
		cannotRun("%s does not listen", e.id)
	}
}

// list writes the record of an endpoint.
func (f *fleet) list(e *endpoint, state string) {
	f.note("%s listed as %s", e.id, state)
	f.store.Put("keyed.servers", e.id, map[string]any{"Service": e.pool, "Address": e.address, "Zone": e.zone, "Version": "v1", "Slots": 8,
		"State": state, "ColdLeftMs": 0, "Sequence": 1, "born": e.born})
}

// unlist removes the record of an endpoint.
func (f *fleet) unlist(e *endpoint) {
	f.note("the entry of %s is removed", e.id)
	f.store.Put("keyed.servers", e.id, nil)
}

// has reports whether a line with this beginning was written.
func (e *endpoint) has(prefix string) bool {
	e.lock.acquire()
	defer e.lock.release()
	for _, l := range e.lines {
		if strings.HasPrefix(l, prefix) {
			return true
		}
	}
	return false
}

// await waits for a line with this beginning.
func (e *endpoint) await(prefix string, limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); pause(5 * time.Millisecond) {
		if e.has(prefix) {
			return
		}
	}
	cannotRun("%s does not say %q within %v", e.id, prefix, limit)
}
