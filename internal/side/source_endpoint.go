package side

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
)

// LoadReporter is the part of an engine that reports on itself.
type LoadReporter interface {
	ReadLoad(ctx context.Context) (endpointapi.Load, error)
}

// Times of the reports of the endpoint beside this process.
const (
	endpointReportPeriod  = time.Second
	endpointReportTimeout = time.Second
)

// readReports reads the endpoint's reports until ctx ends. They show a restart
// or a lost cache, at times before the traffic does.
func (p *Side) readReports(ctx context.Context) {
	if p.deps.Reports == nil {
		return
	}
	t := time.NewTicker(endpointReportPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.readReport(ctx)
		}
	}
}

func (p *Side) readReport(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, endpointReportTimeout)
	defer cancel()
	r, err := p.deps.Reports.ReadLoad(limited)
	var op *net.OpError
	switch {
	case err == nil:
		_ = p.loop.Post(ctx, endpointReported{uptime: time.Duration(r.UptimeMS) * time.Millisecond, cacheTokens: r.CacheTokens})
	case errors.As(err, &op) && op.Op == "dial":
		_ = p.loop.Post(ctx, endpointCold{evidence: coldRefused})
	}
}
