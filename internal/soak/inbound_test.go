package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
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
	readiness   bool // at the readiness address, not that of callers
	memory      bool // with smallMemoryMB and wideMaxFDs
	// send runs on each connection until it has sent all or the router closes the
	// connection. Writes fail after inboundHold.
	send func(c net.Conn)
}

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
		"readiness/one huge field":     {connections: largeConnections, readiness: true, send: sendAll("GET /ready HTTP/1.1\r\nHost: h\r\nX-Field: ", strings.Repeat("x", 900_000))},
		"readiness/many short fields":  {connections: largeConnections, readiness: true, send: sendAll("GET /ready HTTP/1.1\r\nHost: h\r\n", strings.Repeat("a:\n", 200_000))},
		"readiness/unfinished bodies":  {connections: manyConnections, readiness: true, send: sendAll("POST /ready HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\n", megabyte)},
		"readiness/nothing sent":       {connections: manyConnections, readiness: true, send: sendAll()},
		"readiness/unfinished chunked": {connections: manyConnections, readiness: true, send: sendAll("GET /ready HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", chunk)},
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
	binary := buildRouter(t)
	for name, load := range loads {
		t.Run(name, func(t *testing.T) { runInbound(t, binary, load) })
	}
}

// runInbound starts a router, opens the connections of a load and checks that the process
// lives within its memory and descriptors and that an ordinary request is answered while
// the connections are still open.
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
	watched, stop := make(chan int, 1), make(chan struct{})
	go func() { watched <- p.watchDescriptors(stop) }()
	address := p.callerAddress
	if load.readiness {
		address = p.readyAddress
	}
	release := make(chan struct{})
	var sending, open sync.WaitGroup
	sending.Add(load.connections)
	for range load.connections {
		open.Go(func() {
			holdConnection(address, load.send, sending.Done, release)
		})
	}
	sending.Wait()
	time.Sleep(inboundHold)
	answered := answersOrdinaryRequest(p) && p.isReadyEventually()
	close(release)
	open.Wait()
	close(stop)
	descriptors := <-watched
	memory := p.peakMemory()
	t.Logf("peak of memory %d MB, of %d MB; of descriptors %d, of %d", memory>>20, f.memoryMB, descriptors, f.maxFDs)
	if memory == 0 || memory > int64(f.memoryMB)<<20 {
		f.fail("memory of %d MB exceeds the limit of %d MB", memory>>20, f.memoryMB)
	}
	if descriptors == 0 || descriptors > f.maxFDs {
		f.fail("%d open descriptors exceed the limit of %d", descriptors, f.maxFDs)
	}
	if !answered {
		f.fail("an ordinary request is not answered")
	}
	f.report(1)
}

// holdConnection opens a connection with a small receive buffer, sends on it, and leaves it
// open without reading until release is closed.
func holdConnection(address string, send func(net.Conn), sent func(), release <-chan struct{}) {
	sent = sync.OnceFunc(sent)
	defer sent()
	d := net.Dialer{Timeout: inboundHold, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	c, err := d.Dial("tcp", address)
	if err != nil {
		return // refused, which a router may do
	}
	defer c.Close()
	_ = c.SetWriteDeadline(time.Now().Add(inboundHold))
	send(c)
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
