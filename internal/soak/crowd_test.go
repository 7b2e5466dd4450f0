package soak

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// The settings of the processes under crowds, from which the bounds of the tests follow,
// and the size of a crowd.
const (
	crowdMemoryMB    = 64
	crowdMaxFDs      = 4096
	crowdConnections = 900
	crowdBodyLimit   = 4 << 20  // bytes of one body
	crowdHeadLimit   = 64 << 10 // bytes of one head
	// scarceMaxFDs is less than crowdConnections.
	scarceMaxFDs = 512
	// narrowMemoryMB is for listeners that have few descriptors, so that what these hold
	// shows.
	narrowMemoryMB = 28
)

// shape is how the callers of a crowd send a body that they do not finish.
type shape struct {
	framing string        // header field that says where the body ends
	parts   [][]byte      // written one after the other
	pause   time.Duration // after each part
}

// bodyShapes returns the shapes of bodies by name, for a limit of the given bytes.
func bodyShapes(limit int) map[string]shape {
	const chunked, pause = "Transfer-Encoding: chunked", time.Millisecond
	announced := func(n int) string { return fmt.Sprint("Content-Length: ", n) }
	plain := bytes.Repeat([]byte("x"), 2*limit)
	large, small := chunksOf(64<<10, limit/(64<<10)-1), chunksOf(1, 200_000)
	return map[string]shape{
		"announced, whole":           {announced(limit), [][]byte{plain[:limit-1]}, 0},
		"announced, in pieces":       {announced(limit), pieces(plain[:limit-1], 4<<10), pause},
		"large chunks, whole":        {chunked, [][]byte{large}, 0},
		"large chunks, in pieces":    {chunked, pieces(large, 4<<10), pause},
		"small chunks, whole":        {chunked, [][]byte{small}, 0},
		"small chunks, in pieces":    {chunked, pieces(small[:12_000], 6), pause},
		"over the limit, announced":  {announced(256 * limit), [][]byte{plain}, 0},
		"over the limit, only sent":  {chunked, [][]byte{large, large, large, large}, 0},
		"over the limit, in pieces":  {announced(256 * limit), pieces(plain, 4<<10), pause},
		"announced and nothing sent": {announced(limit), nil, 0},
		"many fields after a body":   {chunked, [][]byte{[]byte("1\r\nx\r\n0\r\n" + shortTrailer() + "\r\n")}, 0},
		"bytes after the end":        {announced(0), [][]byte{plain}, 0},
	}
}

// shortTrailer returns the fields of a trailer that is as long as the HTTP server reads,
// with as many different names as fit.
func shortTrailer() string {
	const length, letters = 4000, "abcdefghijklmnopqrstuvwxyz0123456789"
	var text strings.Builder
	for i := 0; text.Len() < length; i++ {
		fmt.Fprintf(&text, "%c%c:\r\n", letters[i%len(letters)], letters[i/len(letters)%len(letters)])
	}
	return text.String()
}

// chunksOf returns n chunks of the given size without the last chunk of a body.
func chunksOf(size, n int) []byte {
	return bytes.Repeat(fmt.Appendf(nil, "%x\r\n%s\r\n", size, strings.Repeat("x", size)), n)
}

// pieces cuts b into parts of n bytes.
func pieces(b []byte, n int) (out [][]byte) {
	for len(b) > n {
		out, b = append(out, b[:n]), b[n:]
	}
	return append(out, b)
}

// send returns a function that sends a request of this shape, whose head lacks the framing
// and the blank line.
func (s shape) send(head string) func(net.Conn) {
	first := []byte(head + s.framing + "\r\n\r\n")
	return func(c net.Conn) {
		// The send buffers of the crowd are memory of the machine, but not of the process.
		_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
		if _, err := c.Write(first); err != nil {
			return
		}
		for _, part := range s.parts {
			if _, err := c.Write(part); err != nil {
				return
			}
			time.Sleep(s.pause)
		}
	}
}

// target is where a crowd sends its requests.
type target struct {
	address string
	head    string // of the requests, without the framing
}

// crowd is a number of callers that send at the same time and leave their connections open.
type crowd struct {
	connections int
	sends       []func(net.Conn) // each is used by every len(sends)th connection
	address     string
}

