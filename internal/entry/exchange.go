package entry

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/limit"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/member"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

func (e *Entry) newNode() *exchange.Node {
	n := exchange.New(exchange.Config{Key: e.settings.Key, Budget: e.settings.ControlBudget, Dial: e.deps.Dial})
	if err := n.Register(exchange.Service, &peerService{e}); err != nil {
		panic(err) // the method set does not fit net/rpc: a fault in the program
	}
	return n
}

// Meter returns the byte counts of the control exchange.
func (e *Entry) Meter() *exchange.Meter { return e.node.Meter() }

// UsableEndpoints returns the number of endpoints of a pool that may get new work.
func (e *Entry) UsableEndpoints(pool model.Pool) int { return len(e.loop.Snapshot().Pools[pool]) }

// ServeControl serves the peers of the control exchange until ctx ends.
func (e *Entry) ServeControl(ctx context.Context, l net.Listener) error {
	return e.node.Serve(ctx, l)
}

func (e *Entry) startExchange(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { e.node.Run(ctx); return nil })
	g.Go(func() error { e.reportGroups(ctx); return nil })
	g.Go(func() error { e.pullCrashes(ctx); return nil })
	g.Go(func() error { e.followSuspects(ctx); return nil })
}

// peerService turns the messages of peers into events and questions.
type peerService struct{ e *Entry }

func askPeer[R any](s *peerService, ev control.QuestionEvent[R]) (R, error) {
	ctx, cancel := context.WithTimeout(context.Background(), exchange.CallTimeout)
	defer cancel()
	return control.Ask(ctx, s.e.loop, ev)
}

// hear passes on what a message carries beside its subject.
func (e *Entry) hear(n exchange.News) error {
	crashes, err := n.Model(time.Now())
	if err == nil && len(crashes)+len(n.Verdicts) > 0 {
		e.loop.TryPost(newsHeard{crashes: crashes, verdicts: n.Verdicts})
	}
	return err
}

func tell(n news) exchange.News {
	return exchange.News{ConfigOffset: n.offset, Verdicts: n.verdicts, Crashes: exchange.FromCrashes(n.crashes, time.Now())}
}

// Report takes the report of a side.
func (s *peerService) Report(a exchange.ReportArgs, reply *exchange.ReportReply) error {
	report, err := a.Model()
	if err == nil {
		err = s.e.hear(a.News)
	}
	if err != nil {
		return err
	}
	r, err := askPeer(s, reportReceived{Question: control.NewQuestion[reportAnswer](), report: report})
	if err != nil {
		return err
	}
	*reply = exchange.ReportReply{Mean: exchange.FromMean(r.mean), News: tell(r.news)}
	if r.stretch > 1 {
		reply.Percent = int(r.stretch * 100)
	}
	return nil
}

// Groups takes the sums of a holder.
func (s *peerService) Groups(a exchange.GroupsArgs, reply *exchange.GroupsReply) error {
	sums, err := a.Model()
	if err == nil {
		err = s.e.hear(a.News)
	}
	if err != nil {
		return err
	}
	key := summary.Key{Pool: model.Pool(a.Pool), Region: model.Region(a.Region)}
	r, err := askPeer(s, groupsReceived{Question: control.NewQuestion[groupsAnswer](), key: key, sums: sums})
	*reply = exchange.GroupsReply{Mean: exchange.FromMean(r.mean), News: tell(r.news)}
	return err
}

// Borrow lends units of workspaces.
func (s *peerService) Borrow(a exchange.BorrowArgs, reply *exchange.BorrowReply) error {
	if err := a.Check(); err != nil {
		return err
	}
	ask := lendRequest{Question: control.NewQuestion[[]limit.Grant]()}
	for _, w := range a.Wishes {
		ask.wishes = append(ask.wishes, wish{model.Workspace(w.Workspace), w.Want, w.Need})
	}
	grants, err := askPeer(s, ask)
	for _, g := range grants {
		reply.Grants = append(reply.Grants, exchange.FromGrant(g))
	}
	return err
}

// Leaving takes a leaving notice and passes it on.
func (s *peerService) Leaving(a exchange.LeavingArgs, _ *exchange.Ack) error {
	next, err := askPeer(s, leavingHeard{Question: control.NewQuestion[[]member.Hop](), instance: model.InstanceID(a.Instance), tree: a.Tree})
	s.e.node.Broadcast(context.Background(), next, exchange.MethodLeaving, a, 0)
	return err
}

