package router

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/rollout"
)

const (
	// rolloutInterval is how often the shares are updated while a roll-out is ordered.
	rolloutInterval = 100 * time.Millisecond
	// reportTimeout bounds the call with which a report is sent.
	reportTimeout = 300 * time.Millisecond
	// statusWait is how long a read of the statuses waits for changes. The judge's
	// replies make up for a connection that goes silent.
	statusWait = 2 * time.Second
	// endedWait is the same once the verdicts of all orders are stored. It bounds the time
	// after which the routers store a verdict again that the store has lost.
	endedWait = 4 * time.Second
)

// Names of the RPC service of roll-outs, short because each call carries them.
const (
	rolloutService = "R"
	rolloutMethod  = "R.Report"
)

// RolloutArgs is the report of a router to the judge of a roll-out.
type RolloutArgs struct {
	Router  string
	Pool    string
	Target  string
	Elapsed int64 // since the order, in ms
	Certain bool
	Ready   bool
	Arrived int64
	Newer   int64
	Items   []RolloutItem
}

// RolloutItem is the evidence on one route.
type RolloutItem struct {
	Route string
	// New and Old are requests and failures, and requests whose times can be compared and
	// slow ones among them, of the versions.
	New, Old [4]int64
}

// RolloutReply is the reply of the judge.
type RolloutReply struct {
	Known   bool // the receiver judges this roll-out, with reports of most routers
	Stage   int
	First   float64
	FullIn  int64 // ms
	Elapsed int64 // ms
	Certain bool
}

// Bounds of a report, which any host can send.
const (
	maxReportItems = maxWatchedRoutes + 1
	maxReportName  = 255
	maxElapsed     = 48 * time.Hour
)

// rolloutServer receives the reports of other routers.
type rolloutServer struct{ r *Router }

// Report implements the RPC method rolloutMethod.
func (s *rolloutServer) Report(args RolloutArgs, reply *RolloutReply) error {
	if len(args.Items) > maxReportItems || max(len(args.Router), len(args.Pool), len(args.Target)) > maxReportName || args.Elapsed < 0 || args.Elapsed > maxElapsed.Milliseconds() {
		return exchange.ErrMalformed
	}
	report := rollout.Report{Arrived: args.Arrived, Newer: args.Newer, Evidence: rollout.Evidence{}, Elapsed: time.Duration(args.Elapsed) * time.Millisecond, Certain: args.Certain, Ready: args.Ready}
	for _, i := range args.Items {
		for newer, c := range map[bool][4]int64{true: i.New, false: i.Old} {
			report.Evidence[rollout.EvidenceKey(newer, model.Route(i.Route))] = rollout.Counts{Requests: max(c[0], 0), Failures: max(c[1], 0)}
			report.Evidence[rollout.TimesKey(newer, model.Route(i.Route))] = rollout.Counts{Requests: max(c[2], 0), Slow: max(c[3], 0)}
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	got, err := control.Ask(ctx, s.r.loop, rolloutReportReceived{Question: control.NewQuestion[rolloutReply](), router: model.InstanceID(args.Router), pool: model.Pool(args.Pool), target: model.Version(args.Target), report: report})
	d := got.decision
	*reply = RolloutReply{Known: got.known, Stage: int(d.Stage), First: d.First, FullIn: d.FullIn.Milliseconds(), Elapsed: d.Elapsed.Milliseconds(), Certain: d.Certain}
	return err
}

// itemCounts returns the message form of the evidence about a version on a route.
func itemCounts(e rollout.Evidence, newer bool, route model.Route) [4]int64 {
	c, t := e[rollout.EvidenceKey(newer, route)], e[rollout.TimesKey(newer, route)]
	return [4]int64{c.Requests, c.Failures, t.Requests, t.Slow}
}

// runRollouts updates the roll-outs and sends reports to their judges until ctx ends.
func (r *Router) runRollouts(ctx context.Context) {
	if !r.rollouts {
		return
	}
	for control.Pause(ctx, rolloutInterval) {
		tasks, err := control.Ask(ctx, r.loop, rolloutTasksQuery{Question: control.NewQuestion[[]rolloutTask]()})
		if err != nil {
			return
		}
		for _, t := range tasks {
			if t.store != "" {
				select {
				case r.statusWrites <- t:
				default: // the last one is still being written
				}
			}
			if t.address != "" {
				r.sendReport(ctx, t)
			}
		}
	}
}

// sendReport sends a report to a judge and posts its reply.
func (r *Router) sendReport(ctx context.Context, t rolloutTask) {
	p := t.report
	args := RolloutArgs{Router: string(r.settings.Instance), Pool: string(t.pool), Target: string(t.target), Elapsed: p.Elapsed.Milliseconds(), Certain: p.Certain, Ready: p.Ready, Arrived: p.Arrived, Newer: p.Newer}
	for _, route := range t.routes {
		args.Items = append(args.Items, RolloutItem{Route: string(route), New: itemCounts(p.Evidence, true, route), Old: itemCounts(p.Evidence, false, route)})
	}
	reply, err := exchange.CallWithin[RolloutReply](ctx, r.node, reportTimeout, t.address, rolloutMethod, args)
	ms := func(n int64) time.Duration {
		return time.Duration(min(max(n, 0), maxElapsed.Milliseconds())) * time.Millisecond
	}
	_ = r.loop.Post(ctx, rolloutReplyReceived{pool: t.pool, target: t.target, judge: t.judge, failed: err != nil, reply: rolloutReply{known: reply.Known, decision: rollout.Decision{
		Stage: rollout.Stage(reply.Stage), First: reply.First, FullIn: ms(reply.FullIn), Elapsed: ms(reply.Elapsed), Certain: reply.Certain,
	}}})
}

// storeStatuses stores the statuses of roll-outs until ctx ends.
func (r *Router) storeStatuses(ctx context.Context) {
	dep := &dependency{r: r, name: "roll-out statuses"}
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-r.statusWrites:
			if err := r.storeStatus(ctx, t.pool, RolloutStatus{State: t.store, Target: t.target}); err == nil {
				dep.succeeded()
			} else if !dep.failed(ctx, err) {
				return
			}
		}
	}
}

