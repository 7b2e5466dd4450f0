package member

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Guards against aggregators and home entries in another region, which a network
// partition makes unreachable, and against ones that are leaving or have no
// control address.
func TestPeersAreUsableEntriesOfTheRegion(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	put := func(id model.InstanceID, role instances.Role, dc model.DataCentre, control string, status instances.Status) {
		table.ApplyList(instances.Changes{Instances: []instances.Instance{{
			ID: id, Role: role, Pool: "chat", DataCentre: dc, Control: control, Status: status,
		}}}, time.Time{})
	}
	put("b", instances.RoleEntry, "akl-1", "b:1", instances.Live)
	put("a", instances.RoleEntry, "akl-2", "a:1", instances.Live)
	put("far", instances.RoleEntry, "luz-1", "far:1", instances.Live)
	put("silent", instances.RoleEntry, "akl-1", "", instances.Live)
	put("leaving", instances.RoleEntry, "akl-1", "leaving:1", instances.Leaving)
	put("engine", instances.RoleEndpoint, "akl-1", "engine:1", instances.Leaving)
	put("far-engine", instances.RoleEndpoint, "luz-1", "far-engine:1", instances.Live)
	p := table.PeersOf(func(dc model.DataCentre) bool { return dc != "luz-1" })
	is.Equal(p.Entries, []model.InstanceID{"a", "b"})
	is.Equal(p.EndpointCount("chat"), 1)
	is.Equal(p.Addresses(p.PoolPeers("chat", "b")), []string{"a:1", "engine:1"})
}
