package side

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
)

// LoadReporter reads the load report of an engine.
type LoadReporter interface {
	ReadLoad(ctx context.Context) (endpointapi.Load, error)
}

// Interval and timeout of reading the load report of the endpoint.
const (
	endpointReportInterval = time.Second
	endpointReportTimeout  = time.Second
)

// pollEndpoint reads the endpoint's load reports until ctx ends. They show a restart
// or a lost cache, sometimes before the traffic does.
func (p *Side) pollEndpoint(ctx context.Context) {
	if p.deps.Reports == nil {
		return
	}
	t := time.NewTicker(endpointReportInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.readEndpointReport(ctx)
		}
	}
}

func (p *Side) readEndpointReport(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, endpointReportTimeout)
	defer cancel()
	report, err := p.deps.Reports.ReadLoad(readCtx)
	var opErr *net.OpError
	switch {
	case err == nil:
		_ = p.loop.Post(ctx, endpointReported{uptime: time.Duration(report.UptimeMS) * time.Millisecond, cacheTokens: report.CacheTokens})
	case errors.As(err, &opErr) && opErr.Op == "dial":
		_ = p.loop.Post(ctx, endpointCold{evidence: coldRefused})
	}
}
