package origin

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// defaultKeepAlive is the maximum idle time of a connection if the endpoint sends
	// no Keep-Alive timeout.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is subtracted from the Keep-Alive timeout, so that a request
	// is not sent while the endpoint closes the connection.
	keepAliveMargin = 500 * time.Millisecond
	// maxIdlePerEndpoint bounds the idle connections of a router to one endpoint, which has
	// to share its connections among all routers.
	maxIdlePerEndpoint = 16
	// maxKeepAlive bounds the idle time that endpoints may allow. Requests reuse no
	// connection that has been idle for longer.
	maxKeepAlive = 10 * time.Second
	// sweepInterval is how often connections that have been idle for too long are closed.
	// Nothing else closes those to an endpoint that gets no more requests.
	sweepInterval = time.Second
)

// idlePool keeps idle connections by address. One goroutine owns them and runs the
// queued commands, so traffic needs no lock.
type idlePool struct {
	commands       chan func(map[string][]*conn)
	maxPerEndpoint int
}

func newIdlePool(maxPerEndpoint int) *idlePool {
	p := &idlePool{commands: make(chan func(map[string][]*conn), 64), maxPerEndpoint: maxPerEndpoint}
	go p.run()
	return p
}

func (p *idlePool) run() {
	conns := map[string][]*conn{}
	sweep := time.NewTimer(sweepInterval)
	swept := true // no sweep is due while there is no connection
	sweep.Stop()
	for {
		select {
		case do := <-p.commands:
			do(conns)
		case <-sweep.C:
			closeExpired(conns, time.Now())
			swept = true
		}
		if swept && len(conns) > 0 {
			sweep.Reset(sweepInterval)
			swept = false
		}
	}
}

// closeExpired closes the connections that have been idle for longer than their endpoints
// allow.
func closeExpired(conns map[string][]*conn, now time.Time) {
	for address, list := range conns {
		list = slices.DeleteFunc(list, func(c *conn) bool {
			expired := now.Sub(c.idleSince) > c.keepAlive
			if expired {
				_ = c.Close()
			}
			return expired
		})
		if conns[address] = list; len(list) == 0 {
			delete(conns, address)
		}
	}
}

// get returns the most recently used connection to address that is usable, has been
// idle for at most maxIdle and is not one of avoid, or nil if there is none. It closes
// the connections that it finds unusable.
func (p *idlePool) get(address string, maxIdle time.Duration, avoid []uint64) *conn {
	found := make(chan *conn, 1)
	p.commands <- func(conns map[string][]*conn) {
		list, now := conns[address], time.Now()
		var use *conn
		for i := len(list) - 1; i >= 0 && use == nil; i-- {
			c := list[i]
			if slices.Contains(avoid, c.number) {
				continue
			}
			list = slices.Delete(list, i, i+1)
			if idle := now.Sub(c.idleSince); idle > maxIdle || idle > c.keepAlive-keepAliveMargin || !c.usable() {
				_ = c.Close()
				continue
			}
			use = c
		}
		if conns[address] = list; len(list) == 0 {
			delete(conns, address)
		}
		found <- use
	}
	c := <-found
	if c != nil {
		c.reused = true
	}
	return c
}

// put adds a connection and closes the oldest ones that have expired or exceed the
// limit.
func (p *idlePool) put(c *conn) {
	p.commands <- func(conns map[string][]*conn) {
		c.idleSince = time.Now()
		list := conns[c.address]
		for len(list) > 0 && (len(list) >= p.maxPerEndpoint || c.idleSince.Sub(list[0].idleSince) > list[0].keepAlive) {
			_ = list[0].Close()
			list = list[1:]
		}
		conns[c.address] = append(list, c)
	}
}

// closeAll closes all idle connections to an endpoint that failed.
func (p *idlePool) closeAll(address string) {
	p.commands <- func(conns map[string][]*conn) {
		for _, c := range conns[address] {
			_ = c.Close()
		}
		delete(conns, address)
	}
}

// usable reports whether the connection is open and has nothing to read. Bytes that
// arrive on an idle connection belong to no request.
func (c *conn) usable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = e == unix.EAGAIN
		return true
	})
	return err == nil && open
}

// keepAliveTimeout returns the timeout in the Keep-Alive header of an answer, or
// defaultKeepAlive.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return min(time.Duration(n)*time.Second, maxKeepAlive)
			}
		}
	}
	return defaultKeepAlive
}
