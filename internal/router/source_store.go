package router

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/boottime"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
)

const (
	// fullReadInterval is how often the full instance list is read although its
	// changes are followed. It repairs a list that has missed a change.
	fullReadInterval = 30 * time.Second
	// minBackoff and maxBackoff bound the wait after a failed call. A router that has
	// a store reader waits up to maxMemberBackoff, since the reader supplies it when
	// the store works again: while the store is down, all routers together would
	// otherwise make hundreds of calls a second.
	minBackoff       = 150 * time.Millisecond
	maxBackoff       = 600 * time.Millisecond
	maxMemberBackoff = 2400 * time.Millisecond
)

// storeBackoff returns the wait after a failed call to the store that follows the
// given number of other failed calls. hasReader says that other routers read the
// store for this one.
func storeBackoff(failures int, hasReader bool) time.Duration {
	longest := maxBackoff
	if hasReader {
		longest = maxMemberBackoff
	}
	return min(longest, minBackoff<<min(failures, 4))
}

// dependency logs once when calls to a dependency start to fail and once when they
// succeed again, and backs off in between.
type dependency struct {
	r        *Router
	name     string
	lost     bool
	failures int
}

func (d *dependency) succeeded() {
	if d.lost {
		d.r.log.Info("dependency regained", "dependency", d.name)
	}
	d.lost, d.failures = false, 0
}

// failed records a failed call and waits for the backoff. It returns false if ctx
// has ended.
func (d *dependency) failed(ctx context.Context, err error) bool {
	return ctx.Err() == nil && control.Pause(ctx, d.recordFailure(err))
}

// recordFailure records a failed call and returns the backoff.
func (d *dependency) recordFailure(err error) time.Duration {
	if !d.lost {
		d.r.log.Warn("dependency lost", "dependency", d.name, "error", err.Error())
	}
	d.lost = true
	storeFailures[d.name].Inc()
	backoff := storeBackoff(d.failures, d.r.gate.hasReader.Load())
	d.failures++
	return backoff
}

// startLatch is closed once a part of the state that a starting router needs has
// been applied. A router that served callers as soon as the configuration was posted
// refused requests while its control loop still waited for the processor.
type startLatch struct {
	once   sync.Once
	closed chan struct{}
}

func newStartLatch() *startLatch { return &startLatch{closed: make(chan struct{})} }

// closeWhenApplied closes the latch once the control loop has applied the events
// posted before the first call. Later calls do nothing.
func (r *Router) closeWhenApplied(ctx context.Context, l *startLatch) {
	l.once.Do(func() {
		_ = r.loop.Settle(ctx)
		close(l.closed)
	})
}

// listKnown records that an instance list was posted or cannot be read.
func (r *Router) listKnown(ctx context.Context) { r.closeWhenApplied(ctx, r.listReady) }

// followList reads the instance list at ListInterval until ctx ends, unless a store
// reader supplies this router. It reads the full list first and after each
// failure, and the changes otherwise.
func (r *Router) followList(ctx context.Context) {
	dep := &dependency{r: r, name: "instance list"}
	f := listFollower{r: r}
	for ctx.Err() == nil {
		r.gate.waitOpen(ctx, listLoop)
		start, sent := time.Now(), boottime.Now()
		list, err := f.read(ctx)
		if err != nil {
			_ = r.loop.Post(ctx, listReadFailed{sent})
			r.gate.readFailed.Store(true)
			r.listKnown(ctx)
			if !dep.failed(ctx, err) {
				return
			}
			continue
		}
		dep.succeeded()
		_ = r.loop.Post(ctx, listRead{list: list, era: f.position.Era, sent: sent})
		r.listKnown(ctx)
		if !control.Pause(ctx, max(0, r.loop.Snapshot().Settings.ListInterval-time.Since(start))) {
			return
		}
	}
}

// listFollower keeps the instance list up to date with the changes in the store.
type listFollower struct {
	r          *Router
	list       place.List
	position   Position
	fullReadAt time.Time // time of the last full read; zero if one is due
	skipped    int       // number of skipped entries that was logged last
	held       heldEndpoints
}

// read returns the current instance list. After an error the next call reads the
// full list, unless something is held after a restore.
func (f *listFollower) read(ctx context.Context) (place.List, error) {
	now := time.Now()
	var read Listing
	var err error
	if !f.held.until.IsZero() && now.After(f.held.until) {
		f.held, f.fullReadAt = heldEndpoints{}, time.Time{}
	}
	full := now.Sub(f.fullReadAt) > fullReadInterval
	if !full {
		read, err = f.r.deps.Store.EndpointChanges(ctx, f.position)
		if errors.Is(err, ErrIncomplete) || errors.Is(err, ErrRestored) {
			f.r.log.Info("changes of the instance list are incomplete, reading the whole list", "position", f.position.Offset, "cause", err.Error())
			full = true
			f.held.before = place.List{} // records may have been written again, or removed
		}
	}
	if full {
		read, err = f.r.deps.Store.Endpoints(ctx)
	}
	if err != nil {
		if f.held.until.IsZero() { // else the changes show which records are written again
			f.fullReadAt = time.Time{}
		}
		return f.list, err
	}
	if read.Skipped > 0 && read.Skipped != f.skipped {
		f.r.log.Warn("entries of the instance list name no endpoint to use", "count", read.Skipped)
		f.skipped = read.Skipped
	}
	for i := range read.Changed {
		e := &read.Changed[i]
		e.Region = f.r.settings.Regions[e.DataCentre]
	}
	if full {
		read.Changed = f.keepEndpoints(now, read)
	} else {
		f.held.rewritten(read.Delta)
	}
	f.position = read.Position
	switch {
	case full:
		f.list, f.fullReadAt = place.NewList(read.Changed), now
	case !read.Empty():
		f.list = f.list.Apply(read.Delta)
	}
	return f.list, nil
}

// keepEndpoints returns the endpoints of a full read, if the store has been restored with what
// was known before of those that have not written their records again.
func (f *listFollower) keepEndpoints(now time.Time, read Listing) []place.Endpoint {
	// What was known is in the snapshot, since a store reader may have supplied this router
	// since its last read; that reader may have noticed the restore first.
	snap := f.r.loop.Snapshot()
	later := snap.Listed && snap.ListEra != 0 && read.Position.Era > snap.ListEra
	restored := read.Position.Era > f.position.Era && (later || !snap.restoredAt.IsZero() && now.Sub(snap.restoredAt) < fullReadInterval)
	if restored {
		f.held = heldEndpoints{until: now.Add(fullReadInterval), departed: maps.Clone(snap.departed)}
		if later {
			f.held.before = snap.List
		}
	}
	list, kept, left := f.held.keep(read.Changed)
	if restored && kept+left > 0 {
		f.r.log.Warn("endpoints stay listed as before although the restored store lacks their records", "count", kept, "departed", left, "for_ms", fullReadInterval.Milliseconds())
	}
	return list
}

// expireLater posts listHoldEnded after a time.
func (r *Router) expireLater(d time.Duration) {
	time.AfterFunc(d, func() { _ = r.loop.Post(context.Background(), listHoldEnded{}) })
}
