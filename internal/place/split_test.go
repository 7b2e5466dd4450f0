package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Guards against a version that gets more than its share, retries, or anything after the
// share has lapsed, against requests that fail although the other version could take them,
// and against requests for the old version once only the new one is to get any.
func TestSplitsOfHeldVersions(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	table := New("r", "dc")
	var list []Endpoint
	for i := range 4 {
		version := model.Version("v1")
		if i == 0 {
			version = "v2"
		}
		list = append(list, Endpoint{ID: model.EndpointID(fmt.Sprint("e", i)), Pool: "p", DataCentre: "dc", Version: version})
	}
	table.SetEndpoints(now, list)
	table.SetHeldVersions(map[model.Pool]model.Version{"p": "v2"})
	newer := func(at time.Time, q Query) int {
		n := 0
		for i := range 100 {
			q.Pool, q.Key, q.Position = "p", uint64(i), float64(i+1)/100
			c, ok := table.Pick(at, q)
			is.True(ok)
			table.Complete(at, c.Endpoint.ID, Answered, 0)
			if c.Endpoint.Version == "v2" {
				n++
			}
		}
		return n
	}
	is.Equal(newer(now, Query{}), 0)
	table.SetSplits(map[model.Pool]Split{"p": {Share: 0.1, Until: now.Add(time.Second)}})
	is.Equal(newer(now, Query{}), 9)
	is.Equal(newer(now, Query{Excluded: []model.EndpointID{"e0"}}), 0)
	is.Equal(newer(now.Add(time.Second), Query{}), 0)
	table.SetSplits(map[model.Pool]Split{"p": {Share: 1.01, Until: now.Add(time.Second)}})
	is.Equal(newer(now, Query{}), 100)
	table.RecordTurnAway(now, "e0", 300*time.Millisecond)
	is.Equal(newer(now, Query{}), 0)
	table.SetSplits(map[model.Pool]Split{"p": {Only: true}})
	is.Equal(newer(now.Add(time.Second), Query{Excluded: []model.EndpointID{"e1"}}), 100)
}