// withstandCrowd checks that the process lives within the memory and the descriptors of
// its settings while the crowd's connections are open, and that an ordinary request is
// answered afterwards. addresses are those on which the process listens.
func (f *fleet) withstandCrowd(p *process, c crowd, addresses []string, serves func() bool) {
	watched, stop := make(chan usage, 1), make(chan struct{})
	go func() { watched <- p.watchUsage(addresses, stop) }()
	release := make(chan struct{})
	var sending, open sync.WaitGroup
	for i := range c.connections {
		sending.Add(1)
		open.Go(func() { holdConnection("", c.address, c.sends[i%len(c.sends)], sending.Done, release) })
	}
	sending.Wait()
	time.Sleep(crowdHold)
	answered := serves()
	close(release)
	open.Wait()
	answered = answered && serves()
	close(stop)
	peak := <-watched
	f.t.Logf("peak of memory %d MB, of %d MB, of it received and not read at most %d MB; of descriptors %d, of %d",
		peak.memory>>20, f.memoryMB, peak.unread>>20, peak.descriptors, f.maxFDs)
	if peak.memory == 0 || peak.memory > int64(f.memoryMB)<<20 {
		f.fail("memory of %d MB, of it %d MB not read, exceeds the limit of %d MB", peak.memory>>20, peak.unread>>20, f.memoryMB)
	}
	if peak.descriptors == 0 || peak.descriptors > f.maxFDs {
		f.fail("%d open descriptors exceed the limit of %d", peak.descriptors, f.maxFDs)
	}
	if !answered {
		f.fail("an ordinary request is not answered")
	}
}

// crowdHold is how long the connections stay open after all have sent what they send.
const crowdHold = time.Second

// startCrowdRouter starts a router with an endpoint that answers and one whose answers
// take a while.
func startCrowdRouter(t *testing.T, binary string, memoryMB, maxFDs int) (*fleet, *process) {
	t.Helper()
	f := newFleet(t, binary, 0, 0, 0)
	f.addDirectEndpoint("service", "service").SetFaults(standin.EndpointFaults{Latency: 2 * time.Second})
	f.addDirectEndpoint("sound", "sound").SetFaults(healthyEndpoint)
	config := routeConfig(2, "key-1")
	limits := config["Limits"].(map[string]any)
	limits["MaxBodyBytes"], limits["MaxHeaderBytes"] = crowdBodyLimit, crowdHeadLimit
	sound := standin.Config(2, []standin.Route{{Name: "sound", Path: "/sound/", Type: "safe", Pool: "sound", Timeout: time.Minute, LatencyTarget: 200 * time.Millisecond, Attempts: 2}}, nil)
	for _, key := range []string{"Routes", "Services"} {
		config[key] = append(config[key].([]any), sound[key].([]any)...)
	}
	f.store.SetConfig(config)
	f.memoryMB, f.maxFDs = memoryMB, maxFDs
	f.addRouter(0, nil)
	if !f.awaitReady(recoveryTimeout) {
		t.Fatal("the router is not ready at the start")
	}
	return f, f.routers[0]
}

// listening returns the addresses on which a router listens.
func (p *process) listening() []string {
	return []string{p.callerAddress, p.readyAddress, p.metricsAddress, p.exchangeAddress}
}

// crowdRouter runs a crowd against a new router.
func crowdRouter(t *testing.T, binary string, memoryMB, maxFDs int, of func(*process) crowd) {
	t.Helper()
	f, p := startCrowdRouter(t, binary, memoryMB, maxFDs)
	f.withstandCrowd(p, of(p), p.listening(), func() bool { return answersOrdinaryRequest(p) && p.isReadyEventually() })
	f.report(1)
}

// routerTargets returns the places at which a caller reaches a router.
func routerTargets(p *process) map[string]target {
	withoutKey := func(head string) string { return strings.Replace(head, "Authorization: Bearer key-1\r\n", "", 1) }
	return map[string]target{
		"route":              {p.callerAddress, callerHead("POST", "/assign/x")},
		"route, no key":      {p.callerAddress, withoutKey(callerHead("POST", "/assign/x"))},
		"no route":           {p.callerAddress, callerHead("POST", "/none/x")},
		"no route, no key":   {p.callerAddress, withoutKey(callerHead("POST", "/none/x"))},
		"readiness":          {p.readyAddress, "GET /ready HTTP/1.1\r\nHost: h\r\n"},
		"readiness, no path": {p.readyAddress, "POST /none HTTP/1.1\r\nHost: h\r\n"},
		"metrics":            {p.metricsAddress, "GET /metrics HTTP/1.1\r\nHost: h\r\n"},
		"metrics, no path":   {p.metricsAddress, "POST /none HTTP/1.1\r\nHost: h\r\n"},
	}
}

