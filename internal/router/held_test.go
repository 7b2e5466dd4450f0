package router

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
)

// Guards against orders that a restored store lacks and that end at once, or never: they stay
// until operators write their key again, or until their time has passed, and an order that
// came with the copy of the store takes nothing from a newer one.
func TestHeldOrdersEnd(t *testing.T) {
	is := is.New(t)
	f := applyOrders{log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	s := newState(Settings{})
	now := time.Unix(1000, 0)
	type evacuated = map[model.DataCentre]bool
	type versions = map[model.Pool]model.Version
	read := func(current bool, position Position, e evacuated, v versions) {
		f.Apply(s, now, ordersRead{orders: Orders{Evacuated: e, Rollouts: v}, current: current, position: position})
	}
	read(true, Position{1, 9}, evacuated{"a": true, "b": true, "c": true}, versions{"p": "v3", "q": "v3"})
	read(true, Position{2, 4}, evacuated{"c": true, "d": true}, versions{"p": "v2"})
	is.Equal(s.evacuated, evacuated{"a": true, "b": true, "c": true, "d": true})
	is.Equal(s.rollouts, versions{"p": "v3", "q": "v3"})
	read(false, Position{2, 5}, evacuated{"a": false}, versions{"q": ""}) // operators say so after the restore
	is.Equal(s.evacuated, evacuated{"b": true, "c": true, "d": true})
	is.Equal(s.rollouts, versions{"p": "v3"})
	now = now.Add(heldOrderTime / 2)
	read(true, Position{2, 6}, evacuated{"c": true, "d": true}, versions{"p": "v2"}) // of a store reader
	is.Equal(s.evacuated, evacuated{"b": true, "c": true, "d": true})
	is.Equal(s.rollouts, versions{"p": "v3"})
	now = now.Add(heldOrderTime / 2)
	read(false, Position{2, 6}, nil, nil)
	is.Equal(s.evacuated, evacuated{"c": true, "d": true})
	is.Equal(s.rollouts, versions{"p": "v2"})
	read(true, Position{2, 7}, evacuated{"c": true}, nil)
	is.Equal(s.evacuated, evacuated{"c": true})
	is.Equal(len(s.rollouts), 0)
}

// Guards against the old state of an endpoint that a restored store lists, where this router
// knows a later one.
func TestEndpointsOfARestoredStore(t *testing.T) {
	is := is.New(t)
	before := place.NewList([]place.Endpoint{
		{ID: "gone", Started: 1}, {ID: "leaves", Started: 1, Draining: true}, {ID: "new-process", Started: 5, Address: "b"},
		{ID: "newer-there", Started: 1, Draining: true}, {ID: "same", Started: 1},
	})
	list, kept := keepEndpoints(before, []place.Endpoint{
		{ID: "leaves", Started: 1}, {ID: "new-process", Started: 2, Address: "a"}, {ID: "newer-there", Started: 3},
		{ID: "same", Started: 1}, {ID: "unknown", Started: 1},
	})
	is.Equal(kept, 3)
	is.Equal(place.NewList(list).Endpoints, []place.Endpoint{
		{ID: "gone", Started: 1}, {ID: "leaves", Started: 1, Draining: true}, {ID: "new-process", Started: 5, Address: "b"},
		{ID: "newer-there", Started: 3}, {ID: "same", Started: 1}, {ID: "unknown", Started: 1},
	})
}
