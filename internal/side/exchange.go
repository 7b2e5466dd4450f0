package side

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/member"
	"github.com/goldcrestturn/goldcrestturn/internal/memory"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

func (p *Side) newNode() *exchange.Node {
	division := p.settings.Bounds.Division()
	n := exchange.New(exchange.Config{Key: p.settings.Key, MaxPeers: int(division.Peers.Descriptors), Messages: memory.NewBudget(division.PeerMessages), Budget: p.settings.ControlBudget, Dial: p.deps.Dial, AcceptFailed: func(err error) {
		p.log.Warn("connections of peers cannot be accepted", "error", err.Error())
	}})
	if err := n.Register(exchange.Service, &peerService{p}); err != nil {
		panic(err) // net/rpc rejects the method set: a programming error
	}
	return n
}

// peerService turns the net/rpc calls of peers into events and questions for the
// control loop.
type peerService struct{ p *Side }

// Crash receives a crash notice, forwards it and waits, up to the time in the
// message, until the processes below this one in the tree have it. A retry of the
// request therefore does not arrive before the notice.
func (s *peerService) Crash(a exchange.CrashArgs, _ *exchange.Ack) error {
	ctx, cancel := context.WithTimeout(context.Background(), exchange.CallTimeout)
	defer cancel()
	crash, err := a.Crash.Model(time.Now())
	if err != nil {
		return err
	}
	next, err := control.Ask(ctx, s.p.loop, crashNoticeReceived{Question: control.NewQuestion[[]member.Hop](), crash: crash, tree: a.Tree})
	s.p.node.ForwardCrash(next, a)
	return err
}

// Meter returns the meter of the control exchange, which counts its bytes.
func (p *Side) Meter() *exchange.Meter { return p.node.Meter() }

// MeanLoadAge returns the age of the mean load of the pool at now.
func (p *Side) MeanLoadAge(now time.Time) time.Duration {
	return now.Sub(p.loop.Snapshot().Mean.MeasuredAt)
}

// ServeControl serves the peers of the control exchange until ctx ends.
func (p *Side) ServeControl(ctx context.Context, l net.Listener) error { return p.node.Serve(ctx, l) }

func (p *Side) startExchange(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { p.node.Run(ctx); return nil })
	g.Go(func() error { p.reportLoad(ctx); return nil })
	g.Go(func() error { p.appendCrashes(ctx); return nil })
	g.Go(func() error { p.followSuspects(ctx); return nil })
}

func (p *Side) followInstances(ctx context.Context) {
	onChanges := func(ch instances.Changes) { _ = p.loop.Post(ctx, listChanged{ch}) }
	onError := func(err error) { p.log.Warn("instance list cannot be read", "error", err) }
	instances.Follow(ctx, p.deps.List, onChanges, onError)
}

// reportInterval is the interval of the load reports. They go to the two aggregators
// in turn, so each receives one every 2 s and the side receives the mean every
// second. Sending to both at once would double the bytes for no fresher mean.
const reportInterval = time.Second

var (
	meanAge        = metrics.GetOrCreateGauge(`goldcrest_mean_age_seconds`, nil)
	reportFailures = metrics.GetOrCreateCounter(`goldcrest_report_failures_total{to="holder"}`)
)

// reportLoad sends load reports to the aggregators until ctx ends.
func (p *Side) reportLoad(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	pulled := false                   // an aggregator has sent the crashes from before the start
	requested := map[string]float64{} // stretch factor that each aggregator requested
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		message, err := control.Ask(ctx, p.loop, reportQuery{Question: control.NewQuestion[reportMessage]()})
		if err != nil {
			return
		}
		current := map[string]float64{}
		for i := range message.aggregators {
			address := message.aggregators[(turn+i)%len(message.aggregators)]
			current[address] = requested[address]
			if stretch, err := p.sendReport(ctx, address, message); err == nil {
				current[address] = stretch
				pulled = pulled || p.pullCrashes(ctx, address)
				break
			}
			reportFailures.Inc()
		}
		for _, address := range message.aggregators {
			if _, tried := current[address]; !tried {
				current[address] = requested[address]
			}
		}
		requested = current
		if p.loop.Snapshot().Mean.Endpoints > 0 {
			meanAge.Set(p.MeanLoadAge(time.Now()).Seconds())
		}
		p.node.Meter().SetRequestedStretch(slices.Max(append(slices.Collect(maps.Values(requested)), 1)))
		t.Reset(time.Duration(float64(reportInterval) * p.node.Meter().Stretch(time.Now())))
	}
}

