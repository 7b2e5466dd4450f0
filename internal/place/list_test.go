package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
)

func drawEndpoints(t *rapid.T) []place.Endpoint {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) place.Endpoint {
		return place.Endpoint{
			ID:       model.EndpointID(fmt.Sprintf("e%d", rapid.IntRange(0, 9).Draw(t, "id"))),
			Pool:     "p",
			Draining: rapid.Bool().Draw(t, "draining"),
			ColdLeft: time.Duration(rapid.IntRange(0, 1).Draw(t, "cold")) * time.Second,
			Started:  int64(rapid.IntRange(1, 3).Draw(t, "started")),
		}
	}), 0, 12).Draw(t, "endpoints")
}

// Guards against a router whose instance list differs from the list of the store
// reader after it applied the changes that the reader sent.
func TestDeltasLeadToTheSameList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		now := place.NewList(drawEndpoints(rt))
		stale := now
		var history place.History
		steps := rapid.IntRange(0, 12).Draw(rt, "steps")
		at := rapid.IntRange(0, steps).Draw(rt, "stale since")
		for i := range steps {
			if i == at {
				stale = now
			}
			next := place.NewList(drawEndpoints(rt))
			is.Equal(now.Apply(now.Diff(next)), next)
			if next.Hash != now.Hash {
				history = history.Add(now, next)
			}
			now = next
		}
		if d, ok := history.Since(stale.Hash); ok {
			is.Equal(stale.Apply(d).Hash, now.Hash)
		}
	})
}

// Guards against sending the list to all peers after each read because the
// remaining cold time of an endpoint has decreased.
func TestRemainingColdTimeDoesNotChangeTheHash(t *testing.T) {
	is := is.New(t)
	e := place.Endpoint{ID: "a", ColdLeft: 2 * time.Second}
	before := place.NewList([]place.Endpoint{e})
	e.ColdLeft = time.Second
	after := place.NewList([]place.Endpoint{e})
	is.Equal(before.Hash, after.Hash)
	is.True(before.Diff(after).Empty())
	e.ColdLeft = 0
	is.True(before.Hash != place.NewList([]place.Endpoint{e}).Hash)
}
