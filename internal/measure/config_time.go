package measure

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/configsync"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/member"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/standin"
)

// configRounds is the number of records whose propagation is timed in each case.
const configRounds = 20

// logFault is the way in which the log fails for all but one process right after
// a record.
type logFault int32

const (
	logUp logFault = iota
	logRefuses
	logHangs
)

// configTimes measures the time from the append of a record until it is in force
// everywhere.
func configTimes(env Env) []Figure {
	var out []Figure
	for _, user := range configUsers {
		for _, fault := range []struct {
			name string
			kind logFault
		}{{"log_up", logUp}, {"outage_after_record", logRefuses}, {"log_hangs_after_record", logHangs}} {
			var times []time.Duration
			var bytes float64
			env.Bubble(func() { times, bytes = propagationTimes(env.Seed, user, fault.kind) })
			name := "config/time/" + user.name + "/" + fault.name
			out = append(out,
				Figure{Name: name + "/records_over_4s", Value: float64(countOver(times, inForceBound)), Unit: "count", Relation: Equal, Baseline: fmt.Sprintf("%d records", len(times))},
				Figure{Name: name + "/quiet_bytes_busiest_node", Value: bytes, Unit: "B/s", Relation: AtMost, Target: 4000})
		}
	}
	return out
}

// configNode is a process that consists of its configuration part only.
type configNode struct {
	address string
	loop    *control.Loop[configNodeState, config.View]
	node    *exchange.Node
	logs    *faultyLog
}

type configNodeState struct{ follower *config.Follower }

// faultyLog is the log as seen by one process.
type faultyLog struct {
	logsvc.Log
	fault atomic.Int32
}

