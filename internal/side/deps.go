package side

import (
	"log/slog"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/claim"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
)

// Deps holds the external dependencies of a side.
type Deps struct {
	Log            *slog.Logger
	Logs           logsvc.Log
	List           instances.List
	Endpoint       Endpoint
	Engine         EngineController // of the endpoint; nil if it takes no orders
	Reports        LoadReporter     // of the endpoint; nil if it does not report its load
	KVFetchTimeout time.Duration    // bound on fetching the cache of a chat; 0 means defaultFetchTimeout
	KV             KVStore          // of the endpoint; nil if it has no prefix cache
	Dial           exchange.Dialer  // to control addresses; nil means TCP
	Jitter         func() float64   // uniform in [0, 1); nil means math/rand
	Disabled       Disabled
}

// Disabled names the mechanisms to turn off. Only tests and baselines set it.
type Disabled struct {
	Barrier     bool // non-idempotent requests run without a claim
	Deduplicate bool // duplicate requests run again
	Drain       bool // a planned stop skips the drain
	Reconnect   bool // a lost connection between side and engine interrupts the answer
	Claims      claim.Disabled
}
