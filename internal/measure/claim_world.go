package measure

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/entry"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/side"
	"github.com/goldcrestturn/goldcrestturn/internal/standin"
)

// Sizes and times of the fleets of the state scenarios. The latencies are those
// of Kalesa Motors, whose data centres are further apart than those of the other
// first user.
const (
	stateEntries  = 4
	stateServices = 4
	stateEngines  = 4
	stateLatency  = 1500 * time.Microsecond
	stateLogDelay = 3 * time.Millisecond
	stateKey      = "state-scenario-key"
	stateSettle   = 15 * time.Second // virtual time for delayed requests to arrive before the check
	stateTimeout  = 4 * time.Second
)

// world is a fleet of real entry and side pipelines over fake networks.
type world struct {
	ctx       context.Context
	cancel    context.CancelFunc
	group     *errgroup.Group
	rng       *rand.Rand // for the world and its faults; callers have sources of their own
	seed      uint64
	logs      *standin.LogService
	faults    *standin.LogFaults
	list      *standin.InstanceList
	callers   *standin.Network // callers to entries
	fleet     *standin.Network // entries to sides
	endpoints *standin.Network // sides to endpoints
	sides     []*sideNode
	entries   []*entryNode
	pipes     *exchange.PipeNet
	disabled  disabledMechanisms
}

// disabledMechanisms lists the mechanisms that are turned off: for a baseline, or
// by a test that shows that a check fails without its mechanism.
type disabledMechanisms struct {
	side  side.Disabled
	entry entry.Disabled
}

type sideNode struct {
	id      string
	pool    model.Pool
	kind    model.EndpointKind
	side    *side.Side
	log     *standin.FaultyLog
	host    *standin.Host
	stop    context.CancelFunc
	stopped bool
}

type entryNode struct {
	id         string
	entry      *entry.Entry
	host       *standin.Host
	stop       context.CancelFunc
	notReadyAt atomic.Int64 // when the load balancer sees the entry as not ready, Unix time in ns; 0 for never
}

func newWorld(seed uint64, disabled disabledMechanisms) *world {
	ctx, cancel := context.WithCancel(context.Background())
	out := &world{
		ctx: ctx, cancel: cancel, group: &errgroup.Group{}, rng: rand.New(rand.NewPCG(seed, 1)), seed: seed,
		logs: standin.NewLogService(), faults: &standin.LogFaults{}, list: standin.NewInstanceList(), disabled: disabled,
		pipes:     exchange.NewPipeNet(worldAddresses()...),
		callers:   standin.NewNetwork(seed+1, time.Millisecond),
		fleet:     standin.NewNetwork(seed+2, stateLatency),
		endpoints: standin.NewNetwork(seed+3, 100*time.Microsecond),
	}
	out.group.Go(func() error { out.logs.Run(ctx); return nil })
	out.group.Go(func() error { out.list.Run(ctx); return nil })
	data, _ := config.Record{ID: "first", Base: config.NoBase, Snapshot: stateLists()}.Encode()
	_, _ = out.logs.Append(ctx, config.Stream, data)
	return out
}

func stateLists() *lists.Lists {
	l := lists.New()
	sum := sha256.Sum256([]byte(stateKey))
	l.Plans["gold"] = lists.Plan{Priority: 1}
	l.Workspaces["motors"] = lists.Workspace{Plan: "gold", KeyHash: hex.EncodeToString(sum[:])}
	l.Pools["chat"] = lists.Pool{Kind: model.Engine, Plans: []model.Plan{"gold"}, Version: "v1", LoadMultiple: 10, Slots: 1000, ColdLimit: 10_000_000, WarmTime: time.Minute}
	l.Pools["stock"] = lists.Pool{Kind: model.Service, Plans: []model.Plan{"gold"}, LoadMultiple: 10, Slots: 1000, ColdLimit: 10_000_000, WarmTime: time.Minute}
	l.Routes["chat"] = lists.Route{Pool: "chat", Idempotent: true}
	l.Routes["stock/reserve"] = lists.Route{Pool: "stock"}
	l.DataCentres["ph-1"] = lists.DataCentre{Region: "ph-luzon", State: lists.DataCentreIn}
	return l
}

// worldAddresses returns the control addresses of all processes of a world.
func worldAddresses() []string {
	var out []string
	for i := range 16 {
		for _, kind := range []string{"entry", "stock", "engine"} {
			out = append(out, fmt.Sprintf("c-%s-%d", kind, i), fmt.Sprintf("c-%s-%d", kind, 100+i))
		}
	}
	return out
}

// addEngine adds a side with its engine.
func (w *world) addEngine(id string) {
	e := standin.NewEngine("v1", answerTokenTime)
	w.group.Go(func() error { e.Run(w.ctx); return nil })
	w.addSide(id, "chat", model.Engine, e.Handler())
}

