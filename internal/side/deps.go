package side

import (
	"log/slog"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/claim"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
)

// Deps are the outside parts that a side process talks to.
type Deps struct {
	Log            *slog.Logger
	Logs           logsvc.Log
	List           instances.List
	Endpoint       Endpoint
	Engine         EngineController // of the endpoint; nil if it takes none
	Reports        LoadReporter     // of the endpoint; nil if it makes none
	KVFetchTimeout time.Duration    // longest wait for a copy of a chat's cache; 0 means fetchTimeout
	KV             KVStore          // of the endpoint; nil if it has no prefix cache
	Dial           exchange.Dialer  // to control addresses; nil means TCP
	Jitter         func() float64   // uniform in [0, 1); nil means math/rand
	Disabled       Disabled
}

// Disabled turns mechanisms off. Only tests and baselines set it.
type Disabled struct {
	Barrier     bool // non-idempotent requests run without a claim
	Deduplicate bool // repeats run again
	Drain       bool // a planned stop ends running work at once
	Reconnect   bool // a cut between side and engine is not repaired
	Claims      claim.Disabled
}
