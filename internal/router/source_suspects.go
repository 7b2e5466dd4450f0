package router

import (
	"context"
	"errors"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

const (
	// crashReportPause is the shortest time between two reports of this router, and
	// between two reads of those of others while there are new ones. When a data centre
	// loses power, all routers report at once.
	crashReportPause = 250 * time.Millisecond
	// crashFollowWait is how long a read waits for reports while a store reader supplies
	// this router, which then hears of most crashes from its peers.
	crashFollowWait = 10 * time.Second
	// maxConflicts is the number of times that a record is written anew because another
	// router wrote one meanwhile, before the store counts as failing.
	maxConflicts = 4
)

// suspectWriter keeps in the store the refused properties, so that they outlast the
// routers that know them, and the crashes that this router saw, so that they reach routers
// that do not hear it. Its goroutine owns the fields after reload.
type suspectWriter struct {
	r       *Router
	records chan map[uint64]suspect.Record // by key; those that were not taken yet
	reports chan suspect.Report            // the latest one that was not taken yet
	reload  chan struct{}                  // the store may have lost records
	pending map[uint64]suspect.Record      // by key; not written yet
	report  *suspect.Report                // not written yet; nil if there is none
	loaded  bool                           // the records of the store have been read
}

func newSuspectWriter(r *Router) *suspectWriter {
	return &suspectWriter{r: r, records: make(chan map[uint64]suspect.Record, 1), reports: make(chan suspect.Report, 1), reload: make(chan struct{}, 1), pending: map[uint64]suspect.Record{}}
}

// save hands over records, which replace those with the same keys that are not written yet.
// Only the control goroutine may call it.
func (w *suspectWriter) save(records []suspect.Record) {
	if len(records) == 0 {
		return
	}
	waiting := map[uint64]suspect.Record{}
	select {
	case waiting = <-w.records:
	default:
	}
	addRecords(waiting, slices.Values(records))
	w.records <- waiting
}

// addRecords adds records to those to be written. While the store fails there may be more
// than a table of properties can hold. The others are dropped: their properties are then
// known to the routers only.
func addRecords(to map[uint64]suspect.Record, records iter.Seq[suspect.Record]) {
	for rec := range records {
		if _, known := to[rec.Key]; !known && len(to) >= suspect.MaxCauses {
			suspectRecordsDropped.Inc()
			continue
		}
		to[rec.Key] = rec
	}
}

// saveReport hands over a report, which replaces one that is not written yet. Only the
// control goroutine may call it.
func (w *suspectWriter) saveReport(rep suspect.Report) {
	select {
	case <-w.reports:
	default:
	}
	w.reports <- rep
}

// run reads the records of the store once and then writes what is queued, until ctx ends.
func (w *suspectWriter) run(ctx context.Context) {
	dep := &dependency{r: w.r, name: "suspects"}
	for ctx.Err() == nil {
		reported, err := w.sync(ctx)
		if err != nil {
			if !dep.failed(ctx, err) {
				return
			}
			w.takeWaiting()
			continue
		}
		dep.succeeded()
		if reported {
			control.Pause(ctx, crashReportPause)
		}
		select {
		case records := <-w.records:
			addRecords(w.pending, maps.Values(records))
		case rep := <-w.reports:
			w.report = &rep
		case <-w.reload:
			w.loaded = false
		case <-ctx.Done():
			return
		}
		w.takeWaiting()
	}
}

// takeWaiting takes over the records and the report that wait, if there are any.
func (w *suspectWriter) takeWaiting() {
	for {
		select {
		case records := <-w.records:
			addRecords(w.pending, maps.Values(records))
		case rep := <-w.reports:
			w.report = &rep
		default:
			return
		}
	}
}

// sync reads the records of the store, if that has not been done yet, and writes what is
// pending. It reports whether that included a report.
func (w *suspectWriter) sync(ctx context.Context) (reported bool, err error) {
	if !w.loaded {
		list, _, err := w.r.deps.Store.Suspects(ctx)
		if err == nil {
			w.loaded = true
			_ = w.r.loop.Post(ctx, suspectsRead{list})
		}
		w.r.closeWhenApplied(ctx, w.r.suspectsReady) // callers do not wait for a store that fails
		if err != nil {
			return false, err
		}
	}
	if w.report != nil {
		if err := w.r.deps.Store.PutCrashReport(ctx, *w.report); err != nil {
			return false, err
		}
		w.report, reported = nil, true
	}
	for len(w.pending) > 0 {
		if err := w.writePending(ctx); err != nil {
			return reported, err
		}
	}
	return reported, nil
}

// maxRecordsPerWrite bounds the size of one write to the store.
const maxRecordsPerWrite = 512

// writePending adds pending records to what the store holds of their properties, with one
// write at most. Routers that do not hear each other store what they know of one property,
// and trials that were claimed must stay.
func (w *suspectWriter) writePending(ctx context.Context) error {
	for conflicts := 0; ; conflicts++ {
		list, position, err := w.r.deps.Store.Suspects(ctx)
		if err != nil {
			return err
		}
		next := w.changedRecords(list)
		if len(next) == 0 {
			return nil
		}
		err = w.r.deps.Store.PutSuspects(ctx, next, position)
		if err == nil {
			for _, rec := range next {
				delete(w.pending, rec.Key)
			}
			return nil
		}
		again := errors.Is(err, ErrConflict) || errors.Is(err, ErrRestored)
		if !again || conflicts == maxConflicts {
			return err
		}
	}
}

// changedRecords returns the next records to be written to a store that holds a list of them,
// and drops the pending ones that change nothing there.
func (w *suspectWriter) changedRecords(list []suspect.Record) (next []suspect.Record) {
	stored := make(map[uint64]suspect.Record, len(list))
	for _, rec := range list {
		stored[rec.Key] = rec
	}
	for key, rec := range w.pending {
		if len(next) == maxRecordsPerWrite {
			break
		}
		before, known := stored[key]
		if !known {
			before.Key = key
		}
		if after, changed := before.Update(rec); changed {
			next = append(next, after)
		} else {
			delete(w.pending, key)
		}
	}
	return next
}

// followCrashReports reads what other routers reported of crashes until ctx ends: first
// their newest reports, then the changes. It does not depend on the peers, since a router
// that hears none is bound by what they know all the same.
func (r *Router) followCrashReports(ctx context.Context) {
	dep := &dependency{r: r, name: "crash reports"}
	var position Position
	known := false
	for ctx.Err() == nil {
		var reports []suspect.Report
		var err error
		live := known
		if known {
			reports, position, err = r.deps.Store.CrashReportChanges(ctx, position, r.crashWait())
		} else {
			reports, position, err = r.deps.Store.CrashReports(ctx)
		}
		if known = err == nil; known {
			dep.succeeded()
			if len(reports) > 0 {
				_ = r.loop.Post(ctx, crashReportsRead{reports: reports, live: live})
			}
		}
		r.closeWhenApplied(ctx, r.crashesReady)
		switch {
		case errors.Is(err, ErrIncomplete) || errors.Is(err, ErrRestored):
			r.log.Info("changes of the crash reports are incomplete, reading the newest ones", "cause", err.Error())
		case err != nil:
			if !dep.failed(ctx, err) {
				return
			}
		case len(reports) > 0:
			control.Pause(ctx, crashReportPause)
		}
	}
}

// crashWait returns how long a read waits for crash reports. A connection may go silent
// without a sign, so a router that reads the store for itself waits no longer than for
// orders.
func (r *Router) crashWait() time.Duration {
	if r.gate.closed.Load() {
		return crashFollowWait
	}
	return r.loop.Snapshot().Settings.FollowWait
}
