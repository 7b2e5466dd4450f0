package origin

import (
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// defaultKeep is how long a connection is kept if the endpoint does not say
	// when it closes it.
	defaultKeep = 4 * time.Second
	// keepMargin keeps a request from meeting the endpoint's close.
	keepMargin = 500 * time.Millisecond
	// maxIdlePerEndpoint bounds the idle connections to one endpoint, which
	// shares its connections among all entries.
	maxIdlePerEndpoint = 16
)

// idlePool keeps idle connections by address. One goroutine owns them and takes
// typed commands, so traffic takes no lock.
type idlePool struct {
	commands chan func(map[string][]*conn)
}

func newIdlePool() *idlePool {
	p := &idlePool{commands: make(chan func(map[string][]*conn), 64)}
	go p.run()
	return p
}

func (p *idlePool) run() {
	conns := map[string][]*conn{}
	for do := range p.commands {
		do(conns)
	}
}

// take returns the connection that was used last and is still usable, or nil.
func (p *idlePool) take(address string, maxIdle time.Duration) *conn {
	found := make(chan *conn, 1)
	p.commands <- func(conns map[string][]*conn) {
		list, now := conns[address], time.Now()
		var use *conn
		for len(list) > 0 && use == nil {
			c := list[len(list)-1]
			list = list[:len(list)-1]
			if idle := now.Sub(c.since); idle > maxIdle || idle > c.keep-keepMargin || !c.quiet() {
				_ = c.Close()
				continue
			}
			use = c
		}
		conns[address] = list
		found <- use
	}
	c := <-found
	if c != nil {
		c.reused = true
	}
	return c
}

func (p *idlePool) put(c *conn) {
	p.commands <- func(conns map[string][]*conn) {
		c.since = time.Now()
		list := conns[c.address]
		for len(list) > 0 && (len(list) >= maxIdlePerEndpoint || c.since.Sub(list[0].since) > list[0].keep) {
			_ = list[0].Close()
			list = list[1:]
		}
		conns[c.address] = append(list, c)
	}
}

// drop closes the idle connections to an endpoint that failed.
func (p *idlePool) drop(address string) {
	p.commands <- func(conns map[string][]*conn) {
		for _, c := range conns[address] {
			_ = c.Close()
		}
		delete(conns, address)
	}
}

// quiet reports whether the connection is open with nothing to read. Bytes on
// an idle connection belong to no request.
func (c *conn) quiet() bool {
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

// TCPUserTimeout returns a control function for net.Dialer. It makes the kernel
// end a connection whose peer acknowledges nothing for that long, as one does
// that went silent.
func TCPUserTimeout(after time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after/time.Millisecond))
		})
		if err != nil {
			return err
		}
		return failed
	}
}

// keepTime returns the idle time that an answer grants.
func keepTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return time.Duration(n) * time.Second
			}
		}
	}
	return defaultKeep
}
