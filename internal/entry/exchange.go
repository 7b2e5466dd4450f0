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
	"github.com/goldcrestturn/goldcrestturn/internal/memory"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

func (e *Entry) newNode() *exchange.Node {
	division := e.settings.Bounds.Division()
	n := exchange.New(exchange.Config{Key: e.settings.Key, MaxPeers: int(division.Peers.Descriptors), Messages: memory.NewBudget(division.PeerMessages), Budget: e.settings.ControlBudget, Dial: e.deps.Dial, AcceptFailed: func(err error) {
		e.log.Warn("connections of peers cannot be accepted", "error", err.Error())
	}})
	if err := n.Register(exchange.Service, &peerService{e}); err != nil {
		panic(err) // net/rpc rejects the method set: a programming error
	}
	return n
}

// Meter returns the meter of the control exchange, which counts its bytes.
func (e *Entry) Meter() *exchange.Meter { return e.node.Meter() }

// UsableEndpoints returns the number of endpoints of a pool that take new work.
func (e *Entry) UsableEndpoints(pool model.Pool) int { return len(e.loop.Snapshot().Pools[pool]) }

// ServeControl serves the peers of the control exchange until ctx ends.
func (e *Entry) ServeControl(ctx context.Context, l net.Listener) error {
	return e.node.Serve(ctx, l)
}

func (e *Entry) startExchange(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { e.node.Run(ctx); return nil })
	g.Go(func() error { e.reportGroupSums(ctx); return nil })
	g.Go(func() error { e.pullCrashes(ctx); return nil })
	g.Go(func() error { e.followSuspects(ctx); return nil })
}

// peerService turns the net/rpc calls of peers into events and questions for the
// control loop.
type peerService struct{ e *Entry }

// askForPeer asks the control loop on behalf of a peer, for at most the time that
// the peer waits for its call.
func askForPeer[R any](s *peerService, ev control.QuestionEvent[R]) (R, error) {
	ctx, cancel := context.WithTimeout(context.Background(), exchange.CallTimeout)
	defer cancel()
	return control.Ask(ctx, s.e.loop, ev)
}

// receiveGossip posts the crashes and latches piggybacked on a message to the control
// loop. If the queue is full, they are dropped.
func (e *Entry) receiveGossip(n exchange.News) error {
	crashes, err := n.Model(time.Now())
	if err == nil && len(crashes)+len(n.Verdicts) > 0 {
		e.loop.TryPost(gossipReceived{crashes: crashes, latches: n.Verdicts})
	}
	return err
}

// encodeGossip returns the wire form of g.
func encodeGossip(g gossip) exchange.News {
	return exchange.News{ConfigOffset: g.offset, Verdicts: g.latches, Crashes: exchange.FromCrashes(g.crashes, time.Now())}
}

// Report receives the load report of a side.
func (s *peerService) Report(a exchange.ReportArgs, reply *exchange.ReportReply) error {
	report, err := a.Model()
	if err == nil {
		err = s.e.receiveGossip(a.News)
	}
	if err != nil {
		return err
	}
	r, err := askForPeer(s, reportReceived{Question: control.NewQuestion[reportReply](), report: report})
	if err != nil {
		return err
	}
	*reply = exchange.ReportReply{Mean: exchange.FromMean(r.mean), News: encodeGossip(r.gossip)}
	if r.stretch > 1 {
		reply.Percent = int(r.stretch * 100)
	}
	return nil
}

// Groups receives the group sums of an aggregator.
func (s *peerService) Groups(a exchange.GroupsArgs, reply *exchange.GroupsReply) error {
	sums, err := a.Model()
	if err == nil {
		err = s.e.receiveGossip(a.News)
	}
	if err != nil {
		return err
	}
	key := summary.Key{Pool: model.Pool(a.Pool), Region: model.Region(a.Region)}
	r, err := askForPeer(s, groupSumsReceived{Question: control.NewQuestion[groupSumsReply](), key: key, sums: sums})
	*reply = exchange.GroupsReply{Mean: exchange.FromMean(r.mean), News: encodeGossip(r.gossip)}
	return err
}

// Borrow grants cost units of the workspaces whose home this entry is.
func (s *peerService) Borrow(a exchange.BorrowArgs, reply *exchange.BorrowReply) error {
	if err := a.Check(); err != nil {
		return err
	}
	ev := lendRequest{Question: control.NewQuestion[[]limit.Grant]()}
	for _, w := range a.Wishes {
		ev.leaseRequests = append(ev.leaseRequests, leaseRequest{model.Workspace(w.Workspace), w.Want, w.Need})
	}
	grants, err := askForPeer(s, ev)
	for _, g := range grants {
		reply.Grants = append(reply.Grants, exchange.FromGrant(g))
	}
	return err
}

