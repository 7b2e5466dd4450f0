package side_test

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/side"
	"github.com/goldcrestturn/goldcrestturn/internal/standin"
)

// orderTaker takes orders at once and loses every second answer.
type orderTaker struct {
	taken  []endpointapi.Order
	loaded []model.Version
}

func (o *orderTaker) SendOrder(_ context.Context, ord endpointapi.Order) error {
	o.taken = append(o.taken, ord)
	switch ord.Kind {
	case endpointapi.OrderLoad:
		o.loaded = append(o.loaded, ord.Version)
	case endpointapi.OrderUnload:
		o.loaded = slices.DeleteFunc(o.loaded, func(v model.Version) bool { return v == ord.Version })
	}
	if len(o.taken)%2 == 1 {
		return context.DeadlineExceeded
	}
	return nil
}

func (o *orderTaker) State(context.Context) (endpointapi.EngineState, error) {
	return endpointapi.EngineState{Loaded: slices.Clone(o.loaded)}, nil
}

// Guards against a side that does not bring its engine to the version of an
// accepted record, or repeats an order whose answer was lost.
func TestSideOrdersTheAcceptedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		defer func() { cancel(); _ = g.Wait() }()
		logs, list := standin.NewLogService(), standin.NewInstanceList()
		g.Go(func() error { logs.Run(ctx); return nil })
		g.Go(func() error { list.Run(ctx); return nil })
		is.NoErr(list.Put(ctx, instances.Instance{ID: "e1", Role: instances.RoleEndpoint, Pool: "chat", Status: instances.Live}))
		l := lists.New()
		l.Pools["chat"] = lists.Pool{Kind: model.Engine, Version: "v2", LoadSpacing: 5 * time.Second}
		data, err := config.Record{ID: "first", Base: config.NoBase, Snapshot: l}.Encode()
		is.NoErr(err)
		_, err = logs.Append(ctx, config.Stream, data)
		is.NoErr(err)
		engine := &orderTaker{loaded: []model.Version{"v1"}}
		p := side.New(side.Settings{Instance: "e1", Pool: "chat", Kind: model.Engine, Key: "k", AppendBudget: 300},
			side.Deps{Log: slog.New(slog.DiscardHandler), Logs: logs, List: list, Engine: engine})
		p.Start(ctx, &g)
		time.Sleep(3 * time.Minute)
		cancel()
		_ = g.Wait()
		is.Equal(engine.loaded, []model.Version{"v2"})
		is.Equal(len(engine.taken), 2) // one load, one unload
		is.Equal(engine.taken[0].Kind, endpointapi.OrderLoad)
	})
}
