package router

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
)

const (
	// peerPause lets routers that run already tell what they know first. They
	// answer within a round trip.
	peerPause = 20 * time.Millisecond
	// knownPause is the wait for the instance list and the configuration.
	knownPause = 5 * time.Millisecond
	// cacheReaders bounds the lists that are read at once.
	cacheReaders = 8
)

// readCaches asks engines what they hold, if no other router can tell. After
// all routers stopped at once, nothing else knows it, and each prompt that goes
// to another engine is read again. The routers that announced themselves share
// the engines, since each list delays its engine's work.
func (r *Router) readCaches(ctx context.Context) {
	defer close(r.settled)
	select {
	case <-r.membersKnown:
	case <-ctx.Done():
		return
	}
	if r.settings.FirstStart || !control.Pause(ctx, peerPause) {
		return
	}
	for s := r.loop.Snapshot(); s.Catalog == nil || !s.Listed; s = r.loop.Snapshot() {
		if !control.Pause(ctx, knownPause) {
			return
		}
	}
	for begin, first := time.Now(), true; time.Since(begin) < settleTime; first = false {
		a, err := control.Ask(ctx, r.loop, cachesAsked{Question: control.NewQuestion[cachesToRead]()})
		if err != nil || a.known {
			return
		}
		if len(a.engines) == 0 {
			break
		}
		owners := a.routers
		if !first { // those that do not run leave their engines to the others
			owners = append(a.heard, r.settings.Instance)
		}
		r.readOwn(ctx, a.engines, owners)
		if !control.Pause(ctx, peerPause) {
			return
		}
	}
	_ = r.loop.Post(ctx, holdersKnown{})
}

// readOwn reads the caches of the engines that fall to this router.
func (r *Router) readOwn(ctx context.Context, engines []place.Endpoint, routers []model.InstanceID) {
	var g errgroup.Group
	g.SetLimit(cacheReaders)
	for _, e := range engines {
		if slices.Contains(summary.Rendezvous(string(e.ID), routers, 1), r.settings.Instance) {
			g.Go(func() error { r.readCache(ctx, e); return nil })
		}
	}
	_ = g.Wait()
}

func (r *Router) readCache(ctx context.Context, e place.Endpoint) {
	parts, err := r.deps.Caches.CachedParts(ctx, e.Address)
	if err != nil {
		r.log.Warn("cache of an engine cannot be read", "endpoint", e.ID, "error", err.Error())
	}
	r.log.Info("cache of an engine read", "endpoint", e.ID, "parts", len(parts))
	c := cachesRead{engine: place.EndpointHash(e.ID)}
	for _, p := range parts {
		c.holders = append(c.holders, place.PartHolder{Part: p, Endpoint: c.engine})
	}
	_ = r.loop.Post(ctx, c)
	select {
	case r.peers.caches <- c:
	case <-ctx.Done():
	}
}
