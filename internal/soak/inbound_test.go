package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// Settings of the router under misbehaving callers. The bounds of the test are these
// settings: the platform kills a process that exceeds its memory, and a process without
// descriptors reaches neither endpoints nor the store.
const (
	inboundMemoryMB = 96
	inboundMaxFDs   = 512
	// Settings of the rows about memory, so that no bound on descriptors hides it.
	smallMemoryMB = 64
	wideMaxFDs    = 4096
	// manyConnections is more than inboundMaxFDs. largeConnections is the number of
	// connections that hold about a megabyte or more each.
	manyConnections   = 600
	largeConnections  = 150
	memoryConnections = 900
	// inboundHold is how long the connections stay open after they have sent what they
	// send.
	inboundHold = 3 * time.Second
)

// callerHead returns the head of a request up to its last field, as callers send it.
func callerHead(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: app.example\r\nX-Goldcrestturn-Request-Id: i-1\r\nX-Goldcrestturn-Deadline-Ms: 4000\r\nAuthorization: Bearer key-1\r\n"
}

// inboundLoad is one kind of misbehaving connections.
type inboundLoad struct {
	connections int
	// address returns the address of the connections; nil means that of callers.
	address func(*process) string
	memory  bool   // with smallMemoryMB and wideMaxFDs
	source  string // IP address of the connections; the usual one if empty
	ongoing bool   // send runs until the connections are released, and is not waited for
	// send runs on each connection until it has sent all or the router closes the
	// connection. Writes fail after inboundHold.
	send func(c net.Conn)
}

func atReadiness(p *process) string { return p.readyAddress }
func atMetrics(p *process) string   { return p.metricsAddress }
func atExchange(p *process) string  { return p.exchangeAddress }