// sendReport sends one load report and posts the mean and the gossip in the reply. It
// returns the stretch factor that the aggregator requests.
func (p *Side) sendReport(ctx context.Context, address string, message reportMessage) (float64, error) {
	args := exchange.FromReport(message.report)
	args.News.Crashes = exchange.FromCrashes(message.crashes, time.Now())
	sentAt := time.Now()
	reply, err := exchange.Call[exchange.ReportReply](ctx, p.node, address, exchange.MethodReport, args)
	if err != nil {
		return 0, err
	}
	p.configs.NotifyOffset(address, reply.News.ConfigOffset)
	now := time.Now()
	mean, err := reply.Mean.Model()
	if err != nil {
		return 0, err
	}
	crashes, err := reply.News.Model(now)
	if err != nil {
		return 0, err
	}
	if mean.Endpoints > 0 {
		// The age is as of the time of the reply, which lies after sentAt.
		// Counting it from sentAt never makes the mean look younger than it is.
		_ = p.loop.Post(ctx, meanReceived{MeanLoad{PerEndpoint: mean.PerEndpoint, Endpoints: mean.Endpoints, MeasuredAt: sentAt.Add(-mean.Age)}})
	}
	_ = p.loop.Post(ctx, gossipReceived{offset: reply.News.ConfigOffset, latches: reply.News.Verdicts, crashes: crashes})
	p.configs.NotifyOffset(address, reply.News.ConfigOffset)
	return float64(reply.Percent) / 100, nil
}

// pullCrashes pulls all crashes that have not expired from an entry. Replies to load
// reports carry only the recent ones, and the log may be down when a side starts.
func (p *Side) pullCrashes(ctx context.Context, address string) bool {
	args := exchange.CrashesArgs{WithinMS: suspect.Lifetime.Milliseconds()}
	reply, err := exchange.Call[exchange.News](ctx, p.node, address, exchange.MethodCrashes, args)
	if err != nil {
		return false
	}
	crashes, err := reply.Model(time.Now())
	if err == nil {
		_ = p.loop.Post(ctx, gossipReceived{offset: -1, crashes: crashes})
	}
	return err == nil
}

// AnnounceLeaving marks the side as leaving and broadcasts a leaving notice to all
// entries.
func (p *Side) AnnounceLeaving(ctx context.Context) {
	_ = p.loop.Post(ctx, leavingStarted{})
	peers := p.loop.Snapshot().Peers
	notice := "leaving/" + string(p.settings.Instance)
	for tree := range summary.BroadcastTrees {
		hops := peers.Hops(summary.Hops(notice, tree, p.settings.Instance, peers.Entries))
		args := exchange.LeavingArgs{Instance: string(p.settings.Instance), Tree: tree}
		p.node.Broadcast(ctx, hops, exchange.MethodLeaving, args, exchange.CallTimeout)
	}
}

// followSuspects applies the crashes that sides appended to the log.
func (p *Side) followSuspects(ctx context.Context) {
	apply := func(b logsvc.Batch) {
		var crashes []suspect.Crash
		for _, r := range b.Records {
			c, err := suspect.Decode(r.Data, time.UnixMilli(r.AppendedMS))
			if err != nil {
				p.log.Warn("record was skipped", "stream", suspect.Stream, "offset", r.Offset, "error", err)
				continue
			}
			crashes = append(crashes, c)
		}
		_ = p.loop.Post(ctx, gossipReceived{offset: -1, crashes: crashes})
	}
	logsvc.Follow(ctx, p.deps.Logs, suspect.Stream, 0, apply, func(error) {})
}

func (p *Side) jitter() float64 {
	if p.deps.Jitter != nil {
		return p.deps.Jitter()
	}
	return rand.Float64()
}
