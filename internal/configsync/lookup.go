package configsync

import (
	"context"

	"golang.org/x/time/rate"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
)

// Limits on lookups of workspaces that are not loaded yet. Callers with unknown
// keys must not use up the control budget of a node that is loading.
const (
	lookupsPerSecond = 20
	lookupBurst      = 20
	lookupPeers      = 2 // peers that are asked for one API key
)

// newLookupLimiter returns the rate limiter of lookups.
func newLookupLimiter() *rate.Limiter { return rate.NewLimiter(lookupsPerSecond, lookupBurst) }

// Lookup asks peers for the workspace of the API key with the given hash and
// puts it in force. It reports whether a peer knows the workspace. Traffic
// goroutines call it only while the configuration is loading.
func (s *Source) Lookup(ctx context.Context, hash string) bool {
	if s.opts.Peers == nil {
		return false
	}
	for range lookupPeers {
		address := s.randomPeer()
		if address == "" || s.lookupLimiter.Wait(ctx) != nil {
			return false
		}
		req := config.FetchRequest{Want: config.WantKey, From: s.opts.View().Accepted.Offset, KeyHash: hash}
		_, reply := s.fetchAndApply(ctx, address, req)
		for _, w := range reply.Page {
			if w.KeyHash == hash {
				return true
			}
		}
	}
	return false
}
