package place

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Guards against orders of endpoints for a demand that leaves out the requests of other
// routers, or that counts endpoints which drain or whose data centre is out of service.
func TestDemandOfAPool(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := New("a", "dc-a")
	list := []Endpoint{
		{ID: "e1", Pool: "p", DataCentre: "dc-a", Slots: 8}, {ID: "e2", Pool: "p", DataCentre: "dc-a", Slots: 8},
		{ID: "e3", Pool: "p", DataCentre: "dc-a", Slots: 8, Draining: true}, {ID: "e4", Pool: "p", DataCentre: "dc-b", Slots: 4},
		{ID: "e5", Pool: "p", DataCentre: "dc-c"}, {ID: "e6", Pool: "q", DataCentre: "dc-a", Slots: 8},
	}
	table.SetEndpoints(now, list)
	table.UpdatePeerLoads(now, "b", map[uint32]int{EndpointHash("e1"): 5, EndpointHash("e3"): 2, EndpointHash("e6"): 9})
	is.Equal(table.Demand(now, "p"), []Demand{
		{DataCentre: "dc-a", Endpoints: 2, Slots: 16, Load: 7}, {DataCentre: "dc-b", Endpoints: 1, Slots: 4}, {DataCentre: "dc-c", Endpoints: 1},
	})
	table.SetEvacuated(map[model.DataCentre]bool{"dc-a": true})
	is.Equal(len(table.Demand(now, "p")), 2)
}
