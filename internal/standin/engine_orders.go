package standin

import (
	"context"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// weightFetch is one load of a version or an adapter from the weight store.
type weightFetch struct {
	version      model.Version
	adapter      string
	processStart time.Time // start time of the engine process that requested the load
}

// item returns the name of the version or adapter in the weight store.
func (f weightFetch) item() string {
	if f.adapter != "" {
		return "adapter-" + f.adapter
	}
	return string(f.version)
}

// fetchWeights performs the queued loads one after another until ctx ends.
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

// engineOrders is the stage that executes orders, with or without fencing.
type engineOrders struct{ fetches chan<- weightFetch }

func (engineOrders) Name() string { return "engine_orders" }

func (st engineOrders) Apply(s *engineState, _ time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case submitOrder:
		ev.Reply(orderResult{err: st.execute(s, ev.order)})
		return true
	case fetched:
		st.fetched(s, ev)
		return true
	}
	return false
}

func (st engineOrders) execute(s *engineState, o endpointapi.Order) error {
	stale := o.Fence < s.highestFence
	switch {
	case !s.up():
		return ErrCrashed
	case stale && !s.cfg.IgnoresFence:
		return endpointapi.ErrStaleFence
	case stale:
		s.stats.StaleFences++
	}
	s.highestFence = max(s.highestFence, o.Fence)
	if !s.cfg.IgnoresFence {
		s.reported.Fence = s.highestFence
	}
	switch o.Kind {
	case endpointapi.OrderLoad:
		if slices.Contains(s.reported.Loaded, o.Version) || slices.Contains(s.reported.Loading, o.Version) {
			return nil
		}
		s.reported.Loading = append(s.reported.Loading, o.Version)
		return st.load(weightFetch{version: o.Version, processStart: s.startedAt})
	case endpointapi.OrderUnload:
		s.reported.Loaded = remove(s.reported.Loaded, o.Version)
	case endpointapi.OrderLoadAdapter:
		if !slices.Contains(s.reported.Adapters, o.Adapter) {
			return st.load(weightFetch{adapter: o.Adapter, processStart: s.startedAt})
		}
	case endpointapi.OrderUnloadAdapter:
		s.reported.Adapters = remove(s.reported.Adapters, o.Adapter)
	case endpointapi.OrderRole:
		s.reported.Role = o.Role
	}
	return nil
}

// load queues a load.
func (st engineOrders) load(f weightFetch) error {
	select {
	case st.fetches <- f:
		return nil
	default:
		return errFetchQueueFull
	}
}

// fetched records the end of a load. A load that was requested before the last
// restart of the engine process has no effect.
func (engineOrders) fetched(s *engineState, ev fetched) {
	if !ev.fetch.processStart.Equal(s.startedAt) {
		return
	}
	s.reported.Loading = remove(s.reported.Loading, ev.fetch.version)
	switch {
	case ev.err != nil:
	case ev.fetch.adapter != "":
		s.reported.Adapters = append(s.reported.Adapters, ev.fetch.adapter)
	default:
		s.reported.Loaded = append(s.reported.Loaded, ev.fetch.version)
	}
}

// remove returns a copy of list without item.
func remove[T comparable](list []T, item T) []T {
	return slices.DeleteFunc(slices.Clone(list), func(x T) bool { return x == item })
}

// importKV stores a prefix that was exported by another engine.
func (s *engineState) importKV(kv endpointapi.KV) error {
	if !s.up() {
		return ErrCrashed
	}
	if !slices.Contains(s.reported.Loaded, kv.Version) {
		return ErrKVVersion
	}
	s.cache.store(kv.Chat, kv.Version, kv.Tokens)
	return nil
}
