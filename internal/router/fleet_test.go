package router_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/router"
	"github.com/goldcrestturn/goldcrestturn/platform"
	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

const (
	host        = "app.example"
	testTimeout = 10 * time.Second // far longer than any step of a test takes
)

// fleet is a stand-in store, stand-in endpoints and routers on the loopback
// interface.
type fleet struct {
	t         *testing.T
	store     *standin.Store
	endpoints []*standin.Endpoint
	ids       atomic.Int64
	features  router.Features // of the routers that are started
}

// process is a running router.
type process struct {
	fleet    *fleet
	url      string
	ready    string
	stop     context.CancelFunc
	ended    chan error
	logs     *syncBuffer
	exchange string // address for peers
	link     *cutLink
	client   *http.Client
}

// cutLink is the connection of a router to its peers, which can be cut in either
// direction. Calls of peers are cut with the datagrams that the router receives.
type cutLink struct {
	*net.UDPConn
	deaf, mute atomic.Bool // drops what the router receives, or sends
	lossy      atomic.Bool // drops half of the datagrams that the router receives, by their number
	received   atomic.Int64
}

func (l *cutLink) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	for {
		n, sender, err := l.UDPConn.ReadFromUDPAddrPort(b)
		if err != nil || !l.drops() {
			return n, sender, err
		}
	}
}

// drops reports whether the datagram that was received is lost.
func (l *cutLink) drops() bool {
	return l.deaf.Load() || l.lossy.Load() && l.received.Add(1)%2 == 0
}

func (l *cutLink) WriteToUDPAddrPort(b []byte, receiver netip.AddrPort) (int, error) {
	if l.mute.Load() {
		return len(b), nil
	}
	return l.UDPConn.WriteToUDPAddrPort(b, receiver)
}

// cutListener closes the connections of peers while a router is deaf to them.
type cutListener struct {
	net.Listener
	link *cutLink
}

func (l cutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.link.deaf.Load() {
		_ = c.Close()
	}
	return c, err
}

// syncBuffer collects the log lines that several goroutines write.
type syncBuffer struct {
	lines     chan []byte
	collected strings.Builder // the lines that text has taken from the channel
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	select {
	case b.lines <- bytes.Clone(p):
	default:
	}
	return len(p), nil
}

// text returns all lines so far. It must be called by one goroutine at a time.
func (b *syncBuffer) text() string {
	for {
		select {
		case l := <-b.lines:
			b.collected.Write(l)
		default:
			return b.collected.String()
		}
	}
}

// routes returns a configuration with routes of all kinds.
func routes(version int) map[string]any {
	return standin.Config(version, []standin.Route{
		{Name: "chat", Path: "/stream/chat/", Type: "stream", Pool: "engines", Timeout: 5 * time.Second, LatencyTarget: 200 * time.Millisecond, Attempts: 2, Resumable: true},
		{Name: "brief", Path: "/stream/brief/", Type: "stream", Pool: "engines", Timeout: 5 * time.Second, LatencyTarget: 500 * time.Millisecond, Attempts: 1},
		{Name: "assign", Path: "/assign/", Type: "unsafe", Pool: "service", Timeout: 2 * time.Second, LatencyTarget: 150 * time.Millisecond, Attempts: 1},
		{Name: "read", Path: "/read/", Type: "safe", Pool: "service", Timeout: 2 * time.Second, LatencyTarget: 150 * time.Millisecond, Attempts: 2},
		{Name: "open", Path: "/open/", Type: "safe", Pool: "service", Timeout: 2 * time.Second, LatencyTarget: 150 * time.Millisecond, Attempts: 2, Public: true},
	}, map[string][]string{"studio": {"key-1", "key-2"}})
}

// newFleet starts a store with a configuration, engines and services.
func newFleet(t *testing.T, engines, services int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: standin.NewStore()}
	t.Cleanup(f.store.Close)
	f.store.SetConfig(routes(1))
	for i := range engines {
		f.add(fmt.Sprintf("engine-%d", i), "engines")
	}
	for i := range services {
		f.add(fmt.Sprintf("service-%d", i), "service")
	}
	return f
}

// add starts an endpoint and lists it in the store.
func (f *fleet) add(id, pool string) *standin.Endpoint {
	f.t.Helper()
	e, err := standin.NewEndpoint(id)
	is.New(f.t).NoErr(err)
	f.t.Cleanup(e.Close)
	f.endpoints = append(f.endpoints, e)
	f.store.Register(e, pool, "dc-a", "ready")
	return e
}

