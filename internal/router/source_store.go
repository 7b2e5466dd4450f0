package router

import (
	"context"
	"errors"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/boottime"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
)

const (
	// callTime bounds a call to the store beyond the time for which it waits.
	callTime = 900 * time.Millisecond
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
			orders, next, err = r.changes(ctx, position, wait)
		} else {
			orders, next, err = r.standing(ctx)
		}
		if errors.Is(err, ErrTrimmed) {
			r.log.Info("records of the orders are gone, reading all that stand", "position", position)
			known = false
			continue
		}
		if err != nil {
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
		position, known = next, true
	}
}

func (r *Router) standing(ctx context.Context) (Orders, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return r.deps.Store.Standing(ctx)
}

func (r *Router) changes(ctx context.Context, from int64, wait time.Duration) (Orders, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime+wait)
	defer cancel()
	return r.deps.Store.Changes(ctx, from, wait)
}

// followList reads the instance list at its interval, unless another router
// does for this one.
func (r *Router) followList(ctx context.Context) {
	l := &link{r: r, name: "instance list"}
	skipped, known := 0, false
	for ctx.Err() == nil {
		if known {
			r.gate.pass(ctx, listLoop)
		}
		start, sent := time.Now(), boottime.Now()
		call, cancel := context.WithTimeout(ctx, callTime)
		list, err := r.deps.Store.Endpoints(call)
		cancel()
		if err != nil {
			_ = r.loop.Post(ctx, listLost{})
			if !l.failed(ctx, err) {
				return
			}
			continue
		}
		l.ok()
		known = true
		if list.Skipped != skipped {
			r.log.Warn("entries of the instance list name no endpoint to use", "count", list.Skipped)
			skipped = list.Skipped
		}
		for i := range list.Endpoints {
			e := &list.Endpoints[i]
			e.Region = r.settings.Regions[e.DataCentre]
		}
		_ = r.loop.Post(ctx, listRead{list: list.Endpoints, hash: hashList(list.Endpoints), sent: sent})
		if !control.Pause(ctx, max(0, r.loop.Snapshot().Settings.ListInterval-time.Since(start))) {
			return
		}
	}
}
