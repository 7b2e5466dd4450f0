package router

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/duty"
)

const (
	// orderPause is the shortest time between two orders of any subjects.
	orderPause = time.Second
	// orderRepeat is the pause before an order is repeated whose outcome is unknown. It is
	// given up after orderTries: its successor states what is needed then.
	orderRepeat = time.Second
	orderTries  = 10
)

// dutyOrders are the orders of endpoints of a holder of the duties, one at a time.
type dutyOrders struct {
	scaler  *duty.Scaler
	order   *duty.Order // the one that is being made; nil if there is none
	written bool        // it is in the journal
	tries   int
	next    time.Duration // boot time of the next call
}

// unwritten reports whether there is an order that has to be written to the journal.
func (o *dutyOrders) unwritten() bool { return o.order != nil && !o.written }

// journal returns the last orders, or those of the given list if none is being made.
func (o *dutyOrders) journal(last []duty.Order) []duty.Order {
	if o.order == nil {
		return last
	}
	return o.scaler.Orders(*o.order)
}

// due returns an order whose call is due.
func (o *dutyOrders) due(now time.Duration) (duty.Order, bool) {
	if o.order == nil || !o.written || now < o.next {
		return duty.Order{}, false
	}
	return *o.order, true
}

// decide applies the demand and takes up an order that is due, unless there is one.
func (d *dutyLink) decide(now time.Duration, demand []duty.Demand) {
	o := &d.orders
	for _, dem := range demand {
		order, reason, due := o.scaler.Step(now, dem)
		if !due || o.order != nil || now < o.next {
			continue
		}
		o.scaler.Ordered(order, now)
		o.order, o.written, o.tries, o.next = &order, false, 0, now
		d.r.log.Info("endpoints ordered", "pool", order.Subject.Pool, "data_centre", order.Subject.DataCentre, "desired", order.Desired,
			"reason", string(reason), "endpoints", dem.Endpoints, "slots", dem.Slots, "load", dem.Load, "min", dem.Min, "max", dem.Max)
	}
}

// applyOrderResult applies the outcome of the call for an order.
func (d *dutyLink) applyOrderResult(res dutyResult) {
	o := &d.orders
	scaleCalls[res.outcome].Inc()
	if res.outcome != duty.Accepted {
		d.r.log.Warn("order of endpoints failed", "pool", res.job.order.Subject.Pool, "data_centre", res.job.order.Subject.DataCentre,
			"desired", res.job.order.Desired, "error", res.err.Error())
	}
	if o.order == nil || *o.order != *res.job.order {
		return // of an earlier lease
	}
	o.tries++
	o.next = d.ended + orderRepeat
	if res.outcome == duty.Accepted || res.outcome == duty.Rejected || o.tries == orderTries {
		o.order, o.next = nil, d.ended+orderPause
	}
}
