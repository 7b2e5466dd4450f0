package router

import (
	"net"
	"time"
)

const (
	// idleTimeout is the idle time that the HTTP server sets on callers' connections. It
	// is longer than all other read deadlines, by which idleConn recognises it, and holds
	// while the operators' limit is not known.
	idleTimeout = 5 * time.Minute
	// minIdleTimeout bounds the operators' limit, since a close may cross a request.
	minIdleTimeout = 100 * time.Millisecond
)

// idleListener accepts connections whose idle time is bounded by limit.
type idleListener struct {
	net.Listener
	limit func() time.Duration
}

func (l idleListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return idleConn{c, l.limit}, nil
}

// idleConn replaces the idle time of the HTTP server, which is fixed when the server
// starts, by the limit in force when the connection becomes idle.
type idleConn struct {
	net.Conn
	limit func() time.Duration
}

func (c idleConn) SetReadDeadline(t time.Time) error {
	if now := time.Now(); t.Sub(now) > idleTimeout/2 {
		t = now.Add(c.limit())
	}
	return c.Conn.SetReadDeadline(t)
}

// idleLimit returns how long a caller's connection may stay idle.
func (r *Router) idleLimit() time.Duration {
	if c := r.loop.Snapshot().Catalog; c != nil && c.IdleTimeout > 0 {
		return min(max(c.IdleTimeout, minIdleTimeout), idleTimeout)
	}
	return idleTimeout
}
