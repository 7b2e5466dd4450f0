package router

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/boottime"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/duty"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// dutyWatchers is the number of routers that follow the lease and may take it over.
	// Each makes one read for each renewal.
	dutyWatchers = 3
	// dutyIdlePause is the time between two checks of the other routers whether they are
	// to follow the lease.
	dutyIdlePause = time.Second
	// dutyStepPause is the longest time between two steps of the holder.
	dutyStepPause = 250 * time.Millisecond
	// maxFlight bounds the time for which a call to the platform may be on its way.
	maxFlight = 600 * time.Millisecond
	// maxTurnAge is below reportDelay, so that the window that was the current one when a
	// step began cannot have been started by another router when the lease is taken.
	maxTurnAge = reportDelay / 2
	// isolatedTime is how long the holder goes on while it hears few of the others. Load
	// reports of peers may be late by a second and a half.
	isolatedTime = 1500 * time.Millisecond
	// takeoverMargin allows for the drift of clocks while a successor waits, and
	// takeoverStep lets the routers that may take over try in turn.
	takeoverMargin = 300 * time.Millisecond
	takeoverStep   = 400 * time.Millisecond
	// maxConfirmPause is how long after its acceptance a report is repeated, beyond the
	// time in which the platform does not count calls.
	maxConfirmPause = 700 * time.Millisecond
)

// Metrics of the duties.
var (
	dutyHeld     = metrics.NewGauge("goldcrest_router_duty_held", nil)
	dutyTaken    = metrics.NewCounter("goldcrest_router_duty_taken_total")
	countsFailed = metrics.NewCounter("goldcrest_router_counts_failed_total")
	usageSkipped = metrics.NewCounter("goldcrest_router_usage_windows_skipped_total")
	usageCalls   = newCounters("goldcrest_router_usage_calls_total", "result", map[duty.Outcome]string{
		duty.Accepted: "accepted", duty.Unknown: "unknown", duty.NotSent: "not_sent", duty.Rejected: "rejected",
	})
	scaleCalls = newCounters("goldcrest_router_scale_calls_total", "result", map[duty.Outcome]string{
		duty.Accepted: "accepted", duty.Unknown: "unknown", duty.NotSent: "not_sent", duty.Rejected: "rejected",
	})
	dutyStoreCalls = newCounters("goldcrest_router_duty_store_calls_total", "call", map[bool]string{false: "read", true: "write"})
)

// Flight returns the longest time for which a call to the platform may be on its way.
func (d DutySettings) Flight() time.Duration { return min(maxFlight, d.Lease/5) }

// timing returns the timing of the lease.
func (d DutySettings) timing() duty.Timing {
	return duty.Timing{Lease: d.Lease, Renew: d.Lease / 3, Flight: d.Flight(), Margin: takeoverMargin, Step: takeoverStep}
}

// dutyGrant says from when until when calls may be sent with a token, by the boot-time
// clock.
type dutyGrant struct {
	token       duty.Token
	from, until time.Duration
}

// dutyJob is a call to the platform, dutyResult its outcome.
type (
	dutyJob struct {
		token  duty.Token
		report duty.Report
		order  *duty.Order // in place of the report, if not nil
	}
	dutyResult struct {
		job     dutyJob
		outcome duty.Outcome
		err     error
	}
)

// dutyLink keeps the lease of the duties and performs them while this router holds it. The
// goroutine of follow owns the fields after results.
type dutyLink struct {
	r       *Router
	process uint64
	grant   atomic.Pointer[dutyGrant]
	// announce wakes the goroutine that sends counts to tell all that this router holds the
	// duties.
	announce chan struct{}
	jobs     chan dutyJob
	results  chan dutyResult

	elector *duty.Elector
	reports *duty.Reports
	orders  dutyOrders
	meters  bool          // usage is a duty of the deployment
	scales  bool          // so are orders of endpoints
	records DutyRecords   // as read last
	takenAt time.Duration // boot time; 0 if the lease is not held
	token   duty.Token    // of the lease that is held
	busy    bool          // a call is being made
	ended   time.Duration // boot time at which the last call ended
	dep     *dependency
	// heardMany is when this router last heard half of the others, steppedDown when it
	// last gave up the lease since it did not.
	heardMany, steppedDown time.Duration
}

