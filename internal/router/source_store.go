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
	// wholeInterval is how often the whole list is read although the changes were.
	// It repairs a list of which a change was never told.
	wholeInterval = 30 * time.Second
	// retryPause and maxRetryPause bound the pause after a failed call.
	retryPause    = 150 * time.Millisecond
	maxRetryPause = 600 * time.Millisecond
)

// link tells of a dependency that is lost and regained, once each.
type link struct {
	r      *Router
	name   string
	lost   bool
	pauses int
}

func (l *link) ok() {
	if l.lost {
		l.r.log.Info("dependency regained", "dependency", l.name)
	}
	l.lost, l.pauses = false, 0
}

// failed notes a failed call and waits before the next one. It reports whether
// ctx is still alive.
func (l *link) failed(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if !l.lost {
		l.r.log.Warn("dependency lost", "dependency", l.name, "error", err.Error())
	}
	l.lost = true
	storeCalls[l.name].Inc()
	pause := min(maxRetryPause, retryPause<<min(l.pauses, 4))
	l.pauses++
	return control.Pause(ctx, pause)
}

// followOrders reads the operators' orders: all that stand, then the changes.
// While another router reads the store for this one, it only reads changes that
// the other one knows of.
func (r *Router) followOrders(ctx context.Context) {
	l := &link{r: r, name: "operators' orders"}
	position, known := int64(0), false
	settle := sync.OnceFunc(func() { close(r.configured) })
	for ctx.Err() == nil {
		wait := r.loop.Snapshot().Settings.FollowTime
		if known && !r.gate.pass(ctx, ordersLoop) {
			wait = 0
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
			r.gate.failed.Store(true)
			settle()
			if !l.failed(ctx, err) {
				return
			}
			continue
		}
		l.ok()
		if orders.Skipped > 0 {
			r.log.Warn("records of the orders cannot be read", "count", orders.Skipped, "position", position)
		}
		_ = r.loop.Post(ctx, ordersRead{orders: orders, standing: !known, sent: sent, position: next})
		settle()
		position, known = next, true
	}
}

// followList reads the instance list at its interval, unless another router
// does for this one: the whole list first and after each failure, otherwise what
// changed.
func (r *Router) followList(ctx context.Context) {
	l := &link{r: r, name: "instance list"}
	known := false // a list was read
	f := listFollower{r: r}
	for ctx.Err() == nil {
		if known {
			r.gate.pass(ctx, listLoop)
		}
		start, sent := time.Now(), boottime.Now()
		list, err := f.read(ctx)
		if err != nil {
			_ = r.loop.Post(ctx, listLost{})
			r.gate.failed.Store(true)
			if !l.failed(ctx, err) {
				return
			}
			continue
		}
		l.ok()
		known = true
		_ = r.loop.Post(ctx, listRead{list: list, sent: sent})
		if !control.Pause(ctx, max(0, r.loop.Snapshot().Settings.ListInterval-time.Since(start))) {
			return
		}
	}
}

// listFollower holds the instance list up to a position.
type listFollower struct {
	r        *Router
	list     place.List
	position int64
	whole    time.Time // when the whole list was read last; zero if it has to be
	skipped  int       // entries that were logged last
}

// read returns the instance list of now. After an error the next read is one of
// the whole list.
func (f *listFollower) read(ctx context.Context) (place.List, error) {
	now := time.Now()
	var read Listing
	var err error
	whole := now.Sub(f.whole) > wholeInterval
	if !whole {
		read, err = f.r.deps.Store.EndpointChanges(ctx, f.position)
		if errors.Is(err, ErrIncomplete) {
			f.r.log.Info("changes of the instance list are incomplete, reading the whole list", "position", f.position, "cause", err.Error())
			whole = true
		}
	}
	if whole {
		read, err = f.r.deps.Store.Endpoints(ctx)
	}
	if err != nil {
		f.whole = time.Time{}
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
	case whole:
		f.list, f.whole = place.NewList(read.Changed), now
	case !read.Empty():
		f.list = f.list.Apply(read.Delta)
	}
	return f.list, nil
}
