package standin

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Guards against a crashed engine process that still answers while it is down or
// that does not serve again after its restart.
func TestCrashedEngineRefusesConnections(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := probe.Addr().String()
	is.NoErr(probe.Close())
	e := NewEngine("v1", 0)
	go e.Run(ctx)
	served := make(chan error, 1)
	go func() { served <- e.Serve(ctx, address) }()

	client := endpointapi.NewEngine("http://"+address, "engine")
	run := func(body string) error {
		answer, err := client.Run(ctx, &model.Request{ID: "r", Chat: "c", Body: []byte(body), Cost: model.Cost{Prefill: 1, Generate: 1}})
		if err == nil {
			_ = answer.Frames.Close()
		}
		return err
	}
	waitUntilServed := func() {
		for run("ready?") != nil {
			time.Sleep(time.Millisecond)
		}
	}
	waitUntilServed()
	is.NoErr(e.SetFaults(ctx, EngineFaults{CrashMarker: "boom", DownMS: 1}))
	is.Equal(model.AsRefusal(run("boom")).Outcome, model.OutcomeUnknown) // the connection was reset, so the request may have run
	waitUntilServed()
	is.NoErr(e.SetFaults(ctx, EngineFaults{CrashMarker: "boom", DownMS: time.Hour.Milliseconds()}))
	is.True(run("boom") != nil)
	for {
		conn, err := net.Dial("tcp", address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
		is.NoErr(err)
		is.NoErr(conn.Close())
		time.Sleep(time.Millisecond)
	}
	is.Equal(e.Stats().Crashes, int64(2))
	cancel()
	is.NoErr(<-served)
}

// Guards against statuses that the clients in endpointapi map to another error,
// and against a misspelt fault that is accepted without effect.
func TestEngineHTTP(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := NewEngine("v1", 0)
	go e.Run(ctx)
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	client := endpointapi.NewEngine(server.URL, "engine")

	is.NoErr(client.SendOrder(ctx, endpointapi.Order{Fence: 2, Kind: endpointapi.OrderRole, Role: "decode"}))
	is.True(errors.Is(client.SendOrder(ctx, endpointapi.Order{Fence: 1, Kind: endpointapi.OrderRole}), endpointapi.ErrStaleFence))
	st, err := client.State(ctx)
	is.NoErr(err)
	is.Equal(st.Role, "decode")

	do := func(method, path, body string) int {
		req, err := http.NewRequestWithContext(ctx, method, server.URL+path, strings.NewReader(body))
		is.NoErr(err)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		return resp.StatusCode
	}
	is.Equal(do("PUT", "/kv/studio%00bug-41", `{"version":"v1","tokens":9}`), http.StatusOK)
	is.Equal(do("GET", "/kv/studio%00bug-41", ""), http.StatusOK)
	is.Equal(do("GET", "/kv/other", ""), http.StatusNotFound)
	is.Equal(do("PUT", "/kv/other", `{"version":"v9","tokens":9}`), http.StatusConflict)
	is.Equal(do("POST", "/cancel/none", ""), http.StatusNoContent)
	is.Equal(do("PUT", "/faults", `{"colder":true}`), http.StatusBadRequest)
	is.Equal(do("PUT", "/faults", `{"versions":[{"version":"v1","fail_share":1}]}`), http.StatusOK)
	is.Equal(do("POST", "/generate", `{"id":"r","max_tokens":1}`), http.StatusInternalServerError)
	is.Equal(do("POST", "/generate", `{"id":"r","max_tokens":1,"version":"v9"}`), http.StatusConflict)
}

// Guards against a stand-in that keeps running although another process holds
// its address and answers in its place.
func TestStandinEndsWhenItsAddressIsTaken(t *testing.T) {
	is := is.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer taken.Close()
	for _, role := range []string{rolePlatform, roleEngine, roleService} {
		err := Run(context.Background(), slog.New(slog.DiscardHandler), Settings{Role: role, Listen: taken.Addr().String()})
		is.True(errors.Is(err, syscall.EADDRINUSE))
	}
}
