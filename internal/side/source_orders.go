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

// EngineController is the part of an engine that takes orders.
type EngineController interface {
	SendOrder(ctx context.Context, o endpointapi.Order) error
	State(ctx context.Context) (endpointapi.EngineState, error)
}

// orderTimeout bounds one order or one read of the state. Engines answer before
// they load.
const orderTimeout = 5 * time.Second

// giveOrders carries out the steps of the order machine, one at a time, until
// ctx ends.
func (p *Side) giveOrders(ctx context.Context) {
	for ctx.Err() == nil {
		step, err := control.Ask(ctx, p.loop, nextOrder{control.NewQuestion[order.Step]()})
		if err != nil {
			return
		}
		switch {
		case step.Order != nil:
			p.giveOrder(ctx, *step.Order)
		case step.ReadState:
			p.readState(ctx)
		default:
			p.awaitOrders(ctx, step.Until)
		}
	}
}

func (p *Side) awaitOrders(ctx context.Context, until time.Time) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-p.ordersWake:
	}
}

// giveOrder sends one order unless the side has learned better since it was
// decided, for example while this goroutine was paused.
func (p *Side) giveOrder(ctx context.Context, o order.Order) {
	var err error
	if order.StillValid(o, p.loop.Snapshot().MinOrderFence, time.Now()) {
		limit, cancel := context.WithTimeout(ctx, orderTimeout)
		err = p.deps.Engine.SendOrder(limit, endpointapi.Order{
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
	_, _ = control.Ask(ctx, p.loop, orderGiven{Question: control.NewQuestion[bool](), failed: err != nil})
}

func countOrder(o order.Order, err error) {
	result := "taken"
	if err != nil {
		result = "failed"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`goldcrest_orders_total{kind=%q,result=%q}`, o.Kind, result)).Inc()
}

func (p *Side) readState(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	st, err := p.deps.Engine.State(limit)
	ev := stateRead{Question: control.NewQuestion[bool]()}
	if err == nil {
		ev.state = &order.State{Fence: st.Fence, Loaded: st.Loaded, Loading: st.Loading, Adapters: st.Adapters, Role: st.Role}
	} else {
		metrics.GetOrCreateCounter(`goldcrest_orders_state_failures_total`).Inc()
	}
	_, _ = control.Ask(ctx, p.loop, ev)
}