// setFaults sets the faults of the endpoints whose id starts with prefix.
func (f *fleet) setFaults(prefix string, set standin.EndpointFaults) {
	for _, e := range f.endpoints {
		if strings.HasPrefix(e.ID, prefix) {
			e.SetFaults(set)
		}
	}
}

// received returns the requests with the given id that endpoints received.
func (f *fleet) received(id string) (out []standin.ReceivedRequest) {
	for _, e := range f.endpoints {
		for _, s := range e.Received() {
			if s.ID == id {
				out = append(out, s)
			}
		}
	}
	return out
}

// start starts a router whose settings are modified by change, if not nil.
func (f *fleet) start(change func(*router.Settings)) *process {
	f.t.Helper()
	is := is.New(f.t)
	s := router.Settings{
		Instance: "router-1", DataCentre: "dc-a", ReadyPath: "/ready", Exchange: "127.0.0.1:0", MemoryLimit: 64 << 20,
		Grace: 8 * time.Second, Revoke: 5 * time.Second, StrictRevoke: true,
		RetryRatio: 0.2, RetryBurst: 50, RetryWindow: 10 * time.Second, ListInterval: 50 * time.Millisecond, FollowWait: 200 * time.Millisecond,
	}
	if change != nil {
		change(&s)
	}
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	readiness, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	exchange, rpc := listenExchange(f.t, s.Exchange)
	s.Exchange = exchange.LocalAddr().String()
	link := &cutLink{UDPConn: exchange}
	p := &process{fleet: f, url: "http://" + callers.Addr().String(), ready: "http://" + readiness.Addr().String() + "/ready",
		ended: make(chan error, 1), logs: &syncBuffer{lines: make(chan []byte, 10_000)}, client: &http.Client{Transport: &http.Transport{}}, exchange: s.Exchange, link: link}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	if s.Store == "" {
		s.Store = f.store.Address()
	}
	r := router.New(s, router.Deps{Log: slog.New(slog.NewJSONHandler(p.logs, nil)), Features: f.features, Protocol: platform.Protocol{}, Store: platform.NewStore(s.Store), Caches: platform.NewCacheLists()}, link)
	go func() { p.ended <- r.Serve(ctx, callers, readiness, cutListener{rpc, link}) }()
	f.t.Cleanup(stop)
	return p
}

// listenExchange listens on the same port for datagrams and for RPC. If address
// has port 0, it tries ports until one is free for both.
func listenExchange(t *testing.T, address string) (*net.UDPConn, net.Listener) {
	t.Helper()
	for range 50 {
		rpc, err := net.Listen("tcp", address)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		at, err := net.ResolveUDPAddr("udp", rpc.Addr().String())
		is.New(t).NoErr(err)
		if datagrams, err := net.ListenUDP("udp", at); err == nil {
			return datagrams, rpc
		}
		_ = rpc.Close()
	}
	t.Fatalf("no free port for the exchange at %s", address)
	return nil, nil
}

func (p *process) text() string { return p.logs.text() }

func (p *process) isReady() bool {
	res, err := http.Get(p.ready)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// await waits until the router is ready.
func (p *process) await() *process {
	p.fleet.t.Helper()
	eventually(p.fleet.t, "the router is ready", p.isReady)
	return p
}

// eventually fails the test if holds does not return true within testTimeout.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}

// reply is the answer that a caller received.
type reply struct {
	id     string
	status int
	header http.Header
	body   string
	err    error // no answer, or a truncated body
}

// call sends a request with a new request id and a valid key. header adds to the
// default header or replaces parts of it.
func (p *process) call(ctx context.Context, method, path, body string, header map[string]string) reply {
	id := fmt.Sprintf("req-%d", p.fleet.ids.Add(1))
	req, err := http.NewRequestWithContext(ctx, method, p.url+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Host = host
	req.Header.Set("X-Goldcrestturn-Request-Id", id)
	req.Header.Set("X-Goldcrestturn-Deadline-Ms", "4000")
	req.Header.Set("Authorization", "Bearer key-1")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := p.client.Do(req)
	if err != nil {
		return reply{id: id, err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return reply{id, res.StatusCode, res.Header, string(data), err}
}

func (p *process) get(path string) reply {
	return p.call(context.Background(), http.MethodGet, path, "", nil)
}

func (p *process) post(path string) reply {
	return p.call(context.Background(), http.MethodPost, path, "body", nil)
}