// newDutyLink returns nil if the deployment has no duties.
func newDutyLink(r *Router, process uint64) *dutyLink {
	if !r.deps.Features.Duties || r.deps.Duties == nil {
		return nil
	}
	s := r.settings.Duties
	meters, scales := r.deps.Duties.Performs()
	return &dutyLink{meters: meters, scales: scales, r: r, process: process, announce: make(chan struct{}, 1), jobs: make(chan dutyJob, 1), results: make(chan dutyResult, 1),
		elector: duty.NewElector(string(r.settings.Instance), process, s.timing(), boottime.Now()),
		reports: duty.NewReports(s.Thaw + maxConfirmPause), dep: &dependency{r: r, name: "duties"}}
}

// call makes the calls to the platform, one at a time, until ctx ends.
func (d *dutyLink) call(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-d.jobs:
			c := DutyCall{Holder: d.r.settings.Instance, Token: job.token, Allowed: func() bool { return d.allowed(job.token) }}
			var res dutyResult
			if job.order != nil {
				res.outcome, res.err = d.r.deps.Duties.OrderEndpoints(ctx, c, *job.order)
			} else {
				res.outcome, res.err = d.r.deps.Duties.ReportUsage(ctx, c, job.report)
			}
			res.job = job
			d.results <- res
		}
	}
}

// allowed reports whether a call with the token may be sent now.
func (d *dutyLink) allowed(t duty.Token) bool {
	g, now := d.grant.Load(), boottime.Now()
	return g != nil && g.token == t && now >= g.from && now < g.until
}

// follow takes the lease, renews it and reports usage while it is held, until ctx ends or a
// planned stop has handed it over.
func (d *dutyLink) follow(ctx context.Context) {
	defer d.grant.Store(nil)
	for ctx.Err() == nil {
		turn, err := control.Ask(ctx, d.r.loop, dutyTurn{Question: control.NewQuestion[dutyTurnReply](), next: d.reports.Next(), takenAt: d.takenAt})
		if err != nil {
			return
		}
		if !turn.isolated {
			d.heardMany = turn.at
		}
		d.update(ctx)
		switch {
		case turn.phase != Serving:
			if d.handOver(ctx) {
				return
			}
		case d.token != 0 && d.elector.Known() && d.isolated(turn):
			if d.handOver(ctx) {
				d.steppedDown = boottime.Now()
			}
		case d.token != 0:
			err = d.perform(ctx, turn)
		case turn.rank < dutyWatchers:
			err = d.watch(ctx, turn)
		default:
			control.Pause(ctx, dutyIdlePause)
		}
		if err != nil {
			d.elector.Failed()
			d.update(ctx)
			d.backOff(ctx, err)
		}
	}
}

// backOff waits after a failed call to the store. The holder tries again soon, before its
// lease ends.
func (d *dutyLink) backOff(ctx context.Context, err error) {
	if errors.Is(err, ErrConflict) {
		return
	}
	pause := d.dep.recordFailure(err)
	if d.token != 0 {
		pause = minBackoff
	}
	control.Pause(ctx, pause)
}

// update publishes until when calls are allowed, and notes that the lease was taken or lost.
func (d *dutyLink) update(ctx context.Context) {
	token, until, holds := d.elector.Holds(boottime.Now())
	if !holds {
		d.grant.Store(nil)
		if d.token != 0 {
			d.r.log.Warn("lease of the duties lost", "token", uint64(d.token))
		}
		d.token, d.takenAt = 0, 0
		dutyHeld.Set(0)
		return
	}
	d.grant.Store(&dutyGrant{token, d.elector.CallsFrom(), until})
	if token == d.token {
		return
	}
	d.token, d.takenAt = token, boottime.Now()
	d.orders = dutyOrders{scaler: duty.NewScaler(d.records.Journal.Orders, d.takenAt)}
	dutyHeld.Set(1)
	dutyTaken.Inc()
	d.r.log.Info("lease of the duties taken", "token", uint64(token), "next_window", d.reports.Next())
	_ = d.r.loop.Post(ctx, holderSeen{d.r.settings.Instance, token})
	wake(d.announce)
}

