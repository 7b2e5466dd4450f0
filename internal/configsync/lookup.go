package configsync

import (
	"context"

	"golang.org/x/time/rate"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
)

// Bounds on lookups of workspaces that are not loaded yet. Callers with unknown
// keys must not use up the control traffic of a node that is loading.
const (
	lookupsPerSecond = 20
	lookupBurst      = 20
	lookupPeers      = 2
)

// newLookupLimit returns the limiter of lookups.
func newLookupLimit() *rate.Limiter { return rate.NewLimiter(lookupsPerSecond, lookupBurst) }

// Lookup asks peers for the workspace that holds the API key with the given
// hash and puts it in force. It reports whether a peer knows it. Traffic calls
// it only while the configuration is loading.
func (s *Source) Lookup(ctx context.Context, hash string) bool {
	if s.o.Peers == nil {
		return false
	}
	for range lookupPeers {
		address := s.anyPeer()
		if address == "" || s.lookups.Wait(ctx) != nil {
			return false
		}
		req := config.FetchRequest{Want: config.WantKey, From: s.o.View().Accepted.Offset, KeyHash: hash}
		_, reply := s.ask(ctx, address, req)
		for _, w := range reply.Page {
			if w.KeyHash == hash {
				return true
			}
		}
	}
	return false
}
