package measure

import (
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/order"
)

// Guards against figures that are zero whatever the code does: with a mechanism
// disabled, the same runs must show harmful orders or loads that are too close.
func TestOrdersFailWithoutTheirMechanisms(t *testing.T) {
	is := is.New(t)
	run := func(m order.Mechanism) orderCount { return runOrders(1, 10, 5, m) }
	c := run("")
	is.Equal([]int{c.harmful, c.tooClose, c.unsettled}, []int{0, 0, 0})
	is.True(run(order.FenceCheck).harmful > 0)
	is.True(run(order.LoadSpacing).tooClose > 0)
}