// Read implements logsvc.Log.
func (l *faultyLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (logsvc.Batch, error) {
	b, err := l.Log.Read(ctx, stream, from, wait)
	switch logFault(l.fault.Load()) {
	case logRefuses:
		return logsvc.Batch{}, errLogDown
	case logHangs:
		<-ctx.Done()
		return logsvc.Batch{}, ctx.Err()
	}
	return b, err
}

// inForceBound is the time within which a record must be in force everywhere
// (R10).
const inForceBound = 4 * time.Second

// countOver counts the times over a bound. The times themselves are not printed,
// since they depend on goroutine scheduling and the same seed must give the same
// output.
func countOver(times []time.Duration, bound time.Duration) int {
	n := 0
	for _, t := range times {
		if t > bound {
			n++
		}
	}
	return n
}

// propagationTimes runs a fleet and returns, for each record, the time until it
// was in force everywhere, and the bytes a second of the busiest node while no
// record is appended.
func propagationTimes(seed uint64, user configUser, fault logFault) (times []time.Duration, bytesPerNode float64) {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	defer func() { cancel(); _ = g.Wait() }()
	rng := rand.New(rand.NewPCG(seed, uint64(fault)))
	logs := standin.NewLogService()
	g.Go(func() error { logs.Run(ctx); return nil })
	nodes := startConfigNodes(ctx, &g, user, logs, seed)
	first := lists.New()
	first.Plans["gold"] = lists.Plan{Priority: 1, Rate: 1, Burst: 1}
	offset := appendConfig(ctx, logs, config.Record{ID: "first", Base: config.NoBase, Snapshot: first})
	awaitOffset(nodes, offset)
	bytesPerNode = idleBytes(nodes)
	for i := range configRounds {
		waitFor(time.Duration(rng.Int64N(int64(time.Second))))
		reader := rng.IntN(len(nodes))
		if fault == logHangs {
			// A hanging read ends only after its timeout, so the process that still
			// reads the log is always the last side.
			reader = len(nodes) - 1
		}
		for j, n := range nodes {
			if j != reader {
				n.logs.fault.Store(int32(fault))
			}
		}
		plan, err := lists.NewChange(lists.KindPlan, "gold", lists.Plan{Priority: i, Rate: 1, Burst: 1})
		if err != nil {
			panic(err) // a plan always encodes
		}
		start := time.Now()
		offset = appendConfig(ctx, logs, config.Record{ID: fmt.Sprint("r", i), Base: offset, Changes: []lists.Change{plan}})
		awaitOffset(nodes, offset)
		times = append(times, time.Since(start))
		for _, n := range nodes {
			n.logs.fault.Store(int32(logUp))
		}
	}
	return times, bytesPerNode
}

func startConfigNodes(ctx context.Context, g *errgroup.Group, user configUser, logs logsvc.Log, seed uint64) []*configNode {
	var addresses []string
	table := member.NewTable()
	for i := range user.entries + user.sides {
		address := fmt.Sprintf("10.0.0.%d:7000", i+1)
		addresses = append(addresses, address)
		role := instances.RoleEndpoint
		if i < user.entries {
			role = instances.RoleEntry
		}
		table.ApplyList(instances.Changes{Instances: []instances.Instance{{
			ID: model.InstanceID(address), Role: role, Control: address, Status: instances.Live,
		}}}, time.Now())
	}
	network := exchange.NewPipeNet(addresses...)
	peers := table.PeersOf(func(model.DataCentre) bool { return true })
	nodes := make([]*configNode, len(addresses))
	for i, address := range addresses {
		n := &configNode{address: address, logs: &faultyLog{Log: logs}}
		nodes[i] = n
		log := slog.New(slog.DiscardHandler)
		n.node = exchange.New(exchange.Config{Key: "shared", Budget: 4000, Dial: network.Dialer(address)})
		n.loop = control.New(control.Config[configNodeState, config.View]{
			State: &configNodeState{config.NewFollower()},
			Stages: []control.Stage[configNodeState]{configsync.Stage[configNodeState]{
				Log: log, Follower: func(s *configNodeState) *config.Follower { return s.follower }, Changed: func(*configNodeState) {},
			}},
			Publish: func(s *configNodeState, _ time.Time) *config.View { v := s.follower.View(); return &v },
		})
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		source := configsync.NewSource(configsync.Options{
			Log: log, Logs: n.logs, Loop: n.loop, View: func() config.View { return *n.loop.Snapshot() },
			Peers:    configsync.ExchangePeers{Node: n.node, Self: model.InstanceID(address), Address: address, Peers: func() *member.Peers { return peers }},
			RandIntN: rng.IntN, Budget: 4000,
		})
		if err := source.Register(n.node); err != nil {
			panic(err) // the method set does not fit net/rpc: a programming error
		}
		g.Go(func() error { n.loop.Run(ctx); return nil })
		g.Go(func() error { n.node.Run(ctx); return nil })
		g.Go(func() error { return n.node.Serve(ctx, network.Listen(address)) })
		g.Go(func() error { source.Run(ctx); return nil })
	}
	return nodes
}

func appendConfig(ctx context.Context, logs logsvc.Log, rec config.Record) int64 {
	data, err := rec.Encode()
	if err != nil {
		panic(err) // records of a scenario always encode
	}
	offset, err := logs.Append(ctx, config.Stream, data)
	if err != nil {
		panic(err) // the stand-in accepts every append of this scenario
	}
	return offset
}

// propagationTimeout bounds the wait for a configuration to be in force.
const propagationTimeout = time.Minute

func awaitOffset(nodes []*configNode, offset int64) {
	for until := time.Now().Add(propagationTimeout); time.Now().Before(until); waitFor(10 * time.Millisecond) {
		behind := 0
		for _, n := range nodes {
			if n.loop.Snapshot().Accepted.Offset < offset {
				behind++
			}
		}
		if behind == 0 {
			return
		}
	}
}

// idleTime is how long the bytes of a fleet without changes are counted.
const idleTime = time.Minute

// bytesRounding is the multiple to which printed bytes a second are rounded. It
// exceeds their variation between runs.
const bytesRounding = 250

// idleBytes returns the bytes a second of the busiest node while no record is
// appended.
func idleBytes(nodes []*configNode) float64 {
	before := make([]int64, len(nodes))
	for i, n := range nodes {
		before[i] = n.node.Meter().Usage().Total()
	}
	waitFor(idleTime)
	var most int64
	for i, n := range nodes {
		most = max(most, n.node.Meter().Usage().Total()-before[i])
	}
	return math.Round(float64(most)/idleTime.Seconds()/bytesRounding) * bytesRounding
}

func waitFor(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	<-t.C
}
