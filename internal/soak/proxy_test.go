package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/origin"
)

// fault is a fault that a proxy injects into its connections.
type fault int32

const (
	faultNone      fault = iota
	faultDelay           // the data of each read is delayed
	faultBlackhole       // data is dropped in both directions, connections stay open
	faultOneWay          // data from the target is dropped
	faultRefuse          // open connections are reset, new ones closed
)

const delayPerRead = 60 * time.Millisecond

// proxy forwards TCP connections to a target on the loopback interface.
type proxy struct {
	listener net.Listener
	target   string
	fault    atomic.Int32
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

// setFault sets the fault. faultRefuse also resets the open connections.
func (p *proxy) setFault(f fault) {
	p.fault.Store(int32(f))
	if f == faultRefuse {
		p.reset()
	}
}

// reset closes all connections with a TCP reset.
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
		if fault(p.fault.Load()) == faultRefuse {
			_ = c.Close()
			continue
		}
		go p.serve(c)
	}
}

// serve connects to the target and forwards data in both directions until both
// connections are closed.
func (p *proxy) serve(client net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[target] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); p.forward(target, client, false) }()
	go func() { defer both.Done(); p.forward(client, target, true) }()
	both.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, target)
	p.mu.Unlock()
}

// forward copies data from one connection to the other with the current fault,
// and closes both at the end, with a reset if they did not end in order.
func (p *proxy) forward(to, from net.Conn, toClient bool) {
	closeBoth := func() {
		_ = from.Close()
		_ = to.Close()
	}
	reset := func() {
		_ = to.(*net.TCPConn).SetLinger(0)
		_ = from.(*net.TCPConn).SetLinger(0)
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch f := fault(p.fault.Load()); {
			case f == faultDelay:
				time.Sleep(delayPerRead)
			case f == faultBlackhole, f == faultOneWay && toClient:
				continue
			}
			if _, err := to.Write(buf[:n]); err != nil {
				if !errors.Is(err, net.ErrClosed) {
					reset()
					if !toClient {
						return // the other direction passes on what the target has sent, and then closes both
					}
				}
				closeBoth()
				return
			}
		}
		if err != nil {
			if !errors.Is(err, net.ErrClosed) && !(errors.Is(err, io.EOF) && origin.EndedInOrder(from)) {
				reset()
			}
			closeBoth()
			return
		}
	}
}
