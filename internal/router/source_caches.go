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
	// peerReplyWait gives peers that are already running time to send what they
	// know. They answer within a round trip.
	peerReplyWait = 20 * time.Millisecond
	// startPollInterval is how often readCaches checks whether the instance list
	// and the configuration have arrived.
	startPollInterval = 5 * time.Millisecond
	// maxCacheReads is the maximum number of caches that are read concurrently.
	maxCacheReads = 8
)

// readCaches asks the engines which prompt parts they hold unless a peer knows
// that. After all routers have stopped at once, only the engines know, and each
// prompt that is sent to an engine without its parts is prefilled again. The
// announced routers divide the engines among themselves, since listing its cache
// delays an engine's work.
func (r *Router) readCaches(ctx context.Context) {
	defer close(r.holdersReady)
	select {
	case <-r.membersReady:
	case <-ctx.Done():
		return
	}
	if r.settings.FirstStart || !control.Pause(ctx, peerReplyWait) {
		return
	}
	for s := r.loop.Snapshot(); s.Catalog == nil || !s.Listed; s = r.loop.Snapshot() {
		if !control.Pause(ctx, startPollInterval) {
			return
		}
	}
	for begin, first := time.Now(), true; time.Since(begin) < holdersTimeout; first = false {
		reply, err := control.Ask(ctx, r.loop, cachesQuery{Question: control.NewQuestion[cachesReply]()})
		if err != nil || reply.holdersKnown {
			return
		}
		if len(reply.engines) == 0 {
			break
		}
		readers := reply.routers
		if !first { // divide what is left among the live routers
			readers = append(reply.livePeers, r.settings.Instance)
		}
		r.readAssignedCaches(ctx, reply.engines, readers)
		if !control.Pause(ctx, peerReplyWait) {
			return
		}
	}
	_ = r.loop.Post(ctx, holderSearchEnded{})
}

// readAssignedCaches reads the caches of those engines that rendezvous hashing
// assigns to this router.
func (r *Router) readAssignedCaches(ctx context.Context, engines []place.Endpoint, routers []model.InstanceID) {
	var g errgroup.Group
	g.SetLimit(maxCacheReads)
	for _, e := range engines {
		if slices.Contains(summary.Rendezvous(string(e.ID), routers, 1), r.settings.Instance) {
			g.Go(func() error { r.readCache(ctx, e); return nil })
		}
	}
	_ = g.Wait()
}

// readCache reads the cache of one engine and passes its parts to the control
// loop and to the peers. An engine that fails counts as read without parts, so
// that it is not asked again.
func (r *Router) readCache(ctx context.Context, e place.Endpoint) {
	parts, err := r.deps.Caches.CachedParts(ctx, e.Address)
	if err != nil {
		r.log.Warn("cache of an engine cannot be read", "endpoint", e.ID, "error", err.Error())
	} else {
		r.log.Info("cache of an engine read", "endpoint", e.ID, "parts", len(parts))
	}
	c := cacheRead{engine: place.EndpointHash(e.ID)}
	for _, p := range parts {
		c.holders = append(c.holders, place.PartHolder{Part: p, Endpoint: c.engine})
	}
	_ = r.loop.Post(ctx, c)
	select {
	case r.peers.caches <- c:
	case <-ctx.Done():
	}
}
