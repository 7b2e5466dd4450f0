package exchange

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// PipeNet is a network of in-memory connections for tests and measurements. A
// dial is refused while the listener is closed, and gets no answer during a
// partition.
type PipeNet struct {
	listeners map[string]*pipeListener
	// Partitioned reports whether a partition separates two addresses; nil means
	// none. Existing connections drop data only if Delay is set.
	Partitioned func(from, to string) bool
	// Delay returns the one-way delay; nil means none.
	Delay func(from, to string) time.Duration
}

// NewPipeNet returns a network with a listener for each address.
func NewPipeNet(addresses ...string) *PipeNet {
	p := &PipeNet{listeners: map[string]*pipeListener{}}
	for _, a := range addresses {
		p.listeners[a] = &pipeListener{address: a, conns: make(chan net.Conn), closed: make(chan struct{})}
	}
	return p
}

// Listen returns the listener of an address.
func (p *PipeNet) Listen(address string) net.Listener { return p.listeners[address] }

// Dialer returns the dialer of the node at from.
func (p *PipeNet) Dialer(from string) Dialer {
	return func(ctx context.Context, to string) (net.Conn, error) {
		l := p.listeners[to]
		if p.Partitioned != nil && p.Partitioned(from, to) {
			<-ctx.Done() // nothing answers during a partition
			return nil, eris.Wrap(ctx.Err(), "exchange: dial")
		}
		if l == nil {
			return nil, &net.OpError{Op: "dial", Net: "pipe", Err: syscall.ECONNREFUSED}
		}
		near, far := p.pair(from, to)
		select {
		case l.conns <- far:
			return near, nil
		case <-l.closed:
			near.Close()
			far.Close()
			return nil, &net.OpError{Op: "dial", Net: "pipe", Err: syscall.ECONNREFUSED}
		case <-ctx.Done():
			near.Close()
			far.Close()
			return nil, eris.Wrap(ctx.Err(), "exchange: dial")
		}
	}
}

func (p *PipeNet) pair(from, to string) (near, far net.Conn) {
	near, far = net.Pipe()
	if p.Delay == nil {
		return near, far
	}
	partitioned := func() bool { return p.Partitioned != nil && (p.Partitioned(from, to) || p.Partitioned(to, from)) }
	return newDelayedConn(near, p.Delay(from, to), partitioned), newDelayedConn(far, p.Delay(to, from), partitioned)
}

type pipeListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.address) }

type pipeAddr string

func (pipeAddr) Network() string  { return "pipe" }
func (a pipeAddr) String() string { return string(a) }
