package side

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/order"
)

// Events of the orders to the engine.
type (
	// nextOrderStep asks for the next step of the order machine.
	nextOrderStep struct {
		control.Question[order.Step]
	}
	// engineStateRead carries the state of the engine; nil if it could not be read.
	engineStateRead struct {
		control.Question[bool]
		state *order.State
	}
	// orderDone reports that an order was sent or dropped.
	orderDone struct {
		control.Question[bool]
		failed bool
	}
)

func (nextOrderStep) EventName() string   { return "next_order" }
func (engineStateRead) EventName() string { return "state_read" }
func (orderDone) EventName() string       { return "order_given" }

// orderState is the part of the control state for orders.
type orderState struct {
	Orders       *order.Machine
	ordersConfig *config.Accepted // configuration that is applied to Orders
}

func newOrderState(s Settings) orderState {
	return orderState{Orders: order.New(s.EndpointID(), s.Pool)}
}

// decideOrders derives the orders to the engine from the configuration and the
// instance list.
type decideOrders struct {
	pool model.Pool
	wake chan<- struct{} // wakes sendOrders; buffers one signal
}

func (decideOrders) Name() string { return "decide_orders" }

func (st decideOrders) Apply(s *State, now time.Time, ev control.Event) bool {
	previousFence := s.Orders.MinFence()
	switch ev := ev.(type) {
	case control.Tick:
		s.Orders.Tick(now)
	case listChanged:
		s.Orders.SetMembers(now, poolMembers(s, st.pool))
	case nextOrderStep:
		ev.Reply(s.Orders.Next(now))
	case engineStateRead:
		s.Orders.SetState(now, ev.state)
	case orderDone:
		s.Orders.OrderDone(now, ev.failed)
	}
	if s.ordersConfig != s.Config && s.Config.Offset != config.NoBase {
		s.ordersConfig = s.Config
		s.Orders.SetConfig(now, s.Config)
	}
	if s.Orders.MinFence() == previousFence {
		return false
	}
	select {
	case st.wake <- struct{}{}:
	default:
	}
	return true
}

func poolMembers(s *State, pool model.Pool) []model.EndpointID {
	var out []model.EndpointID
	for _, e := range s.Members.All() {
		if e.Role == instances.RoleEndpoint && e.Pool == pool {
			out = append(out, e.EndpointID())
		}
	}
	return out
}
