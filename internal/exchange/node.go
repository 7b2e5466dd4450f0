package exchange

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/memory"
)

// Dialer opens a connection to the control address of a peer.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Config holds the settings of a node.
type Config struct {
	Key    string // shared key of the fleet
	Budget int64  // bytes a second, both directions together
	// MaxPeers bounds incoming connections; 0 means maxPeers.
	MaxPeers int
	// Messages bounds the messages from peers that are held at the same time; nil means no
	// bound.
	Messages *memory.Budget
	Dial     Dialer // nil means TCP
	// AcceptFailed is called with each error of the listener that Serve passes over; nil
	// means nothing is done.
	AcceptFailed func(error)
}

// Limits and timeouts of a node.
const (
	// MaxMessageBytes bounds one gob message. The largest regular message is a
	// piece of configuration.
	MaxMessageBytes = 1 << 20
	// maxHelloBytes bounds a message of a peer that has not shown the key, so that many
	// of them do not hold much.
	maxHelloBytes = 4 << 10
	// maxPeers bounds incoming connections. At the target size there are 370
	// entries and 850 sides, some of which have two during a reconnect.
	maxPeers = 2048
	// maxPending bounds the concurrent calls of one connection.
	maxPending   = 16
	helloTimeout = 2 * time.Second
	// writeTimeout disconnects a peer that does not read.
	writeTimeout = 2 * time.Second
	// idleTimeout closes a connection without messages. Regular peers send one
	// at least every 4 s.
	idleTimeout = time.Minute
	// CallTimeout bounds one call. The data centres of a region are milliseconds
	// apart, so a second without a reply means that the peer is down.
	CallTimeout = time.Second
	// minAcceptBackoff is the wait after a failed accept, which doubles with each further
	// one up to maxAcceptBackoff.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
)

// Node is the server and the client of the control exchange in one process.
type Node struct {
	cfg      Config
	rpc      *rpc.Server
	meter    *Meter
	requests chan peerRequest
	broken   chan brokenConn
	dialled  chan dialResult
	done     chan struct{}
}

// New returns a node. Call works only while Run runs; Serve accepts the
// connections of peers.
func New(cfg Config) *Node {
	if cfg.Dial == nil {
		d := net.Dialer{Timeout: CallTimeout}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	if cfg.MaxPeers == 0 {
		cfg.MaxPeers = maxPeers
	}
	if cfg.AcceptFailed == nil {
		cfg.AcceptFailed = func(error) {}
	}
	n := &Node{
		cfg: cfg, rpc: rpc.NewServer(), meter: NewMeter(cfg.Budget),
		requests: make(chan peerRequest), broken: make(chan brokenConn), dialled: make(chan dialResult),
		done: make(chan struct{}),
	}
	_ = n.rpc.RegisterName(helloService, &helloServer{})
	return n
}

// Register publishes the methods of receiver, which must meet the conditions of
// net/rpc, under name. A short name saves bytes, since each call carries it.
func (n *Node) Register(name string, receiver any) error {
	return eris.Wrapf(n.rpc.RegisterName(name, receiver), "exchange: %s", name)
}

// Meter returns the meter of the node's connections.
func (n *Node) Meter() *Meter { return n.meter }

// Serve accepts connections from peers until ctx ends or l is closed. Other errors of l,
// as when the process has no descriptor left, may pass, so it tries again.
func (n *Node) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	slots := make(chan struct{}, n.cfg.MaxPeers)
	backoff := minAcceptBackoff
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return eris.Wrap(err, "exchange: connections cannot be accepted")
		}
		if err != nil {
			n.cfg.AcceptFailed(err)
			control.Pause(ctx, backoff)
			backoff = min(2*backoff, maxAcceptBackoff)
			continue
		}
		backoff = minAcceptBackoff
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				n.serveConn(ctx, conn)
			}()
		default:
			conn.Close()
		}
	}
}

func (n *Node) serveConn(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	codec := newServerCodec(&countedConn{Conn: conn, meter: n.meter}, n.cfg.Key)
	if n.cfg.Messages != nil {
		codec.in.memory = n.cfg.Messages.NewAccount()
	}
	n.rpc.ServeCodec(codec)
}

// Call calls method at the peer and returns its reply, for which it waits up to
// CallTimeout.
func Call[R any](ctx context.Context, n *Node, address, method string, args any) (R, error) {
	return CallWithin[R](ctx, n, CallTimeout, address, method, args)
}

// CallWithin is Call with another bound, for replies that take long to transfer. A call
// that fails returns the zero R: the client's goroutine may still decode a reply that
// arrives after the timeout, so nobody else may hold it.
func CallWithin[R any](ctx context.Context, n *Node, timeout time.Duration, address, method string, args any) (R, error) {
	reply := new(R)
	if err := n.call(ctx, timeout, address, method, args, reply); err != nil {
		var none R
		return none, err
	}
	return *reply, nil
}

// call calls method at the peer. If it fails, reply must not be read.
func (n *Node) call(ctx context.Context, timeout time.Duration, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client, err := n.client(ctx, address)
	if err != nil {
		return err
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if _, remote := call.Error.(rpc.ServerError); call.Error != nil && !remote {
			n.drop(address, client)
		}
		return eris.Wrapf(call.Error, "exchange: call %s", method)
	case <-ctx.Done():
		n.drop(address, client) // a later reply would be decoded for nothing
		return eris.Wrapf(ctx.Err(), "exchange: call %s", method)
	}
}
