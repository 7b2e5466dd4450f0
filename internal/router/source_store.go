package router

import (
	"context"
	"errors"
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
	if ctx.Err() != nil {
		return false
	}
	if !d.lost {
		d.r.log.Warn("dependency lost", "dependency", d.name, "error", err.Error())
	}
	d.lost = true
	storeFailures[d.name].Inc()
	backoff := storeBackoff(d.failures, d.r.gate.hasReader.Load())
	d.failures++
	return control.Pause(ctx, backoff)
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

// followOrders reads the operators' orders until ctx ends: first the current
// orders, then the changes. While a store reader supplies this router, it reads
// only changes that the reader already has.
func (r *Router) followOrders(ctx context.Context) {
	dep := &dependency{r: r, name: "operators' orders"}
	position, known := int64(0), false
	for ctx.Err() == nil {
		wait := r.loop.Snapshot().Settings.FollowWait
		if known {
			if records, open := r.gate.waitOpen(ctx, ordersLoop); !open {
				if next, complete := r.applyRecords(ctx, position, records); complete {
					position = next
					continue
				}
				wait = 0
			}
		}
		sent := boottime.Now()
		var orders Orders
		var err error
		next := position
		if known {
			orders, next, err = r.deps.Store.OrderChanges(ctx, position, wait)
			if errors.Is(err, ErrIncomplete) {
				r.log.Info("changes of the orders are incomplete, reading all that stand", "position", position, "cause", err.Error())
				known = false
			}
		}
		if !known {
			orders, next, err = r.deps.Store.CurrentOrders(ctx)
		}
		if err != nil {
			r.gate.readFailed.Store(true)
			r.closeWhenApplied(ctx, r.configReady)
			if !dep.failed(ctx, err) {
				return
			}
			continue
		}
		dep.succeeded()
		if orders.Skipped > 0 {
			r.log.Warn("records of the orders cannot be read", "count", orders.Skipped, "position", position)
		}
		ev := ordersRead{orders: orders, current: !known, sent: sent, position: next}
		if known && next > position {
			if packed, ok := packOrders(orders.Records); ok {
				ev.batch = &orderBatch{from: position, to: next, packed: packed}
			}
		}
		_ = r.loop.Post(ctx, ev)
		r.closeWhenApplied(ctx, r.configReady)
		position, known = next, true
	}
}

// applyRecords applies the orders that the store reader sent to a router that knows
// them up to position. It returns the position after them, or false if the orders
// have to be read from the store.
func (r *Router) applyRecords(ctx context.Context, position int64, records orderRecords) (next int64, complete bool) {
	if records.to <= position {
		return position, true // offered twice
	}
	if records.from != position || len(records.packed) == 0 {
		return position, false
	}
	data, err := unpackOrders(records.packed)
	var orders Orders
	if err == nil {
		orders, err = r.deps.Store.DecodeOrders(data)
	}
	if err != nil {
		r.log.Warn("orders of another router cannot be read", "position", position, "error", err.Error())
		return position, false
	}
	_ = r.loop.Post(ctx, ordersRead{orders: orders, sent: records.sent, position: records.to})
	return records.to, true
}

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
			_ = r.loop.Post(ctx, listReadFailed{})
			r.gate.readFailed.Store(true)
			r.listKnown(ctx)
			if !dep.failed(ctx, err) {
				return
			}
			continue
		}
		dep.succeeded()
		_ = r.loop.Post(ctx, listRead{list: list, sent: sent})
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
	position   int64
	fullReadAt time.Time // time of the last full read; zero if one is due
	skipped    int       // number of skipped entries that was logged last
}

// read returns the current instance list. After an error the next call reads the
// full list.
func (f *listFollower) read(ctx context.Context) (place.List, error) {
	now := time.Now()
	var read Listing
	var err error
	full := now.Sub(f.fullReadAt) > fullReadInterval
	if !full {
		read, err = f.r.deps.Store.EndpointChanges(ctx, f.position)
		if errors.Is(err, ErrIncomplete) {
			f.r.log.Info("changes of the instance list are incomplete, reading the whole list", "position", f.position, "cause", err.Error())
			full = true
		}
	}
	if full {
		read, err = f.r.deps.Store.Endpoints(ctx)
	}
	if err != nil {
		f.fullReadAt = time.Time{}
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
	f.position = read.Position
	switch {
	case full:
		f.list, f.fullReadAt = place.NewList(read.Changed), now
	case !read.Empty():
		f.list = f.list.Apply(read.Delta)
	}
	return f.list, nil
}
