package router

import (
	"cmp"
	"net/http"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/inbound"
	"github.com/goldcrestturn/goldcrestturn/internal/listener"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// idleTimeout is how long a caller's connection may stay idle while the operators'
	// limit is not known, and the longest limit that is taken over.
	idleTimeout = 5 * time.Minute
	// minLimitTime bounds the operators' limits on times, since a close may cross a request.
	minLimitTime = 100 * time.Millisecond
	// minHeaderBytes bounds the operators' limit on heads, which every request has.
	minHeaderBytes = 1 << 10
	// rateWindow is the time over which the rate of a transfer counts.
	rateWindow = 10 * time.Second
	// callerStall is the time without progress after which an unfinished request is given
	// up if others need what it holds: far above the round-trip time of callers.
	callerStall = time.Second
)

// callerLimits returns the limits on the connections of callers: those of the configuration
// in force, and defaults while there is none.
func (r *Router) callerLimits() inbound.Limits {
	l := inbound.Limits{
		HeaderBytes: maxHeaderBytes, Fields: cmp.Or(r.settings.MaxFields, defaultMaxFields), HeaderTime: readHeaderTimeout, IdleTime: idleTimeout,
		MinRate: r.settings.MinRate, RateWindow: rateWindow,
	}
	c := r.loop.Snapshot().Catalog
	if c == nil {
		return l
	}
	if c.MaxHeader > 0 {
		l.HeaderBytes = min(max(c.MaxHeader, minHeaderBytes), listener.MaxHeaderBytes)
	}
	if c.HeaderTime > 0 {
		l.HeaderTime = max(c.HeaderTime, minLimitTime)
	}
	if c.IdleTimeout > 0 {
		l.IdleTime = min(max(c.IdleTimeout, minLimitTime), idleTimeout)
	}
	return l
}

// callerListener returns the bounds on the connections of callers.
func (r *Router) callerListener() *listener.Listener {
	return listener.New(listener.Config{
		Name: "callers", Quota: r.division.Callers, Limits: r.callerLimits, Stall: callerStall, Outgoing: true, Log: r.log,
		Refusal: func(b inbound.Bound) (int, http.Header) {
			// Callers that were refused together do not come back together.
			wait := memoryRetryAfter + time.Duration(r.random()*float64(memoryRetryAfter))
			return r.deps.Protocol.Refusal(refuseWithRetryAfter(model.ReasonMemory, b.String(), wait))
		},
		Pressed: func() bool { return float64(r.memory.Held()) > listener.PressedShare*float64(r.memory.Size()) },
	})
}
