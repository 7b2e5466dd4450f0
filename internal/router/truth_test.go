package router

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/catalog"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
)

// Guards against a refusal as not run for a request of which an earlier attempt
// may have run: a repeat found the keys too old, no endpoint or no time.
func TestRefusalsOfRepeatsPromiseNothing(t *testing.T) {
	is := is.New(t)
	stale := func(*Request) *model.Refusal { return staleKeys() }
	ended := func(model.EndpointID, place.Result, uint64) {}
	f := send{ended: ended, permitted: stale, log: slog.New(slog.DiscardHandler)}
	for _, runs := range []int{0, 1} {
		want := model.OutcomeNotRun
		if runs > 0 {
			want = model.OutcomeUnknown
		}
		req := &Request{Route: &catalog.Route{}, Runs: runs}
		_, err := f.Handle(context.Background(), req, nil)
		is.Equal(model.AsRefusal(err).Outcome, want)
		none := placeRequest{ask: func(context.Context, place.Query) (picked, error) { return picked{}, nil }}
		_, err = none.Handle(context.Background(), req, nil)
		is.Equal(model.AsRefusal(err).Outcome, want)
		lost := placeRequest{ask: func(context.Context, place.Query) (picked, error) { return picked{}, errors.New("stopped") }}
		_, err = lost.Handle(context.Background(), req, nil)
		is.Equal(model.AsRefusal(err).Outcome, want)
	}
}

// Guards against a whole list that is sent to each router at each change, which
// took 3.6 MB/s at a router of 301.
func TestReadersTellWhatChanged(t *testing.T) {
	is := is.New(t)
	var endpoints []place.Endpoint
	for i := range 3000 {
		endpoints = append(endpoints, place.Endpoint{ID: model.EndpointID(strconv.Itoa(i)), Pool: "p"})
	}
	before := place.NewList(endpoints)
	after := before.Apply(place.Delta{Removed: []model.EndpointID{"7"}, Changed: []place.Endpoint{{ID: "8", Pool: "p", Draining: true}}})
	reader := storeServer{func() *Snapshot {
		return &Snapshot{Catalog: &catalog.Catalog{}, Listed: true, List: after, Trail: place.History{}.Add(before, after)}
	}}
	ask := func(knows place.List) (r StateReply) {
		is.NoErr(reader.State(StateArgs{knows.Hash}, &r))
		is.Equal(listAfter(knows, r), after)
		return r
	}
	r := ask(before)
	is.True(!r.Whole)
	is.Equal(len(r.Delta.Changed)+len(r.Delta.Removed), 2)
	is.True(ask(after).Delta.Empty())
	is.True(ask(place.List{}).Whole)
}

// Guards against an endpoint that is no longer cold in the eyes of one router
// and cold in those of another, whose lists then never agree.
func TestColdEndpointsStayColdOnTheWay(t *testing.T) {
	is := is.New(t)
	list := place.NewList([]place.Endpoint{{ID: "a", ColdLeft: time.Second}})
	got := listAfter(place.List{}, StateReply{Whole: true, ListAge: 2 * time.Second, Delta: place.Delta{Changed: slices.Clone(list.Endpoints)}})
	is.Equal(got.Hash, list.Hash)
	is.True(got.Endpoints[0].ColdLeft < 10*time.Millisecond)
}
