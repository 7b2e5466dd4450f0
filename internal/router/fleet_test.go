package router_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
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
	host     = "app.example"
	someTime = 10 * time.Second // far above what a step of a test takes
)

// fleet is a store, endpoints and routers on loopback.
type fleet struct {
	t         *testing.T
	store     *standin.Store
	endpoints []*standin.Endpoint
	ids       atomic.Int64
}

// process is one router.
type process struct {
	fleet *fleet
	url   string
	ready string
	stop  context.CancelFunc
	ended chan error
	logs  *syncBuffer
	// exchange is the address on which other routers reach this one.
	exchange string
	client   *http.Client
}

// syncBuffer collects log lines of several goroutines.
type syncBuffer struct {
	lines chan []byte
	kept  strings.Builder // what text returned before
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	select {
	case b.lines <- bytes.Clone(p):
	default:
	}
	return len(p), nil
}

func (b *syncBuffer) text() string {
	for {
		select {
		case l := <-b.lines:
			b.kept.Write(l)
		default:
			return b.kept.String()
		}
	}
}

func routes(version int) map[string]any {
	return standin.Config(version, []standin.Route{
		{Name: "chat", Path: "/stream/chat/", Kind: "stream", Pool: "engines", Timeout: 5 * time.Second, Target: 200 * time.Millisecond, Attempts: 2, Resumable: true},
		{Name: "brief", Path: "/stream/brief/", Kind: "stream", Pool: "engines", Timeout: 5 * time.Second, Target: 500 * time.Millisecond, Attempts: 1},
		{Name: "assign", Path: "/assign/", Kind: "unsafe", Pool: "service", Timeout: 2 * time.Second, Target: 150 * time.Millisecond, Attempts: 1},
		{Name: "read", Path: "/read/", Kind: "safe", Pool: "service", Timeout: 2 * time.Second, Target: 150 * time.Millisecond, Attempts: 2},
		{Name: "open", Path: "/open/", Kind: "safe", Pool: "service", Timeout: 2 * time.Second, Target: 150 * time.Millisecond, Attempts: 2, Public: true},
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

func (f *fleet) add(id, pool string) *standin.Endpoint {
	f.t.Helper()
	e, err := standin.NewEndpoint(id)
	is.New(f.t).NoErr(err)
	f.t.Cleanup(e.Close)
	f.endpoints = append(f.endpoints, e)
	f.store.Register(e, pool, "dc-a", "ready")
	return e
}

func (f *fleet) faults(prefix string, set standin.EndpointFaults) {
	for _, e := range f.endpoints {
		if strings.HasPrefix(e.ID, prefix) {
			e.SetFaults(set)
		}
	}
}

// seen returns what reached the endpoints for a request id.
func (f *fleet) seen(id string) (out []standin.ReceivedRequest) {
	for _, e := range f.endpoints {
		for _, s := range e.Received() {
			if s.ID == id {
				out = append(out, s)
			}
		}
	}
	return out
}

// start starts a router. change may alter its settings.
func (f *fleet) start(change func(*router.Settings)) *process {
	f.t.Helper()
	is := is.New(f.t)
	s := router.Settings{
		Instance: "router-1", DataCentre: "dc-a", ReadyPath: "/ready", Exchange: "127.0.0.1:0", MemoryLimit: 64 << 20,
		Grace: 8 * time.Second, Revoke: 5 * time.Second, StrictRevoke: true,
		RetryRatio: 0.2, RetryBurst: 50, RetryWindow: 10 * time.Second, ListInterval: 50 * time.Millisecond, FollowTime: 200 * time.Millisecond,
	}
	if change != nil {
		change(&s)
	}
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	check, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	exchange, calls := listenExchange(f.t, s.Exchange)
	s.Exchange = exchange.LocalAddr().String()
	p := &process{fleet: f, url: "http://" + callers.Addr().String(), ready: "http://" + check.Addr().String() + "/ready",
		ended: make(chan error, 1), logs: &syncBuffer{lines: make(chan []byte, 10_000)}, client: &http.Client{Transport: &http.Transport{}}, exchange: s.Exchange}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	if s.Store == "" {
		s.Store = f.store.Address()
	}
	r := router.New(s, router.Deps{Log: slog.New(slog.NewJSONHandler(p.logs, nil)), Protocol: platform.Protocol{}, Store: platform.NewStore(s.Store), Caches: platform.NewCacheLists()}, exchange)
	go func() { p.ended <- r.Serve(ctx, callers, check, calls) }()
	f.t.Cleanup(stop)
	return p
}

// listenExchange listens for datagrams and calls on one port. The port of an
// address with port 0 is drawn until it is free for both.
func listenExchange(t *testing.T, address string) (*net.UDPConn, net.Listener) {
	t.Helper()
	for range 50 {
		calls, err := net.Listen("tcp", address)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		at, err := net.ResolveUDPAddr("udp", calls.Addr().String())
		is.New(t).NoErr(err)
		if datagrams, err := net.ListenUDP("udp", at); err == nil {
			return datagrams, calls
		}
		_ = calls.Close()
	}
	t.Fatalf("no port for the exchange at %s", address)
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

func (p *process) await() *process {
	p.fleet.t.Helper()
	eventually(p.fleet.t, "the router is ready", p.isReady)
	return p
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(someTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not in time: %s", what)
}

// reply is what a caller got.
type reply struct {
	id     string
	status int
	header http.Header
	body   string
	err    error // of a body that broke off
}

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
