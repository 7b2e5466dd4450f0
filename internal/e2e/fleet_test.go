package e2e

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/entry"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/invariant"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/side"
	"github.com/goldcrestturn/goldcrestturn/internal/standin"
)

const apiKey = "studio-key"

// fleet is a small fleet in one process, connected over the loopback interface.
type fleet struct {
	t       *testing.T
	ctx     context.Context
	group   *errgroup.Group
	logs    *standin.LogService
	list    *standin.InstanceList
	service *standin.Service
	entries []*httptest.Server
}

// newFleet starts the platform, engines, one service and entries, and appends an
// initial configuration.
func newFleet(t *testing.T, engines, entries int) *fleet {
	t.Helper()
	invariant.SetFatal(true)
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{t: t, ctx: ctx, group: &errgroup.Group{}, logs: standin.NewLogService(), list: standin.NewInstanceList(), service: standin.NewService()}
	t.Cleanup(func() { cancel(); _ = f.group.Wait() })
	f.group.Go(func() error { f.logs.Run(ctx); return nil })
	f.group.Go(func() error { f.list.Run(ctx); return nil })
	f.group.Go(func() error { f.service.Run(ctx); return nil })
	f.appendConfig(config.NoBase, sampleLists())
	for i := range engines {
		engine := standin.NewEngine("v1", 0)
		f.group.Go(func() error { engine.Run(ctx); return nil })
		f.addSide(fmt.Sprintf("engine-%d", i), "chat", model.Engine, engine.Handler())
	}
	f.addSide("service-0", "tracker", model.Service, f.service.Handler())
	for i := range entries {
		f.addEntry(fmt.Sprintf("entry-%d", i))
	}
	return f
}

// sampleLists returns the lists of the configuration.
func sampleLists() *lists.Lists {
	l := lists.New()
	sum := sha256.Sum256([]byte(apiKey))
	l.Plans["gold"] = lists.Plan{Priority: 1, Rate: 1_000_000, Burst: 1_000_000}
	l.Workspaces["studio"] = lists.Workspace{Plan: "gold", KeyHash: hex.EncodeToString(sum[:])}
	l.Pools["chat"] = lists.Pool{Kind: model.Engine, Plans: []model.Plan{"gold"}, Version: "v1", LoadMultiple: 1.25, Slots: 8, ColdLimit: 4096, WarmTime: time.Second}
	l.Pools["tracker"] = lists.Pool{Kind: model.Service, Plans: []model.Plan{"gold"}, Slots: 8}
	l.Routes["chat"] = lists.Route{Pool: "chat", Idempotent: true}
	l.Routes["tracker/assign"] = lists.Route{Pool: "tracker"}
	l.DataCentres["akl-1"] = lists.DataCentre{Region: "akl", State: lists.DataCentreIn}
	return l
}

// appendConfig appends a configuration record to the log and returns its offset.
func (f *fleet) appendConfig(base int64, l *lists.Lists) int64 {
	f.t.Helper()
	is := is.New(f.t)
	data, err := config.Record{ID: fmt.Sprint("test-", base), Base: base, Snapshot: l}.Encode()
	is.NoErr(err)
	offset, err := f.logs.Append(f.ctx, config.Stream, data)
	is.NoErr(err)
	return offset
}

// addSide starts a side in front of an endpoint and adds its instance to the
// instance list.
func (f *fleet) addSide(id string, pool model.Pool, kind model.EndpointKind, endpoint http.Handler) {
	f.t.Helper()
	server := httptest.NewServer(endpoint)
	f.t.Cleanup(server.Close)
	s := side.Settings{Instance: model.InstanceID(id), DataCentre: "akl-1", Region: "akl", Pool: pool, Kind: kind, Key: "shared", AppendBudget: 300}
	engine := endpointapi.NewEngine(server.URL, s.EndpointID())
	deps := side.Deps{Log: slog.New(slog.DiscardHandler), Logs: f.logs, List: f.list, Endpoint: engine, KV: engine, KVFetchTimeout: time.Minute, Reports: engine}
	if kind == model.Service {
		deps.Endpoint, deps.KV, deps.Reports = endpointapi.NewService(server.URL, s.EndpointID()), nil, nil
	}
	sidecar := side.New(s, deps)
	sidecar.Start(f.ctx, f.group)
	traffic := httptest.NewServer(sidecar.Handler())
	f.t.Cleanup(traffic.Close)
	is.New(f.t).NoErr(f.list.Put(f.ctx, instances.Instance{
		ID: model.InstanceID(id), Role: instances.RoleEndpoint, Kind: kind, Pool: pool, Version: "v1",
		DataCentre: "akl-1", Address: traffic.Listener.Addr().String(), Status: instances.Live,
	}))
}

// addEntry starts an entry.
func (f *fleet) addEntry(id string) {
	f.t.Helper()
	s := entry.Settings{Instance: model.InstanceID(id), DataCentre: "akl-1", Region: "akl", Key: "shared", MaxBody: 1 << 20, Timeout: time.Minute, BodyTimeout: time.Minute, WriteTimeout: time.Minute}
	e := entry.New(s, entry.Deps{Log: slog.New(slog.DiscardHandler), Logs: f.logs, List: f.list, Transport: entry.NewTransport()})
	e.Start(f.ctx, f.group)
	server := httptest.NewServer(e.Handler())
	f.t.Cleanup(server.Close)
	f.entries = append(f.entries, server)
}