// Crash takes a crash notice, passes it on and waits until the entries behind
// it have it, so that the request cannot come back before the notice.
func (s *peerService) Crash(a exchange.CrashArgs, _ *exchange.Ack) error {
	crash, err := a.Crash.Model(time.Now())
	if err != nil {
		return err
	}
	next, err := askPeer(s, crashHeard{Question: control.NewQuestion[[]member.Hop](), crash: crash, pool: model.Pool(a.Pool), tree: a.Tree})
	s.e.node.ForwardCrash(next, a)
	return err
}

// Crashes returns the recent crashes.
func (s *peerService) Crashes(a exchange.CrashesArgs, reply *exchange.News) error {
	crashes, err := askPeer(s, crashesAsked{Question: control.NewQuestion[[]suspect.Crash](), within: a.Within()})
	reply.Crashes = exchange.FromCrashes(crashes, time.Now())
	return err
}

// groupPeriod is the interval of the reports to the roots.
const groupPeriod = time.Second

// reportGroups sends the sums of this holder to the roots.
func (e *Entry) reportGroups(ctx context.Context) {
	t := time.NewTimer(groupPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		plans, err := control.Ask(ctx, e.loop, takeGroups{Question: control.NewQuestion[[]groupsPlan]()})
		if err != nil {
			return
		}
		for _, p := range plans {
			go e.reportTo(ctx, p)
		}
		t.Reset(time.Duration(float64(groupPeriod) * e.node.Meter().Stretch(time.Now())))
	}
}

var reportFailures = metrics.GetOrCreateCounter(`goldcrest_report_failures_total{to="root"}`)

func (e *Entry) reportTo(ctx context.Context, p groupsPlan) {
	args := exchange.FromSums(p.key, p.sums)
	args.News = tell(p.news)
	var reply exchange.GroupsReply
	if err := e.node.Call(ctx, p.address, exchange.MethodGroups, args, &reply); err != nil {
		reportFailures.Inc()
		return
	}
	e.configs.NotifyOffset(p.address, reply.News.ConfigOffset)
	m, err := reply.Mean.Model()
	if err != nil || e.hear(reply.News) != nil {
		return
	}
	e.loop.TryPost(meanTold{key: p.key, mean: m})
}

const (
	// pullPeriod is the interval at which an entry asks another one for crashes
	// that its notices missed.
	pullPeriod = 30 * time.Second
	// firstPull is the interval until the first answer after the start.
	firstPull = time.Second
)

// pullCrashes asks the other entries in turn for crashes: after the start for all, later
// for those of the last periods.
func (e *Entry) pullCrashes(ctx context.Context) {
	within, pause, turn := suspect.Lifetime, firstPull, 0
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		turn++
		if e.pullFrom(ctx, e.loop.Snapshot().Peers, turn, within) {
			within, pause = 4*pullPeriod, pullPeriod
		}
		t.Reset(pause)
	}
}

func (e *Entry) pullFrom(ctx context.Context, peers *member.Peers, turn int, within time.Duration) bool {
	others := slices.DeleteFunc(slices.Clone(peers.Entries), func(id model.InstanceID) bool { return id == e.settings.Instance })
	if len(others) == 0 {
		return false
	}
	address := peers.Address(others[turn%len(others)])
	var reply exchange.News
	err := e.node.Call(ctx, address, exchange.MethodCrashes, exchange.CrashesArgs{WithinMS: within.Milliseconds()}, &reply)
	return err == nil && e.hear(reply) == nil
}

// followSuspects reads the crashes that sides appended to the log.
func (e *Entry) followSuspects(ctx context.Context) {
	each := func(b logsvc.Batch) {
		var crashes []suspect.Crash
		for _, r := range b.Records {
			c, err := suspect.Decode(r.Data, time.UnixMilli(r.AppendedMS))
			if err != nil {
				e.log.Warn("record was skipped", "stream", suspect.Stream, "offset", r.Offset, "error", err)
				continue
			}
			crashes = append(crashes, c)
		}
		_ = e.loop.Post(ctx, newsHeard{crashes: crashes})
	}
	logsvc.Follow(ctx, e.deps.Logs, suspect.Stream, 0, each, func(error) {})
}
