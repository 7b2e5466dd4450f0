package side

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/order"
)

// EngineController sends orders to an engine and reads its state.
type EngineController interface {
	SendOrder(ctx context.Context, o endpointapi.Order) error
	State(ctx context.Context) (endpointapi.EngineState, error)
}

// orderTimeout bounds one order or one read of the state. An engine answers an order
// to load before it loads.
const orderTimeout = 5 * time.Second

// sendOrders executes the steps of the order machine, one at a time, until ctx ends.
func (p *Side) sendOrders(ctx context.Context) {
	for ctx.Err() == nil {
		step, err := control.Ask(ctx, p.loop, nextOrderStep{control.NewQuestion[order.Step]()})
		if err != nil {
			return
		}
		switch {
		case step.Order != nil:
			p.sendOrder(ctx, *step.Order)
		case step.ReadState:
			p.readEngineState(ctx)
		default:
			p.waitForOrders(ctx, step.Until)
		}
	}
}

// waitForOrders waits until the given time or a change of the orders.
func (p *Side) waitForOrders(ctx context.Context, until time.Time) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-p.ordersWake:
	}
}

// sendOrder sends one order unless it has become stale since it was decided, for
// example while this goroutine was paused.
func (p *Side) sendOrder(ctx context.Context, o order.Order) {
	var err error
	if order.StillValid(o, p.loop.Snapshot().MinOrderFence, time.Now()) {
		sendCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err = p.deps.Engine.SendOrder(sendCtx, endpointapi.Order{
			Fence: o.Fence, Kind: endpointapi.OrderKind(o.Kind), Version: o.Version, Adapter: o.Adapter, Role: o.Role,
		})
		cancel()
		countOrder(o, err)
		if err != nil {
			p.log.Warn("order has no answer", "kind", o.Kind, "fence", o.Fence, "error", err)
		}
	} else {
		metrics.GetOrCreateCounter(`goldcrest_orders_dropped_total`).Inc()
	}
	_, _ = control.Ask(ctx, p.loop, orderDone{Question: control.NewQuestion[bool](), failed: err != nil})
}

func countOrder(o order.Order, err error) {
	result := "taken"
	if err != nil {
		result = "failed"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`goldcrest_orders_total{kind=%q,result=%q}`, o.Kind, result)).Inc()
}

func (p *Side) readEngineState(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	st, err := p.deps.Engine.State(readCtx)
	ev := engineStateRead{Question: control.NewQuestion[bool]()}
	if err == nil {
		ev.state = &order.State{Fence: st.Fence, Loaded: st.Loaded, Loading: st.Loading, Adapters: st.Adapters, Role: st.Role}
	} else {
		metrics.GetOrCreateCounter(`goldcrest_orders_state_failures_total`).Inc()
	}
	_, _ = control.Ask(ctx, p.loop, ev)
}