// observe applies what was read of the store.
func (d *dutyLink) observe(ctx context.Context, turn dutyTurnReply, records DutyRecords, at duty.Position) {
	now := boottime.Now()
	_, _, before := d.elector.Holds(now)
	d.elector.Observe(now, at, records.Lease)
	if seen, _ := d.elector.Seen(); seen == at {
		d.records = records
	}
	switch _, _, holds := d.elector.Holds(now); {
	case holds && before:
		d.reports.Merge(records.Journal, at.Era)
	case holds:
		d.reports.Take(records.Journal, at.Era, false, turn.window)
	}
	if !records.Lease.Released && records.Lease.Token > 0 {
		_ = d.r.loop.Post(ctx, holderSeen{model.InstanceID(records.Lease.Holder), records.Lease.Token})
	}
	d.update(ctx)
}

// read reads the records of the store if they are not known.
func (d *dutyLink) read(ctx context.Context, turn dutyTurnReply) error {
	dutyStoreCalls[false].Inc()
	records, at, err := d.r.deps.DutyStore.Duties(ctx)
	if err != nil {
		return err
	}
	d.dep.succeeded()
	d.observe(ctx, turn, records, at)
	return nil
}

// watch follows the lease of another router, and takes it once it has ended.
func (d *dutyLink) watch(ctx context.Context, turn dutyTurnReply) error {
	if !d.elector.Known() {
		return d.read(ctx, turn)
	}
	now := boottime.Now()
	if a, due := d.elector.Next(now, turn.order); due {
		return d.put(ctx, turn, a, nil)
	}
	at, _ := d.elector.Seen()
	wait := max(d.elector.TakeAt(turn.order)-now, minBackoff)
	dutyStoreCalls[false].Inc()
	records, next, err := d.r.deps.DutyStore.DutyChanges(ctx, d.records, at, min(wait, d.r.settings.Duties.Lease))
	if errors.Is(err, ErrIncomplete) {
		return d.read(ctx, turn)
	}
	if err != nil {
		return err
	}
	d.dep.succeeded()
	d.observe(ctx, turn, records, next)
	return nil
}

// put appends a lease record and, if there is one, a journal with more reports.
func (d *dutyLink) put(ctx context.Context, turn dutyTurnReply, a duty.Append, more []duty.Report) error {
	if a.Taking && boottime.Now()-turn.at > maxTurnAge {
		return nil // turn.window may have ended
	}
	records := DutyRecords{Lease: a.Lease}
	// The journal that is written when the lease is taken would replace reports that are
	// not taken over yet.
	ordering := !a.Taking && d.orders.unwritten()
	if len(more) > 0 || a.Carried || ordering {
		records.Journal = d.reports.Journal(a.At.Era, more)
		records.Journal.Orders = d.orders.journal(d.records.Journal.Orders)
	}
	dutyStoreCalls[true].Inc()
	sent := boottime.Now()
	at, err := d.r.deps.DutyStore.PutDuties(ctx, records, a.At)
	if err != nil {
		return err
	}
	d.dep.succeeded()
	holds := d.elector.Succeeded(a, sent, boottime.Now(), at)
	if !d.elector.Known() {
		return nil // the store was restored meanwhile
	}
	if holds && a.Taking {
		d.reports.Take(d.records.Journal, at.Era, a.Carried, turn.window)
	}
	if holds && ordering {
		d.orders.written = true
	}
	d.records.Lease = a.Lease
	if records.Journal.Next > 0 {
		d.records.Journal = records.Journal
		d.reports.Merge(records.Journal, at.Era)
	}
	d.update(ctx)
	return nil
}

