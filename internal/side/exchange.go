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
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

func (p *Side) newNode() *exchange.Node {
	n := exchange.New(exchange.Config{Key: p.settings.Key, Budget: p.settings.ControlBudget, Dial: p.deps.Dial})
	if err := n.Register(exchange.Service, &peerService{p}); err != nil {
		panic(err) // the method set does not fit net/rpc: a fault in the program
	}
	return n
}

// peerService turns the messages of peers into events and questions.
type peerService struct{ p *Side }

// Crash takes a crash notice and passes it on.
func (s *peerService) Crash(a exchange.CrashArgs, _ *exchange.Ack) error {
	ctx, cancel := context.WithTimeout(context.Background(), exchange.CallTimeout)
	defer cancel()
	crash, err := a.Crash.Model(time.Now())
	if err != nil {
		return err
	}
	next, err := control.Ask(ctx, s.p.loop, crashHeard{Question: control.NewQuestion[[]member.Hop](), crash: crash, tree: a.Tree})
	s.p.node.ForwardCrash(next, a)
	return err
}

// Meter returns the byte counts of the control exchange.
func (p *Side) Meter() *exchange.Meter { return p.node.Meter() }

// MeanLoadAge returns the age of the pool mean at now.
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
	each := func(ch instances.Changes) { _ = p.loop.Post(ctx, listChanged{ch}) }
	failed := func(err error) { p.log.Warn("instance list cannot be read", "error", err) }
	instances.Follow(ctx, p.deps.List, each, failed)
}

// reportPeriod is the interval of the reports. They go to the two holders in
// turn, so each hears from the endpoint every 2 s and the side hears the mean
// every second; both at once would double the bytes for no fresher mean.
const reportPeriod = time.Second

var (
	meanAge        = metrics.GetOrCreateGauge(`goldcrest_mean_age_seconds`, nil)
	reportFailures = metrics.GetOrCreateCounter(`goldcrest_report_failures_total{to="holder"}`)
)

// reportLoad reports to the holders until ctx ends.
func (p *Side) reportLoad(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	pulled := false               // the crashes before the start are known
	asked := map[string]float64{} // stretch that each holder asked for
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		plan, err := control.Ask(ctx, p.loop, takeReport{Question: control.NewQuestion[reportPlan]()})
		if err != nil {
			return
		}
		used := map[string]float64{}
		for i := range plan.holders {
			address := plan.holders[(turn+i)%len(plan.holders)]
			used[address] = asked[address]
			if stretch, err := p.report(ctx, address, plan); err == nil {
				used[address] = stretch
				pulled = pulled || p.pullCrashes(ctx, address)
				break
			}
			reportFailures.Inc()
		}
		for _, address := range plan.holders {
			if _, now := used[address]; !now {
				used[address] = asked[address]
			}
		}
		asked = used
		if p.loop.Snapshot().Mean.Endpoints > 0 {
			meanAge.Set(p.MeanLoadAge(time.Now()).Seconds())
		}
		p.node.Meter().SetRequestedStretch(slices.Max(append(slices.Collect(maps.Values(asked)), 1)))
		t.Reset(time.Duration(float64(reportPeriod) * p.node.Meter().Stretch(time.Now())))
	}
}

// report sends one report and posts what the reply brings. It returns the
// stretch that the holder asks for.
func (p *Side) report(ctx context.Context, address string, plan reportPlan) (float64, error) {
	args := exchange.FromReport(plan.report)
	args.News.Crashes = exchange.FromCrashes(plan.crashes, time.Now())
	sent := time.Now()
	var reply exchange.ReportReply
	if err := p.node.Call(ctx, address, exchange.MethodReport, args, &reply); err != nil {
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
		// The mean may be as old as the call, so its age counts from the sending.
		_ = p.loop.Post(ctx, meanReceived{MeanLoad{PerEndpoint: mean.PerEndpoint, Endpoints: mean.Endpoints, MeasuredAt: sent.Add(-mean.Age)}})
	}
	_ = p.loop.Post(ctx, newsHeard{offset: reply.News.ConfigOffset, verdicts: reply.News.Verdicts, crashes: crashes})
	p.configs.NotifyOffset(address, reply.News.ConfigOffset)
	return float64(reply.Percent) / 100, nil
}

// pullCrashes asks an entry for all crashes that still count. Replies to reports
// name only the recent ones, and the log may be down when a side starts.
func (p *Side) pullCrashes(ctx context.Context, address string) bool {
	var reply exchange.News
	args := exchange.CrashesArgs{WithinMS: suspect.Lifetime.Milliseconds()}
	if err := p.node.Call(ctx, address, exchange.MethodCrashes, args, &reply); err != nil {
		return false
	}
	crashes, err := reply.Model(time.Now())
	if err == nil {
		_ = p.loop.Post(ctx, newsHeard{offset: -1, crashes: crashes})
	}
	return err == nil
}

// AnnounceLeaving makes the side leave: it tells all entries at once.
func (p *Side) AnnounceLeaving(ctx context.Context) {
	_ = p.loop.Post(ctx, leavingStarted{})
	peers := p.loop.Snapshot().Peers
	notice := "leaving/" + string(p.settings.Instance)
	for tree := range summary.BroadcastTrees {
		first := peers.Hops(summary.Hops(notice, tree, p.settings.Instance, peers.Entries))
		args := exchange.LeavingArgs{Instance: string(p.settings.Instance), Tree: tree}
		p.node.Broadcast(ctx, first, exchange.MethodLeaving, args, exchange.CallTimeout)
	}
}

// followSuspects reads the crashes that sides appended to the log.
func (p *Side) followSuspects(ctx context.Context) {
	each := func(b logsvc.Batch) {
		var crashes []suspect.Crash
		for _, r := range b.Records {
			c, err := suspect.Decode(r.Data, time.UnixMilli(r.AppendedMS))
			if err != nil {
				p.log.Warn("record was skipped", "stream", suspect.Stream, "offset", r.Offset, "error", err)
				continue
			}
			crashes = append(crashes, c)
		}
		_ = p.loop.Post(ctx, newsHeard{offset: -1, crashes: crashes})
	}
	logsvc.Follow(ctx, p.deps.Logs, suspect.Stream, 0, each, func(error) {})
}

func (p *Side) jitter() float64 {
	if p.deps.Jitter != nil {
		return p.deps.Jitter()
	}
	return rand.Float64()
}
