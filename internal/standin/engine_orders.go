package standin

import (
	"context"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// fetch is one load from the weight store.
type fetch struct {
	version model.Version
	adapter string
	start   time.Time // start of the engine process that asked
}

func (f fetch) item() string {
	if f.adapter != "" {
		return "adapter-" + f.adapter
	}
	return string(f.version)
}

// fetchWeights loads one item after the other until ctx ends.
func (e *Engine) fetchWeights(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-e.fetches:
			var err error
			if e.cfg.Weights != nil {
				err = e.cfg.Weights.Fetch(ctx, f.item())
			}
			if e.loop.Post(ctx, fetched{fetch: f, err: err}) != nil {
				return
			}
		}
	}
}

// engineOrders takes orders, with or without fencing.
type engineOrders struct{ fetches chan<- fetch }

func (engineOrders) Name() string { return "engine_orders" }

func (st engineOrders) Apply(s *engineState, _ time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case takeOrder:
		ev.Reply(orderAnswer{err: st.take(s, ev.order)})
		return true
	case fetched:
		st.fetched(s, ev)
		return true
	}
	return false
}

func (st engineOrders) take(s *engineState, o endpointapi.Order) error {
	old := o.Fence < s.highestFence
	switch {
	case !s.up():
		return ErrCrashed
	case old && !s.cfg.IgnoresFence:
		return endpointapi.ErrStaleFence
	case old:
		s.stats.OldFences++
	}
	s.highestFence = max(s.highestFence, o.Fence)
	if !s.cfg.IgnoresFence {
		s.engine.Fence = s.highestFence
	}
	switch o.Kind {
	case endpointapi.OrderLoad:
		if slices.Contains(s.engine.Loaded, o.Version) || slices.Contains(s.engine.Loading, o.Version) {
			return nil
		}
		s.engine.Loading = append(s.engine.Loading, o.Version)
		return st.load(fetch{version: o.Version, start: s.startedAt})
	case endpointapi.OrderUnload:
		s.engine.Loaded = remove(s.engine.Loaded, o.Version)
	case endpointapi.OrderLoadAdapter:
		if !slices.Contains(s.engine.Adapters, o.Adapter) {
			return st.load(fetch{adapter: o.Adapter, start: s.startedAt})
		}
	case endpointapi.OrderUnloadAdapter:
		s.engine.Adapters = remove(s.engine.Adapters, o.Adapter)
	case endpointapi.OrderRole:
		s.engine.Role = o.Role
	}
	return nil
}

func (st engineOrders) load(f fetch) error {
	select {
	case st.fetches <- f:
		return nil
	default:
		return errLoadsQueue
	}
}

// fetched ends a load. A load that an earlier process asked for is dropped.
func (engineOrders) fetched(s *engineState, ev fetched) {
	if !ev.fetch.start.Equal(s.startedAt) {
		return
	}
	s.engine.Loading = remove(s.engine.Loading, ev.fetch.version)
	switch {
	case ev.err != nil:
	case ev.fetch.adapter != "":
		s.engine.Adapters = append(s.engine.Adapters, ev.fetch.adapter)
	default:
		s.engine.Loaded = append(s.engine.Loaded, ev.fetch.version)
	}
}

func remove[T comparable](list []T, item T) []T {
	return slices.DeleteFunc(slices.Clone(list), func(x T) bool { return x == item })
}

func (s *engineState) importKV(kv endpointapi.KV) error {
	if !s.up() {
		return ErrCrashed
	}
	if !slices.Contains(s.engine.Loaded, kv.Version) {
		return ErrOtherKV
	}
	s.cache.store(kv.Chat, kv.Version, kv.Tokens)
	return nil
}