// perform makes the next step of the holder: a renewal, the start of reports, a call, or a
// wait for one of them.
func (d *dutyLink) perform(ctx context.Context, turn dutyTurnReply) error {
	if !d.elector.Known() {
		return d.read(ctx, turn)
	}
	if d.meters && turn.skip > d.reports.Next() {
		d.r.log.Warn("usage of windows is not reported", "from", d.reports.Next(), "to", turn.skip-1)
		usageSkipped.Add(int(turn.skip - d.reports.Next()))
		d.reports.Skip(turn.skip)
	}
	d.reports.Forget(turn.skip)
	var ready []duty.Report
	for _, rep := range turn.ready {
		if d.meters && rep.Window >= d.reports.Next() {
			ready = append(ready, rep)
		}
	}
	now := boottime.Now()
	a, due := d.elector.Next(now, turn.order)
	if a.Taking {
		return d.put(ctx, turn, a, nil)
	}
	if d.scales {
		d.decide(now, turn.demand)
	}
	if _, _, holds := d.elector.Holds(now); holds && (due || len(ready) > 0 || d.orders.unwritten()) {
		return d.put(ctx, turn, a, ready)
	}
	if rep, due := d.reports.Due(now); due && !d.busy && now >= d.elector.CallsFrom() {
		d.busy = true
		d.jobs <- dutyJob{token: d.token, report: rep}
	} else if o, due := d.orders.due(now); due && !d.busy && now >= d.elector.CallsFrom() {
		d.busy = true
		d.jobs <- dutyJob{token: d.token, order: &o}
	}
	d.await(ctx, dutyStepPause)
	return nil
}

// await waits for the outcome of a call, or for the given time.
func (d *dutyLink) await(ctx context.Context, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case res := <-d.results:
		d.busy, d.ended = false, boottime.Now()
		if res.job.order != nil {
			d.applyOrderResult(res)
			return
		}
		rep := res.job.report
		d.reports.Apply(rep.Window, res.outcome, d.ended)
		usageCalls[res.outcome].Inc()
		if res.outcome == duty.Accepted {
			d.r.log.Info("usage reported", "window", rep.Window, "workspaces", len(rep.Counts), "token", uint64(res.job.token))
			return
		}
		d.r.log.Warn("usage report failed", "window", rep.Window, "error", res.err.Error(), "token", uint64(res.job.token))
	}
}

// isolated reports whether this router has heard few others for some time, so that another
// one is to take over. It does so rarely, since announcements of routers that ended last
// for a while.
func (d *dutyLink) isolated(turn dutyTurnReply) bool {
	return turn.at-d.heardMany > isolatedTime && (d.steppedDown == 0 || turn.at-d.steppedDown > memberTTL)
}

// handOver releases the lease, once the last call has arrived or cannot arrive any more,
// and reports whether that is done.
func (d *dutyLink) handOver(ctx context.Context) (done bool) {
	if d.token == 0 {
		return true
	}
	d.grant.Store(nil)
	now, flight := boottime.Now(), d.r.settings.Duties.Flight()
	if d.busy || now < d.ended+flight {
		d.await(ctx, flight)
		return false
	}
	if !d.elector.Known() {
		return true // the lease ends by itself
	}
	a := d.elector.Release(now)
	dutyStoreCalls[true].Inc()
	if _, err := d.r.deps.DutyStore.PutDuties(ctx, DutyRecords{Lease: a.Lease}, a.At); err != nil {
		d.r.log.Warn("lease of the duties not handed over", "error", err.Error())
		return true
	}
	d.r.log.Info("lease of the duties handed over", "token", uint64(d.token))
	d.token, d.takenAt = 0, 0
	d.elector.Failed()
	dutyHeld.Set(0)
	return true
}
