package side

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/order"
)

// Events between the source and the stage of orders.
type (
	// nextOrder asks for the next step.
	nextOrder struct {
		control.Question[order.Step]
	}
	// stateRead carries the state of the engine, nil if it could not be read.
	stateRead struct {
		control.Question[bool]
		state *order.State
	}
	// orderGiven ends an order.
	orderGiven struct {
		control.Question[bool]
		failed bool
	}
)

func (nextOrder) EventName() string  { return "next_order" }
func (stateRead) EventName() string  { return "state_read" }
func (orderGiven) EventName() string { return "order_given" }

// orderState is the part of the control state that belongs to the orders.
type orderState struct {
	Orders   *order.Machine
	ordersOf *config.Accepted // configuration that Orders knows
}

func newOrderState(s Settings) orderState {
	return orderState{Orders: order.New(s.EndpointID(), s.Pool)}
}

// decideOrders keeps the orders of the engine in step with the configuration.
type decideOrders struct {
	pool model.Pool
	wake chan<- struct{} // to the source; has room for one
}

func (decideOrders) Name() string { return "decide_orders" }

func (st decideOrders) Apply(s *State, now time.Time, ev control.Event) bool {
	known := s.Orders.MinFence()
	switch ev := ev.(type) {
	case control.Tick:
		s.Orders.Tick(now)
	case listChanged:
		s.Orders.SetMembers(now, poolMembers(s, st.pool))
	case nextOrder:
		ev.Reply(s.Orders.Next(now))
	case stateRead:
		s.Orders.SetState(now, ev.state)
	case orderGiven:
		s.Orders.OrderDone(now, ev.failed)
	}
	if s.ordersOf != s.Config && s.Config.Offset != config.NoBase {
		s.ordersOf = s.Config
		s.Orders.SetConfig(now, s.Config)
	}
	if s.Orders.MinFence() == known {
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
