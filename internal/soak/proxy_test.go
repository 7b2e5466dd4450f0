package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// fault is what a proxy does to its connections.
type fault int32

const (
	none    fault = iota
	slow          // each piece of data is delayed
	silent        // data is swallowed both ways, connections stay open
	oneWay        // data towards the caller is swallowed
	refused       // open connections are reset, new ones refused
)

const slowDelay = 60 * time.Millisecond

// proxy passes connections on to a target on loopback.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set switches the fault; connections are reset where it says so.
func (p *proxy) set(f fault) {
	p.mode.Store(int32(f))
	if f == refused {
		p.reset()
	}
}

func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if fault(p.mode.Load()) == refused {
			_ = c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[t] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); p.pump(t, c, false) }()
	go func() { defer both.Done(); p.pump(c, t, true) }()
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
}

func (p *proxy) pump(to, from net.Conn, towardsCaller bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch f := fault(p.mode.Load()); {
			case f == slow:
				time.Sleep(slowDelay)
			case f == silent, f == oneWay && towardsCaller:
				continue
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				return
			}
			return
		}
	}
}