// storeStatus stores a status, unless the store holds a verdict on the same version. The
// condition of the write makes sure that one verdict is stored at most, also if an earlier
// write whose response was lost takes effect late.
func (r *Router) storeStatus(ctx context.Context, pool model.Pool, want RolloutStatus) error {
	for conflicts := 0; ; conflicts++ {
		begun := time.Now()
		statuses, position, err := r.deps.Store.RolloutStatuses(ctx)
		if err != nil {
			return err
		}
		stored := statuses[pool]
		verdict := stored.State == RolloutCompleted || stored.State == RolloutReverted
		if stored.Target == want.Target && (verdict || stored.State == want.State) {
			return r.loop.Post(ctx, rolloutStatusesRead{statuses: statuses, begun: begun})
		}
		err = r.deps.Store.PutRolloutStatus(ctx, pool, want, position)
		if err == nil {
			r.log.Info("roll-out status stored", "pool", pool, "version", want.Target, "state", string(want.State))
			return r.loop.Post(ctx, rolloutStatusesRead{statuses: map[model.Pool]RolloutStatus{pool: want}, begun: begun})
		}
		if !errors.Is(err, ErrConflict) || conflicts == maxConflicts {
			return err
		}
	}
}

// followStatuses reads the statuses of roll-outs at the start and, while a roll-out is
// ordered, their changes, until ctx ends. It does not depend on the peers.
func (r *Router) followStatuses(ctx context.Context) {
	if !r.rollouts {
		return
	}
	dep := &dependency{r: r, name: "roll-out statuses"}
	var position Position
	stored := map[model.Pool]RolloutStatus{}
	var readFor map[model.Pool]model.Version // the orders when all statuses were read last
	known, settled := false, false           // settled: read since the last order was withdrawn
	for ctx.Err() == nil {
		orders := r.loop.Snapshot().rollouts
		if len(orders) == 0 && settled {
			control.Pause(ctx, rolloutInterval)
			continue
		}
		known = known && maps.Equal(orders, readFor)
		begun := time.Now()
		var statuses map[model.Pool]RolloutStatus
		var err error
		if known {
			statuses, position, err = r.deps.Store.RolloutStatusChanges(ctx, position, waitForStatuses(orders, stored))
		} else {
			statuses, position, err = r.deps.Store.RolloutStatuses(ctx)
		}
		if err == nil {
			if !known {
				clear(stored)
				readFor = orders
			}
			maps.Copy(stored, statuses)
			_ = r.loop.Post(ctx, rolloutStatusesRead{statuses: maps.Clone(statuses), begun: begun, current: !known})
		}
		r.closeWhenApplied(ctx, r.statusesReady)
		followed := known
		known, settled = err == nil, err == nil && len(orders) == 0
		switch {
		case err == nil:
			dep.succeeded()
		case followed && (errors.Is(err, ErrIncomplete) || errors.Is(err, ErrRestored)): // all of them are read next
		default:
			if !dep.failed(ctx, err) {
				return
			}
		}
	}
}

// waitForStatuses returns how long a read of the statuses waits for changes, given the
// orders and what the store held last.
func waitForStatuses(ordered map[model.Pool]model.Version, stored map[model.Pool]RolloutStatus) time.Duration {
	for pool, target := range ordered {
		s := stored[pool]
		if s.Target != target || s.State != RolloutCompleted && s.State != RolloutReverted {
			return statusWait
		}
	}
	return endedWait
}
