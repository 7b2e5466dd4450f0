package router

import (
	"context"
	"errors"
	"log/slog"
	"testing"

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
		want := model.NotRun
		if runs > 0 {
			want = model.Unknown
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
