package side

import (
	"context"
	"log/slog"

	"github.com/goldcrestturn/goldcrestturn/internal/claim"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
)

// Deps are the outside parts that a side process talks to.
type Deps struct {
	Log      *slog.Logger
	Logs     logsvc.Log
	List     instances.List
	Endpoint Endpoint
	Notify   Notifier // tells the peers about a planned stop; may be nil
	Without  Without
}

// Notifier tells the peers that this process leaves.
type Notifier interface {
	Leaving(ctx context.Context)
}

// Without turns mechanisms off. Only tests and baselines set it.
type Without struct {
	Barrier     bool // non-idempotent requests run without a claim
	Deduplicate bool // repeats run again
	Drain       bool // a planned stop ends running work at once
	Reconnect   bool // a cut between side and engine is not repaired
	Claims      claim.Switches
}
