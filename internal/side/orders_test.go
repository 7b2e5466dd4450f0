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

// fakeEngine executes each order at once and loses the answers to the first, the
// third and so on.
type fakeEngine struct {
	orders []endpointapi.Order
	loaded []model.Version
}

func (e *fakeEngine) SendOrder(_ context.Context, order endpointapi.Order) error {
	e.orders = append(e.orders, order)
	switch order.Kind {
	case endpointapi.OrderLoad:
		e.loaded = append(e.loaded, order.Version)
	case endpointapi.OrderUnload:
		e.loaded = slices.DeleteFunc(e.loaded, func(v model.Version) bool { return v == order.Version })
	}
	if len(e.orders)%2 == 1 {
		return context.DeadlineExceeded
	}
	return nil
}

func (e *fakeEngine) State(context.Context) (endpointapi.EngineState, error) {
	return endpointapi.EngineState{Loaded: slices.Clone(e.loaded)}, nil
}

// Guards against a side that does not load the accepted version on its engine, or
// that sends an order again after its answer was lost.
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
		engine := &fakeEngine{loaded: []model.Version{"v1"}}
		p := side.New(side.Settings{Instance: "e1", Pool: "chat", Kind: model.Engine, Key: "k", AppendBudget: 300},
			side.Deps{Log: slog.New(slog.DiscardHandler), Logs: logs, List: list, Engine: engine})
		p.Start(ctx, &g)
		time.Sleep(3 * time.Minute)
		cancel()
		_ = g.Wait()
		is.Equal(engine.loaded, []model.Version{"v2"})
		is.Equal(len(engine.orders), 2) // one load, one unload
		is.Equal(engine.orders[0].Kind, endpointapi.OrderLoad)
	})
}
