package router

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
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
	held := heldEndpoints{before: before, departed: map[model.EndpointID]departure{"left": {started: 1}, "back": {started: 1}}}
	list, kept, left := held.keep([]place.Endpoint{
		{ID: "back", Started: 2}, {ID: "leaves", Started: 1}, {ID: "left", Started: 1}, {ID: "new-process", Started: 2, Address: "a"},
		{ID: "newer-there", Started: 3}, {ID: "same", Started: 1}, {ID: "unknown", Started: 1},
	})
	is.Equal(kept, 3)
	is.Equal(left, 1)
	is.Equal(place.NewList(list).Endpoints, []place.Endpoint{
		{ID: "back", Started: 2}, {ID: "gone", Started: 1}, {ID: "leaves", Started: 1, Draining: true}, {ID: "new-process", Started: 5, Address: "b"},
		{ID: "newer-there", Started: 3}, {ID: "same", Started: 1}, {ID: "unknown", Started: 1},
	})
}

// Guards against an endpoint that has left and is kept longer than a store that was down needs
// to list it again: a read that began before a newer list fails later, or reads fail again and
// again.
func TestEndpointsAreNotKeptForLateFailures(t *testing.T) {
	is := is.New(t)
	f := applyList{log: slog.New(slog.NewTextHandler(io.Discard, nil)), expireLater: func(time.Duration) {}}
	s := newState(Settings{})
	at := func(d time.Duration, ev control.Event) { f.Apply(s, time.Unix(1000, 0).Add(d), ev) }
	usable := func(d time.Duration) bool {
		_, ok := s.table.Pick(time.Unix(1000, 0).Add(d), place.Query{Pool: "p"})
		return ok
	}
	list := place.NewList([]place.Endpoint{{ID: "a", Pool: "p", Started: 1}})
	at(0, listRead{list: list, sent: 0})
	at(5*time.Second, listReadFailed{sent: time.Second})
	at(5200*time.Millisecond, listRead{list: place.List{}, sent: 5100 * time.Millisecond})
	is.True(usable(5200 * time.Millisecond)) // its record may have expired while the store was down
	at(6*time.Second, listReadFailed{sent: 5 * time.Second})
	at(6500*time.Millisecond, listReadFailed{sent: 6300 * time.Millisecond})
	at(7*time.Second, listRead{list: place.List{}, sent: 7 * time.Second})
	is.True(usable(7 * time.Second))
	at(7200*time.Millisecond, listHoldEnded{})
	is.True(!usable(7200 * time.Millisecond))
	at(8*time.Second, listReadFailed{sent: 7500 * time.Millisecond})
	is.True(!usable(8 * time.Second))
}

// Guards against what is held of an endpoint after its record has been written again, and
// against endpoints that are forgotten, or remembered for ever, after they have left.
func TestDeparturesAndRewrittenRecords(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	with := place.NewList([]place.Endpoint{{ID: "a", Started: 1}, {ID: "b", Started: 1}})
	without := place.NewList([]place.Endpoint{{ID: "b", Started: 1}})
	departed := recordDepartures(nil, now, with, without, 1)
	is.Equal(departed, map[model.EndpointID]departure{"a": {1, 1, now}})
	is.Equal(len(recordDepartures(departed, now, without, with, 1)), 0)
	is.Equal(len(recordDepartures(departed, now.Add(departedTime), without, without, 1)), 0)
	is.Equal(withoutDeparted(with, 2, departed), without)
	is.Equal(withoutDeparted(with, 1, departed), with) // listed again in the same era
	is.Equal(withoutDeparted(place.NewList([]place.Endpoint{{ID: "a", Started: 2}}), 2, departed).Endpoints, []place.Endpoint{{ID: "a", Started: 2}})
	held := heldEndpoints{until: now, before: without, departed: departed}
	held.rewritten(place.Delta{Changed: []place.Endpoint{{ID: "a", Started: 1}}, Gone: []model.EndpointID{"b"}})
	list, kept, left := held.keep([]place.Endpoint{{ID: "a", Started: 1}})
	is.Equal(list, []place.Endpoint{{ID: "a", Started: 1}})
	is.Equal(kept+left, 0)
}
