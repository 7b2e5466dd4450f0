package entry

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/inbound"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/socket"
)

// Deps holds the external dependencies of an entry.
type Deps struct {
	Log       *slog.Logger
	Logs      logsvc.Log
	List      instances.List
	Transport http.RoundTripper // to the sides
	Dial      exchange.Dialer   // to control addresses; nil means TCP
	Jitter    func() float64    // uniform in [0, 1); nil means math/rand
	Disabled  Disabled
}

// Disabled names the mechanisms to turn off. Only tests and baselines set it.
type Disabled struct {
	FrameCheck bool // frames pass unchecked and interrupted answers are not resumed
	Void       bool // an unknown outcome is reported as not run
	Drain      bool // a planned stop skips the drain
}

// dialTimeout bounds the wait for a connection to a side. Data centres of one
// region are milliseconds apart.
const dialTimeout = time.Second

// NewTransport returns the transport for requests to the sides.
func NewTransport() http.RoundTripper {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, Control: socket.Control(socket.ReceiveBuffer(inbound.EndpointBuffer))}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     time.Minute,
	}
}