// Leaving receives a leaving notice and forwards it to the next hops.
func (s *peerService) Leaving(a exchange.LeavingArgs, _ *exchange.Ack) error {
	next, err := askForPeer(s, leavingNoticeReceived{Question: control.NewQuestion[[]member.Hop](), instance: model.InstanceID(a.Instance), tree: a.Tree})
	s.e.node.Broadcast(context.Background(), next, exchange.MethodLeaving, a, 0)
	return err
}

// Crash receives a crash notice, forwards it and waits, up to the time in the
// message, until the processes below this one in the tree have it. A retry of the
// request therefore does not arrive before the notice.
func (s *peerService) Crash(a exchange.CrashArgs, _ *exchange.Ack) error {
	crash, err := a.Crash.Model(time.Now())
	if err != nil {
		return err
	}
	next, err := askForPeer(s, crashNoticeReceived{Question: control.NewQuestion[[]member.Hop](), crash: crash, pool: model.Pool(a.Pool), tree: a.Tree})
	s.e.node.ForwardCrash(next, a)
	return err
}

// Crashes returns the recent crashes, for entries that missed a notice.
func (s *peerService) Crashes(a exchange.CrashesArgs, reply *exchange.News) error {
	crashes, err := askForPeer(s, recentCrashesQuery{Question: control.NewQuestion[[]suspect.Crash](), within: a.Within()})
	reply.Crashes = exchange.FromCrashes(crashes, time.Now())
	return err
}

// groupSumInterval is the interval at which an aggregator sends its group sums
// to the roots.
const groupSumInterval = time.Second

// reportGroupSums sends the group sums of this aggregator to the roots until ctx
// ends.
func (e *Entry) reportGroupSums(ctx context.Context) {
	t := time.NewTimer(groupSumInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		messages, err := control.Ask(ctx, e.loop, groupSumsQuery{Question: control.NewQuestion[[]groupSumsMessage]()})
		if err != nil {
			return
		}
		for _, m := range messages {
			go e.sendGroupSums(ctx, m)
		}
		t.Reset(time.Duration(float64(groupSumInterval) * e.node.Meter().Stretch(time.Now())))
	}
}

var reportFailures = metrics.GetOrCreateCounter(`goldcrest_report_failures_total{to="root"}`)

func (e *Entry) sendGroupSums(ctx context.Context, m groupSumsMessage) {
	args := exchange.FromSums(m.key, m.sums)
	args.News = encodeGossip(m.gossip)
	reply, err := exchange.Call[exchange.GroupsReply](ctx, e.node, m.address, exchange.MethodGroups, args)
	if err != nil {
		reportFailures.Inc()
		return
	}
	e.configs.NotifyOffset(m.address, reply.News.ConfigOffset)
	mean, err := reply.Mean.Model()
	if err != nil || e.receiveGossip(reply.News) != nil {
		return
	}
	e.loop.TryPost(meanReceived{key: m.key, mean: mean})
}

const (
	// crashPullInterval is the interval at which an entry pulls from another one
	// the crashes whose notices it missed.
	crashPullInterval = 30 * time.Second
	// firstCrashPullInterval is the interval between pulls after the start, until
	// one succeeds.
	firstCrashPullInterval = time.Second
)

// pullCrashes pulls crashes from the other entries in turn. Until a pull succeeds, it
// asks for all crashes that have not expired, and then for those of the last four
// intervals.
func (e *Entry) pullCrashes(ctx context.Context) {
	within, interval, turn := suspect.Lifetime, firstCrashPullInterval, 0
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		turn++
		if e.pullCrashesFrom(ctx, e.loop.Snapshot().Peers, turn, within) {
			within, interval = 4*crashPullInterval, crashPullInterval
		}
		t.Reset(interval)
	}
}

func (e *Entry) pullCrashesFrom(ctx context.Context, peers *member.Peers, turn int, within time.Duration) bool {
	others := slices.DeleteFunc(slices.Clone(peers.Entries), func(id model.InstanceID) bool { return id == e.settings.Instance })
	if len(others) == 0 {
		return false
	}
	address := peers.Address(others[turn%len(others)])
	reply, err := exchange.Call[exchange.News](ctx, e.node, address, exchange.MethodCrashes, exchange.CrashesArgs{WithinMS: within.Milliseconds()})
	return err == nil && e.receiveGossip(reply) == nil
}

// followSuspects applies the crashes that sides appended to the log.
func (e *Entry) followSuspects(ctx context.Context) {
	apply := func(b logsvc.Batch) {
		var crashes []suspect.Crash
		for _, r := range b.Records {
			c, err := suspect.Decode(r.Data, time.UnixMilli(r.AppendedMS))
			if err != nil {
				e.log.Warn("record was skipped", "stream", suspect.Stream, "offset", r.Offset, "error", err)
				continue
			}
			crashes = append(crashes, c)
		}
		_ = e.loop.Post(ctx, gossipReceived{crashes: crashes})
	}
	logsvc.Follow(ctx, e.deps.Logs, suspect.Stream, 0, apply, func(error) {})
}
