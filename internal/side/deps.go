package side

import (
	"log/slog"

	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
)

// Deps are the outside parts that a side process talks to.
type Deps struct {
	Log      *slog.Logger
	Logs     logsvc.Log
	List     instances.List
	Endpoint Endpoint
	Orders   Orders          // of the endpoint; nil if it takes none
	KV       KVStore         // of the endpoint; nil if it has no prefix cache
	Dial     exchange.Dialer // to control addresses; nil means TCP
	Jitter   func() float64  // uniform in [0, 1); nil means math/rand
}