// sendAll sends the texts one after the other.
func sendAll(texts ...string) func(net.Conn) {
	return func(c net.Conn) {
		for _, text := range texts {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

// sendSlowly sends first at once and then a byte of rest each 100 ms.
func sendSlowly(first, rest string) func(net.Conn) {
	return func(c net.Conn) {
		_, err := io.WriteString(c, first)
		for i := 0; i < len(rest) && err == nil; i++ {
			time.Sleep(100 * time.Millisecond)
			_ = c.SetWriteDeadline(time.Now().Add(inboundHold))
			_, err = c.Write([]byte{rest[i]})
		}
	}
}

// Guards against callers that end the process by its memory or take all its descriptors
// with unfinished, oversized or unread requests, and so all requests of other callers.
func TestMisbehavingCallers(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	shortFields := strings.Repeat("a:\r\n", 3900)
	bodyPart := strings.Repeat("x", 59<<10)
	allowedFields := "" // distinct names, all within the limits
	for i := range 240 {
		allowedFields += fmt.Sprintf("Field-%d: x\r\n", i)
	}
	megabyte := strings.Repeat("x", 1<<20)
	chunk := "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"
	loads := map[string]inboundLoad{
		"readiness/one huge field":     {connections: largeConnections, address: atReadiness, send: sendAll("GET /ready HTTP/1.1\r\nHost: h\r\nX-Field: ", strings.Repeat("x", 900_000))},
		"readiness/many short fields":  {connections: largeConnections, address: atReadiness, send: sendAll("GET /ready HTTP/1.1\r\nHost: h\r\n", strings.Repeat("a:\n", 200_000))},
		"readiness/unfinished bodies":  {connections: manyConnections, address: atReadiness, send: sendAll("POST /ready HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\n", megabyte)},
		"readiness/nothing sent":       {connections: manyConnections, address: atReadiness, send: sendAll()},
		"readiness/unfinished chunked": {connections: manyConnections, address: atReadiness, send: sendAll("GET /ready HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", chunk)},
	}
	for name, path := range map[string]string{"route": "/read/x", "no route": "/none/x"} {
		head := callerHead("POST", path)
		fields := callerHead("POST", path) + shortFields
		loads[name+"/many short fields and an unfinished body"] = inboundLoad{connections: manyConnections, send: sendAll(fields+"Content-Length: 60416\r\n\r\n", bodyPart)}
		loads[name+"/unfinished head"] = inboundLoad{connections: manyConnections, send: sendAll(head+"X-Field: ", strings.Repeat("x", 60_000))}
		loads[name+"/memory, many short fields and an unfinished body"] = inboundLoad{connections: memoryConnections, memory: true, send: sendAll(fields+"Content-Length: 60416\r\n\r\n", bodyPart)}
		loads[name+"/memory, allowed fields and an unfinished body"] = inboundLoad{connections: memoryConnections, memory: true, send: sendAll(head+allowedFields+"Content-Length: 60416\r\n\r\n", bodyPart)}
		loads[name+"/memory, unfinished head"] = inboundLoad{connections: memoryConnections, memory: true, send: sendAll(head+"X-Field: ", strings.Repeat("x", 60_000))}
		loads[name+"/unfinished chunks"] = inboundLoad{connections: manyConnections, send: sendAll(head+"Transfer-Encoding: chunked\r\n\r\n", chunk)}
		loads[name+"/unfinished bodies"] = inboundLoad{connections: manyConnections, send: sendAll(head+"Content-Length: 60416\r\n\r\n", bodyPart)}
		loads[name+"/long bodies"] = inboundLoad{connections: manyConnections, send: sendAll(head+"Content-Length: 67108864\r\n\r\n", megabyte, megabyte, megabyte, megabyte, megabyte, megabyte)}
		loads[name+"/long chunked bodies"] = inboundLoad{connections: manyConnections, send: sendAll(head+"Transfer-Encoding: chunked\r\n\r\n", strings.Repeat(chunk, 1536))}
		loads[name+"/pipelined, responses not read"] = inboundLoad{connections: manyConnections, send: sendAll(strings.Repeat(head+"Content-Length: 0\r\n\r\n", 30))}
		loads[name+"/slow heads"] = inboundLoad{connections: manyConnections, send: sendSlowly(head, "X-Field: x\r\nX-Field: x\r\nX-Field: x\r\n")}
		loads[name+"/slow bodies"] = inboundLoad{connections: manyConnections, send: sendSlowly(head+"Content-Length: 60416\r\n\r\n"+bodyPart, strings.Repeat("x", 36))}
	}
	loads["streams that are not read"] = inboundLoad{connections: manyConnections, send: sendAll(callerHead("POST", "/stream/brief/x") + "Content-Length: 0\r\n\r\n")}
	for name, address := range map[string]func(*process) string{"metrics": atMetrics, "exchange": atExchange} {
		loads[name+"/nothing sent"] = inboundLoad{connections: manyConnections, address: address, send: sendAll()}
		loads[name+"/unfinished head"] = inboundLoad{connections: manyConnections, address: address, send: sendAll("GET /metrics HTTP/1.1\r\nHost: h\r\nX-Field: ", strings.Repeat("x", 60_000))}
	}
	// The length of a gob message of 900,000 bytes, and all of it but the end.
	loads["exchange/unfinished message"] = inboundLoad{connections: largeConnections, address: atExchange, send: sendAll("\xfd\x0d\xbb\xa0", strings.Repeat("x", 890_000))}
	// Callers that never stall for long, at another address than the ordinary one.
	loads["another address/bodies that go on slowly"] = inboundLoad{connections: manyConnections, source: "127.0.0.2", ongoing: true,
		send: sendSlowly(callerHead("POST", "/read/x")+"Content-Length: 60416\r\n\r\n", strings.Repeat("x", 300))}
	binary := buildRouter(t)
	for name, load := range loads {
		t.Run(name, func(t *testing.T) { runInbound(t, binary, load) })
	}
}

// runInbound starts a router and checks that it withstands a load.
func runInbound(t *testing.T, binary string, load inboundLoad) {
	f := newFleet(t, binary, 0, 0, 0)
	f.addDirectEndpoint("service", "service").SetFaults(healthyEndpoint)
	f.addDirectEndpoint("engine", "engines").SetFaults(standin.EndpointFaults{EventInterval: 5 * time.Millisecond, Events: 400})
	f.addDirectEndpoint("sound", "sound").SetFaults(healthyEndpoint)
	config := routeConfig(2, "key-1")
	config["Limits"].(map[string]any)["MaxBodyBytes"] = 4 << 20
	sound := standin.Config(2, []standin.Route{{Name: "sound", Path: "/sound/", Type: "safe", Pool: "sound", Timeout: 2 * time.Second, LatencyTarget: 200 * time.Millisecond, Attempts: 2}}, nil)
	for _, key := range []string{"Routes", "Services"} {
		config[key] = append(config[key].([]any), sound[key].([]any)...)
	}
	f.store.SetConfig(config)
	f.memoryMB, f.maxFDs = inboundMemoryMB, inboundMaxFDs
	if load.memory {
		f.memoryMB, f.maxFDs = smallMemoryMB, wideMaxFDs
	}
	f.addRouter(0, nil)
	if !f.awaitReady(recoveryTimeout) {
		t.Fatal("the router is not ready at the start")
	}
	p := f.routers[0]
	f.withstand(p, load, func() bool { return answersOrdinaryRequest(p) && p.isReadyEventually() })
	f.report(1)
}

// withstand opens the connections of a load and checks that the process lives within the
// memory and the descriptors of its settings and serves while they are open.
func (f *fleet) withstand(p *process, load inboundLoad, serves func() bool) {
	watched, stop := make(chan int, 1), make(chan struct{})
	go func() { watched <- p.watchDescriptors(stop) }()
	address := p.callerAddress
	if load.address != nil {
		address = load.address(p)
	}
	release := make(chan struct{})
	var sending, open sync.WaitGroup
	for range load.connections {
		sent := func() {}
		if !load.ongoing {
			sending.Add(1)
			sent = sending.Done
		}
		open.Go(func() { holdConnection(load.source, address, load.send, sent, release) })
	}
	sending.Wait()
	time.Sleep(inboundHold)
	answered := serves()
	close(release)
	open.Wait()
	close(stop)
	descriptors := <-watched
	memory := p.peakMemory()
	f.t.Logf("peak of memory %d MB, of %d MB; of descriptors %d, of %d", memory>>20, f.memoryMB, descriptors, f.maxFDs)
	if memory == 0 || memory > int64(f.memoryMB)<<20 {
		f.fail("memory of %d MB exceeds the limit of %d MB", memory>>20, f.memoryMB)
	}
	if descriptors == 0 || descriptors > f.maxFDs {
		f.fail("%d open descriptors exceed the limit of %d", descriptors, f.maxFDs)
	}
	if !answered {
		f.fail("an ordinary request is not answered")
	}
}

// holdConnection opens a connection from source with a small receive buffer, sends on it,
// and leaves it open without reading until release is closed.
func holdConnection(source, address string, send func(net.Conn), sent func(), release <-chan struct{}) {
	sent = sync.OnceFunc(sent)
	defer sent()
	d := net.Dialer{Timeout: inboundHold, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	if source != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	c, err := d.Dial("tcp", address)
	if err != nil {
		return // refused, which a router may do
	}
	defer c.Close()
	_ = c.SetWriteDeadline(time.Now().Add(inboundHold))
	stop := make(chan struct{})
	go func() {
		select {
		case <-release:
			_ = c.Close() // ends send
		case <-stop:
		}
	}()
	send(c)
	close(stop)
	sent()
	<-release
}

// ordinaryAttempts bounds how often an ordinary caller tries again after a refusal or a
// closed connection.
const ordinaryAttempts = 10

// answersOrdinaryRequest sends a request like a caller who tries again on a new connection
// after a refusal, and reports whether it is answered.
func answersOrdinaryRequest(p *process) bool {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range ordinaryAttempts {
		req, _ := http.NewRequest(http.MethodPost, "http://"+p.callerAddress+"/sound/x", strings.NewReader("body"))
		req.Host = "app.example"
		req.Header.Set("X-Goldcrestturn-Request-Id", fmt.Sprint("ordinary-", i))
		req.Header.Set("X-Goldcrestturn-Deadline-Ms", "4000")
		req.Header.Set("Authorization", "Bearer key-1")
		res, err := client.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			if err == nil && res.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// isReadyEventually repeats the readiness check like the load balancer.
func (p *process) isReadyEventually() bool {
	for range ordinaryAttempts {
		if p.isReady() {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// watchDescriptors returns the most descriptors that the process had open until stop was
// closed.
func (p *process) watchDescriptors(stop <-chan struct{}) (most int) {
	p.mu.Lock()
	path := "/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/fd"
	p.mu.Unlock()
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		entries, _ := os.ReadDir(path)
		most = max(most, len(entries))
		select {
		case <-stop:
			return most
		case <-t.C:
		}
	}
}

// Guards against bounds that a caller inside the limits reaches: one who keeps a thousand
// connections, at one address and the smallest router of the platform, and opens a new one
// for each request.
func TestManyConnectionsOfOneCaller(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const connections, workers, memory, descriptors = 1000, 16, 136, 2870
	f := newFleet(t, buildRouter(t), 0, 0, 0)
	f.addDirectEndpoint("service", "service").SetFaults(healthyEndpoint)
	f.memoryMB, f.maxFDs = memory, descriptors
	f.addRouter(0, nil)
	if !f.awaitReady(recoveryTimeout) {
		t.Fatal("the router is not ready at the start")
	}
	address := f.routers[0].callerAddress
	conns := make([]net.Conn, connections)
	// Two rounds: on new connections, and on the same ones once all are open, before they
	// have been idle for long.
	for _, round := range []string{"new", "kept"} {
		var running sync.WaitGroup
		for first := range workers {
			running.Go(func() {
				for i := first; i < connections; i += workers {
					if conns[i] == nil {
						c, err := net.Dial("tcp", address)
						if err != nil {
							f.fail("connection %d: %v", i, err)
							return
						}
						conns[i] = c
					}
					if status := ordinaryStatus(conns[i]); status != http.StatusOK {
						f.fail("request %d on a %s connection is answered %d", i, round, status)
					}
				}
			})
		}
		running.Wait()
	}
	for _, c := range conns {
		if c != nil {
			_ = c.Close()
		}
	}
	if peak := f.routers[0].peakMemory(); peak > memory<<20 {
		f.fail("memory of %d MB exceeds the limit of %d MB", peak>>20, memory)
	}
	f.report(1)
}

// ordinaryStatus sends a request on a connection and returns the status of its response, or
// 0 if there is none.
func ordinaryStatus(c net.Conn) int {
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	if _, err := io.WriteString(c, callerHead("POST", "/read/x")+"Content-Length: 4\r\n\r\nbody"); err != nil {
		return 0
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

// Guards against the same at each listener of entries and sides, which serve no plain
// request without the platform, so that the check of their admin address is the ordinary
// request.
func TestMisbehavingCallersOfEntriesAndSides(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	bodyPart := strings.Repeat("x", 1<<20)
	shortFields := strings.Repeat("a:\n", 10_000)
	loads := map[string]inboundLoad{
		"nothing sent":       {connections: manyConnections, send: sendAll()},
		"many short fields":  {connections: manyConnections, send: sendAll("POST /v1/services/a/b HTTP/1.1\r\nHost: h\r\n", shortFields)},
		"unfinished bodies":  {connections: manyConnections, send: sendAll("POST /v1/services/a/b HTTP/1.1\r\nHost: h\r\nContent-Length: 1048577\r\n\r\n", bodyPart)},
		"unfinished message": {connections: manyConnections, send: sendAll("\xfd\x0d\xbb\xa0", bodyPart[:890_000])},
	}
	for _, kind := range []string{"entry", "side"} {
		binary := buildProgram(t, "goldcrest-"+kind)
		for _, listener := range []string{"listen", "admin", "control"} {
			for name, load := range loads {
				if (name == "unfinished message") != (listener == "control") && name != "nothing sent" {
					continue
				}
				t.Run(kind+"/"+listener+"/"+name, func(t *testing.T) { runInboundAt(t, binary, kind, listener, load) })
			}
		}
	}
}

// runInboundAt starts an entry or a side, without its platform, and checks that it
// withstands a load at one of its listeners.
func runInboundAt(t *testing.T, binary, kind, listener string, load inboundLoad) {
	f := &fleet{t: t, dir: t.TempDir(), binary: binary, memoryMB: inboundMemoryMB, maxFDs: inboundMaxFDs}
	addresses := map[string]string{"listen": freePort(t), "admin": freePort(t), "control": freePort(t)}
	nobody := "http://" + freePort(t)
	content := fmt.Sprintf("[%s]\ninstance = i-1\ndata_centre = dc-0\nregion = r\nmemory_mb = %d\nmax_fds = %d\n", kind, f.memoryMB, f.maxFDs)
	for key, address := range addresses {
		content += key + " = " + address + "\n"
	}
	if kind == "side" {
		content += "pool = p\nendpoint = " + nobody + "\n"
	}
	content += "[platform]\nlog_service = " + nobody + "\ninstance_list = " + nobody + "\n[fleet]\nkey = shared\n"
	p := &process{fleet: f, name: kind, settings: filepath.Join(f.dir, kind+".ini")}
	if err := os.WriteFile(p.settings, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	var err error
	if p.log, err = os.Create(filepath.Join(f.dir, kind+".log")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.signal(syscall.SIGKILL, true); p.log.Close() })
	p.launch()
	lives := func() bool {
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		for range 2 * ordinaryAttempts {
			if res, err := client.Get("http://" + addresses["admin"] + "/healthz"); err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					return true
				}
			}
			time.Sleep(250 * time.Millisecond)
		}
		return false
	}
	if !lives() {
		log, _ := os.ReadFile(p.log.Name())
		t.Fatalf("the %s does not start: %s", kind, log)
	}
	load.address = func(*process) string { return addresses[listener] }
	f.withstand(p, load, lives)
	f.report(1)
}
