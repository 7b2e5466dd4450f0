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

// Guards against a refusal with the outcome "not run" of a request whose earlier
// attempt may have run: the retry finds stale keys, no endpoint or no time left.
func TestRefusalsOfRepeatsPromiseNothing(t *testing.T) {
	is := is.New(t)
	stale := func(*Request) *model.Refusal { return refuseStaleKeys() }
	recordResult := func(model.EndpointID, place.Result, uint64) {}
	f := send{recordResult: recordResult, checkKey: stale, log: slog.New(slog.DiscardHandler)}
	for _, runs := range []int{0, 1} {
		want := model.OutcomeNotRun
		if runs > 0 {
			want = model.OutcomeUnknown
		}
		req := &Request{Route: &catalog.Route{}, Runs: runs}
		_, err := f.Handle(context.Background(), req, nil)
		is.Equal(model.AsRefusal(err).Outcome, want)
		none := placeRequest{pick: func(context.Context, place.Query) (pickReply, error) { return pickReply{}, nil }}
		_, err = none.Handle(context.Background(), req, nil)
		is.Equal(model.AsRefusal(err).Outcome, want)
		stopped := placeRequest{pick: func(context.Context, place.Query) (pickReply, error) { return pickReply{}, errors.New("stopped") }}
		_, err = stopped.Handle(context.Background(), req, nil)
		is.Equal(model.AsRefusal(err).Outcome, want)
	}
}

// Guards against store readers that send the full instance list to each router at
// each change, which took 3.6 MB/s at one of 301 routers.
func TestReadersSendOnlyChanges(t *testing.T) {
	is := is.New(t)
	var endpoints []place.Endpoint
	for i := range 3000 {
		endpoints = append(endpoints, place.Endpoint{ID: model.EndpointID(strconv.Itoa(i)), Pool: "p"})
	}
	before := place.NewList(endpoints)
	after := before.Apply(place.Delta{Gone: []model.EndpointID{"7"}, Changed: []place.Endpoint{{ID: "8", Pool: "p", Draining: true}}})
	reader := storeServer{func() *Snapshot {
		return &Snapshot{Catalog: &catalog.Catalog{}, Listed: true, List: after, History: place.History{}.Add(before, after)}
	}}
	query := func(known place.List) (r StateReply) {
		is.NoErr(reader.State(StateArgs{List: known.Hash}, &r))
		if r.Unknown {
			is.True(r.Delta.Empty())
			r = StateReply{}
			is.NoErr(reader.State(StateArgs{List: known.Hash, Buckets: known.Buckets()}, &r))
			is.True(r.Replaced != nil)
		}
		is.Equal(applyReply(known, r), after)
		return r
	}
	r := query(before)
	is.True(r.Replaced == nil)
	is.Equal(len(r.Delta.Changed)+len(r.Delta.Gone), 2)
	is.True(query(after).Delta.Empty())
	is.Equal(len(query(place.List{}).Delta.Changed), len(after.Endpoints))
	unknown := before.Apply(place.Delta{Gone: []model.EndpointID{"9"}})
	is.True(len(query(unknown).Delta.Changed) < len(after.Endpoints)/10)
}

// Guards against an endpoint that one router considers cold and another does not,
// in which case their lists never have the same hash.
func TestColdEndpointsStayColdInReplies(t *testing.T) {
	is := is.New(t)
	list := place.NewList([]place.Endpoint{{ID: "a", ColdLeft: time.Second}})
	buckets, endpoints := list.Differing(nil)
	got := applyReply(place.List{}, StateReply{Replaced: buckets, ListAge: 2 * time.Second, Delta: place.Delta{Changed: slices.Clone(endpoints)}})
	is.Equal(got.Hash, list.Hash)
	is.True(got.Endpoints[0].ColdLeft < 10*time.Millisecond)
}
