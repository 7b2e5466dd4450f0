package router

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/boottime"
	"github.com/goldcrestturn/goldcrestturn/internal/catalog"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// ordersFollower keeps the operators' orders up to date.
type ordersFollower struct {
	r        *Router
	dep      *dependency
	known    bool // the orders up to position have been applied
	position Position
	config   []byte    // encoding of the configuration in force
	version  int64     // of config
	retryAt  time.Time // when the store may be read again after a failure, while a store reader supplies this router
}

// followOrders reads the operators' orders until ctx ends: first the current
// orders, then the changes. While a store reader supplies this router, it reads
// only changes that the reader already has.
func (r *Router) followOrders(ctx context.Context) {
	f := ordersFollower{r: r, dep: &dependency{r: r, name: "operators' orders"}}
	for ctx.Err() == nil {
		wait := r.loop.Snapshot().Settings.FollowWait
		supplied := false
		if f.known {
			offered, open := r.gate.waitOpen(ctx, ordersLoop)
			if supplied = !open; supplied {
				applied := f.applyOffered(ctx, offered)
				if applied {
					r.gate.ordersUnread.Store(false)
				}
				if applied || time.Now().Before(f.retryAt) {
					continue
				}
				wait = 0
			}
		}
		err := f.read(ctx, wait)
		r.gate.ordersUnread.Store(err != nil)
		switch {
		case err == nil:
			f.dep.succeeded()
			r.closeWhenApplied(ctx, r.configReady)
			continue
		case ctx.Err() != nil:
			return
		}
		r.gate.readFailed.Store(true)
		r.closeWhenApplied(ctx, r.configReady)
		backoff := f.dep.recordFailure(err)
		if supplied {
			// The store reader may send the orders before the backoff has passed.
			f.retryAt = time.Now().Add(backoff)
		} else if !control.Pause(ctx, backoff) {
			return
		}
	}
}

// read reads the orders from the store, waiting up to wait for changes, and applies
// them.
func (f *ordersFollower) read(ctx context.Context, wait time.Duration) (err error) {
	sent, next, store := boottime.Now(), f.position, f.r.deps.Store
	var orders Orders
	if f.known {
		orders, next, err = store.OrderChanges(ctx, f.position, wait)
		if errors.Is(err, ErrIncomplete) || errors.Is(err, ErrRestored) {
			f.r.log.Info("changes of the orders are incomplete, reading all that stand", "position", f.position.Offset, "cause", err.Error())
			f.known = false
		}
	}
	if !f.known {
		orders, next, err = store.CurrentOrders(ctx)
	}
	if err != nil {
		return err
	}
	if next.Era != 0 && f.position == (Position{}) {
		orders = f.r.newestConfig(ctx, orders)
	}
	if orders.Skipped > 0 {
		f.r.log.Warn("records of the orders cannot be read", "count", orders.Skipped, "position", f.position.Offset)
	}
	ev := ordersRead{orders: orders, current: !f.known, sent: sent, position: next}
	if len(f.config) > 0 && f.newer(orders.Catalog) {
		if delta, err := newConfigDelta(f.config, orders.Config); err == nil {
			ev.delta = &delta
		}
	}
	f.apply(ctx, ev)
	f.known = true
	return nil
}

// apply posts orders to the control loop.
func (f *ordersFollower) apply(ctx context.Context, ev ordersRead) {
	_ = f.r.loop.Post(ctx, ev)
	f.position = ev.position
	if c := ev.orders.Catalog; f.newer(c) {
		f.config, f.version = ev.orders.Config, c.Version
	}
}

// newer reports whether c replaces the configuration in force.
func (f *ordersFollower) newer(c *catalog.Catalog) bool {
	return c != nil && (len(f.config) == 0 || c.Version > f.version)
}

// applyOffered applies the orders that the store reader sent. It returns false if they
// have to be read from the store.
func (f *ordersFollower) applyOffered(ctx context.Context, offered offeredOrders) bool {
	if !offered.position.After(f.position) {
		return true // offered twice
	}
	if offered.config == 0 { // the reader does not send its state
		return false
	}
	orders := Orders{Evacuated: map[model.DataCentre]bool{}, Rollouts: offered.rollouts, RolloutWindows: offered.windows}
	for _, dc := range offered.evacuated {
		orders.Evacuated[dc] = true
	}
	if configHash(f.config) != offered.config {
		if len(offered.deltas) == 0 {
			return false
		}
		var err error
		if orders.Config, orders.Catalog, err = f.decode(offered); err != nil {
			f.r.log.Warn("orders of another router cannot be read", "position", f.position.Offset, "error", err.Error())
			return false
		}
	}
	f.apply(ctx, ordersRead{orders: orders, current: true, sent: offered.sent, position: offered.position})
	return true
}

// decode returns the configuration to which the offered deltas lead.
func (f *ordersFollower) decode(offered offeredOrders) (config []byte, c *catalog.Catalog, err error) {
	config = f.config
	for _, d := range offered.deltas[:min(len(offered.deltas), maxConfigDeltas)] {
		if config, err = d.apply(config); err != nil {
			return nil, nil, err
		}
	}
	if configHash(config) != offered.config {
		return nil, nil, eris.New("router: configuration is not the one that was offered")
	}
	c, err = f.r.deps.Store.DecodeConfig(config)
	return config, c, err
}