// mainPlaces get bodies of all shapes, and all places get those of mainShapes.
var (
	mainPlaces = []string{"route", "no route"}
	mainShapes = []string{"announced, whole", "large chunks, whole", "small chunks, whole", "over the limit, only sent"}
)

// Guards against callers that end a router by its memory, that of its sockets included:
// they send legal bodies at the same time and stop short of their end, or send bodies far
// over the limit.
func TestCrowdsOfRouters(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := buildRouter(t)
	for place := range routerTargets(&process{}) {
		for name, s := range bodyShapes(crowdBodyLimit) {
			if !slices.Contains(mainPlaces, place) && !slices.Contains(mainShapes, name) {
				continue
			}
			memoryMB := crowdMemoryMB
			if strings.HasPrefix(place, "readiness") || strings.HasPrefix(place, "metrics") {
				memoryMB = narrowMemoryMB
			}
			t.Run(place+"/"+name, func(t *testing.T) {
				crowdRouter(t, binary, memoryMB, crowdMaxFDs, func(p *process) crowd {
					at := routerTargets(p)[place]
					return crowd{crowdConnections, []func(net.Conn){s.send(at.head)}, at.address}
				})
			})
		}
	}
	for name, maxFDs := range map[string]int{"all shapes at once": crowdMaxFDs, "all shapes at once, few descriptors": scarceMaxFDs} {
		t.Run(name, func(t *testing.T) {
			crowdRouter(t, binary, crowdMemoryMB, maxFDs, func(p *process) crowd {
				c := crowd{connections: crowdConnections, address: p.callerAddress}
				for _, at := range routerTargets(p) {
					for _, s := range bodyShapes(crowdBodyLimit) {
						if at.address == p.callerAddress {
							c.sends = append(c.sends, s.send(at.head))
						}
					}
				}
				return c
			})
		})
	}
}

// Guards against the same with heads inside the limits that cost much to parse.
func TestCrowdsOfLargeHeads(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := buildRouter(t)
	distinct := &strings.Builder{}
	for i := range 3900 {
		fmt.Fprintf(distinct, "f%d:\r\n", i)
	}
	for name, fields := range map[string]string{"one name": strings.Repeat("a:\r\n", 3900), "many names": distinct.String(), "one long field": "a: " + strings.Repeat("x", 60_000) + "\r\n"} {
		for place := range routerTargets(&process{}) {
			if !slices.Contains(mainPlaces, place) {
				continue
			}
			t.Run(place+"/"+name, func(t *testing.T) {
				crowdRouter(t, binary, crowdMemoryMB, crowdMaxFDs, func(p *process) crowd {
					at := routerTargets(p)[place]
					s := bodyShapes(crowdBodyLimit)["announced, whole"]
					return crowd{crowdConnections, []func(net.Conn){s.send(at.head + fields)}, at.address}
				})
			})
		}
	}
}

// Guards against the same at the address for peers, whose key is no secret.
func TestCrowdsOfPeers(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := buildRouter(t)
	const messageBytes = 900_000
	// The length of a gob message of messageBytes, and all of it but the end.
	unfinished := append([]byte("\xfd\x0d\xbb\xa0"), bytes.Repeat([]byte("x"), messageBytes-1)...)
	flood := bytes.Repeat([]byte("\xff"), messageBytes)
	for name, parts := range map[string][][]byte{
		"unfinished message":          {unfinished},
		"unfinished message with key": {helloMessage(t, "goldcrest-router"), unfinished},
		"no message":                  {flood},
		"short message, no end":       {unfinished[:1], flood},
	} {
		t.Run(name, func(t *testing.T) {
			crowdRouter(t, binary, crowdMemoryMB, crowdMaxFDs, func(p *process) crowd {
				return crowd{crowdConnections, []func(net.Conn){func(c net.Conn) {
					for _, part := range parts {
						if _, err := c.Write(part); err != nil {
							return
						}
					}
				}}, p.exchangeAddress}
			})
		})
	}
}