// close stops all processes and waits for them and for the work in flight,
// which ends at its deadline.
func (w *world) close() {
	w.cancel()
	for _, n := range []*standin.Network{w.callers, w.fleet, w.endpoints} {
		n.Close()
	}
	_ = w.group.Wait()
	wait(2 * answerTimeout)
}

func (w *world) processLog(name int) *standin.FaultyLog {
	return &standin.FaultyLog{Inner: w.logs, Shared: w.faults, Seed: w.seed + 100 + uint64(name), Latency: stateLogDelay}
}

func (w *world) addSide(id string, pool model.Pool, kind model.EndpointKind, endpoint http.Handler) *sideNode {
	n := &sideNode{id: id, pool: pool, kind: kind, log: w.processLog(len(w.sides))}
	w.endpoints.Add("endpoint-"+id, endpoint)
	s := side.Settings{
		Instance: model.InstanceID(id), DataCentre: "ph-1", Region: "ph-luzon", Pool: pool, Kind: kind, Version: "v1",
		Key: "shared", AppendBudget: 300, ControlBudget: 11_000, DrainTimeout: time.Minute,
	}
	var client side.Endpoint = endpointapi.NewEngine("http://endpoint-"+id, s.EndpointID()).WithTransport(w.endpoints)
	if kind == model.Service {
		client = endpointapi.NewService("http://endpoint-"+id, s.EndpointID()).WithTransport(w.endpoints)
	}
	n.side = side.New(s, side.Deps{Log: slog.New(slog.DiscardHandler), Logs: n.log, List: w.list, Endpoint: client,
		Dial: w.pipes.Dialer("c-" + id), Disabled: w.disabled.side})
	ctx, stop := context.WithCancel(w.ctx)
	n.stop = stop
	n.side.Start(ctx, w.group)
	w.group.Go(func() error { return n.side.ServeControl(ctx, w.pipes.Listen("c-"+id)) })
	n.host = w.fleet.Add("side-"+id, n.side.Handler())
	w.setStatus(n, instances.Live)
	w.sides = append(w.sides, n)
	return n
}

// setStatus sets the status of a side in the instance list.
func (w *world) setStatus(n *sideNode, status instances.Status) {
	_ = w.list.Put(w.ctx, instances.Instance{
		ID: model.InstanceID(n.id), Role: instances.RoleEndpoint, Kind: n.kind, Pool: n.pool, Version: "v1",
		DataCentre: "ph-1", Address: "side-" + n.id, Control: "c-" + n.id, Status: status,
	})
}

func (w *world) addEntry(id string) {
	n := &entryNode{id: id}
	s := entry.Settings{
		Instance: model.InstanceID(id), DataCentre: "ph-1", Region: "ph-luzon", Key: "shared", ControlBudget: 11_000,
		AppendBudget: 300, MaxBody: 1 << 20, Timeout: time.Minute, DrainTimeout: time.Minute,
	}
	n.entry = entry.New(s, entry.Deps{Log: slog.New(slog.DiscardHandler), Logs: w.processLog(50 + len(w.entries)), List: w.list,
		Transport: w.fleet, Dial: w.pipes.Dialer("c-" + id), Disabled: w.disabled.entry})
	ctx, stop := context.WithCancel(w.ctx)
	n.stop = stop
	n.entry.Start(ctx, w.group)
	w.group.Go(func() error { return n.entry.ServeControl(ctx, w.pipes.Listen("c-"+id)) })
	n.host = w.callers.Add(id, n.entry.Handler())
	_ = w.list.Put(w.ctx, instances.Instance{ID: model.InstanceID(id), Role: instances.RoleEntry, DataCentre: "ph-1", Address: id, Control: "c-" + id, Status: instances.Live})
	w.entries = append(w.entries, n)
}

// addEntries adds the entries of a fleet and waits until they are configured.
func (w *world) addEntries() {
	for i := range stateEntries {
		w.addEntry(fmt.Sprint("entry-", i))
	}
	wait(time.Second)
}

// killSide kills a side process without notice. The instance list is updated a
// second later.
func (w *world) killSide(n *sideNode) {
	n.stopped = true
	n.host.Kill()
	n.stop()
	wait(time.Second)
	w.setStatus(n, instances.Gone)
}

// randomSide returns a random side of the pool that is still running.
func (w *world) randomSide(pool model.Pool) *sideNode {
	var running []*sideNode
	for _, n := range w.sides {
		if n.pool == pool && !n.stopped {
			running = append(running, n)
		}
	}
	return running[w.rng.IntN(len(running))]
}

// wait blocks for d of virtual time.
func wait(d time.Duration) { <-time.After(d) }
