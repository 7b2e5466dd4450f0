package place

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/catalog"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Guards against slots of endpoints that can take nothing, which would hide a lost data
// centre, and against false statements of one endpoint that decide for its pool: a load, or
// a work time that jumps.
func TestPoolLoadBoundsWhatOneEndpointStates(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := New("router-1", "dc-a")
	table.SetPools(map[model.Pool]catalog.Pool{"p": {Name: "p", Engine: true}})
	var list []Endpoint
	for _, id := range []model.EndpointID{"a1", "a2", "b1", "b2"} {
		list = append(list, Endpoint{ID: id, Pool: "p", DataCentre: model.DataCentre("dc-" + id[:1]), Slots: 10})
	}
	table.SetEndpoints(now, list)
	is.Equal(table.PoolLoad(now, "p"), PoolLoad{Slots: 40})
	for _, workTime := range []float64{0, 1, 50} {
		table.RecordStatedLoad(now, "a1", StatedLoad{Running: 10, Waiting: 1e6, Slots: 1e6, WorkTime: workTime, Known: true})
		is.Equal(table.PoolLoad(now, "p"), PoolLoad{Slots: 40, Taken: 20, Waiting: 10, Stated: true})
	}
	later := now.Add(2 * time.Second)
	is.Equal(table.PoolLoad(later, "p").Waiting, 0.0) // the statement is too old

	table.SetEvacuated(map[model.DataCentre]bool{"dc-a": true})
	is.Equal(table.PoolLoad(later, "p").Slots, 20.0)
	is.Equal(table.SlotsByDataCentre(later, "p")["dc-a"], 0.0)
	table.SetEvacuated(nil)
	for _, id := range []model.EndpointID{"b1", "b2"} {
		table.Complete(later, id, Unreachable, 0)
	}
	is.Equal(table.SlotsByDataCentre(later, "p"), map[model.DataCentre]float64{"dc-a": 20})
	is.Equal(table.PoolLoad(later, "p").Slots, 20.0)
}