// Guards against the same with responses that nobody reads: what endpoints go on sending
// counts too.
func TestCrowdsThatDoNotRead(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := buildRouter(t)
	event := []byte("data: " + strings.Repeat("x", 16<<10) + "\n\n")
	endless := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		const header = "X-Goldcrestturn-Request-Id"
		w.Header().Set(header, r.Header.Get(header))
		w.Header().Set("X-Goldcrestturn-Server-Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		for {
			if _, err := w.Write(event); err != nil {
				return
			}
		}
	})
	crowdRouter(t, binary, crowdMemoryMB, crowdMaxFDs, func(p *process) crowd {
		const endpoints = 100
		for i := range endpoints {
			srv := httptest.NewServer(endless)
			t.Cleanup(srv.Close)
			p.fleet.store.Put("keyed.servers", fmt.Sprint("endless-", i), map[string]any{
				"Service": "engines", "Address": srv.Listener.Addr().String(), "Zone": "dc-0", "Version": "v1", "Slots": 16, "State": "ready", "ColdLeftMs": 0, "Sequence": 1,
			})
		}
		send := shape{"Content-Length: 0", nil, 0}.send(callerHead("POST", "/stream/brief/x"))
		for range 10 * ordinaryAttempts { // until the router has read that the endpoint is listed
			if firstStatus(p.callerAddress, send) == http.StatusOK {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		return crowd{crowdConnections, []func(net.Conn){send}, p.callerAddress}
	})
}

// helloMessage returns the first call on a connection between peers.
func helloMessage(t *testing.T, key string) []byte {
	var out bytes.Buffer
	enc := gob.NewEncoder(&out)
	if err := enc.Encode(rpc.Request{ServiceMethod: "H.Hello"}); err != nil {
		t.Fatal(err)
	}
	if err := enc.Encode(struct{ Key string }{key}); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// Guards against bounds on crowds that a single caller inside the limits meets.
func TestCrowdBoundsPassSingleBodies(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f, p := startCrowdRouter(t, buildRouter(t), crowdMemoryMB, crowdMaxFDs)
	// A slow machine must not miss the deadline.
	head := strings.Replace(callerHead("POST", "/sound/x"), "Deadline-Ms: 4000", "Deadline-Ms: 60000", 1)
	plain := bytes.Repeat([]byte("x"), crowdBodyLimit)
	end := []byte("0\r\n\r\n")
	for name, s := range map[string]shape{
		"announced":            {fmt.Sprint("Content-Length: ", crowdBodyLimit), [][]byte{plain}, 0},
		"announced, in pieces": {fmt.Sprint("Content-Length: ", crowdBodyLimit), pieces(plain, 32<<10), time.Millisecond},
		"large chunks":         {"Transfer-Encoding: chunked", [][]byte{chunksOf(64<<10, crowdBodyLimit/(64<<10)), end}, 0},
		"small chunks":         {"Transfer-Encoding: chunked", [][]byte{chunksOf(1, 100_000), end}, 0},
		"awaited":              {"Expect: 100-continue\r\nContent-Length: 100000", [][]byte{plain[:100_000]}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := firstStatus(p.callerAddress, s.send(head)); got != http.StatusOK {
				t.Errorf("the request is answered %d", got)
			}
		})
	}
	f.report(1)
}

// Guards against refusals that wait for the rest of a body which is not needed for them,
// and against those that say something else than the cause.
func TestRefusalsDoNotAwaitBodies(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f, p := startCrowdRouter(t, buildRouter(t), crowdMemoryMB, crowdMaxFDs)
	at := routerTargets(p)
	for name, c := range map[string]struct {
		place, framing string
		want           int
	}{
		"no route":                 {"no route", "Content-Length: 100", http.StatusNotFound},
		"no route, chunked":        {"no route", "Transfer-Encoding: chunked", http.StatusNotFound},
		"no key":                   {"route, no key", "Content-Length: 100", http.StatusUnauthorized},
		"no key, chunked":          {"route, no key", "Transfer-Encoding: chunked", http.StatusUnauthorized},
		"over the limit":           {"route", fmt.Sprint("Content-Length: ", crowdBodyLimit+1), http.StatusRequestEntityTooLarge},
		"no route, over the limit": {"no route", fmt.Sprint("Content-Length: ", crowdBodyLimit+1), http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			s := shape{c.framing, [][]byte{[]byte("1\r\nx\r\n")}, 0}
			if got := firstStatus(p.callerAddress, s.send(at[c.place].head)); got != c.want {
				t.Errorf("a body of which a part is sent is answered %d, not %d", got, c.want)
			}
		})
	}
	f.report(1)
}

// firstStatus sends a request and returns the status of its response, whose body it does not
// read, or 0 if there is none.
func firstStatus(address string, send func(net.Conn)) int {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer c.Close()
	go send(c)
	// Far above the time of any response, also of one that waits for the body.
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	r := bufio.NewReader(c)
	for {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return 0
		}
		if res.StatusCode != http.StatusContinue {
			return res.StatusCode
		}
	}
}
