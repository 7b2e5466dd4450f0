package exchange

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/rotisserie/eris"
)

// Dialer opens a connection to the control address of a peer.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Config describes one node of the exchange.
type Config struct {
	Key    string // shared key of the fleet
	Budget int64  // bytes a second, both directions together
	Dial   Dialer // nil means TCP
}

// Bounds on what a node accepts and waits for.
const (
	// MaxMessageBytes bounds one gob message. The largest regular message is a
	// piece of configuration.
	MaxMessageBytes = 1 << 20
	// maxPeers bounds incoming connections: 370 entries and 850 sides at the
	// target size, some of them twice during a reconnect.
	maxPeers = 2048
	// maxPending bounds the calls of one connection that run at once.
	maxPending   = 16
	helloTimeout = 2 * time.Second
	// writeTimeout cuts off a peer that does not read.
	writeTimeout = 2 * time.Second
	// idleTimeout closes a connection that carries no message. Regular peers
	// talk every 4 s at the least.
	idleTimeout = time.Minute
	// CallTimeout bounds one call. Data centres of one region are milliseconds
	// apart, so a second without a reply means that the peer is gone.
	CallTimeout = time.Second
)

// Node is the exchange of one process: server and client.
type Node struct {
	cfg     Config
	rpc     *rpc.Server
	meter   *Meter
	asks    chan peerRequest
	broken  chan peerBroken
	dialled chan peerDialled
	done    chan struct{}
}

// New returns a node. Run must run for Call to work; Serve accepts peers.
func New(cfg Config) *Node {
	if cfg.Dial == nil {
		d := net.Dialer{Timeout: CallTimeout}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	n := &Node{
		cfg: cfg, rpc: rpc.NewServer(), meter: NewMeter(cfg.Budget),
		asks: make(chan peerRequest), broken: make(chan peerBroken), dialled: make(chan peerDialled),
		done: make(chan struct{}),
	}
	_ = n.rpc.RegisterName(helloService, &greeter{})
	return n
}

// Register adds the methods of receiver under name. The rules of net/rpc hold
// for the methods. Short names save bytes, since each call carries them.
func (n *Node) Register(name string, receiver any) error {
	return eris.Wrapf(n.rpc.RegisterName(name, receiver), "exchange: %s", name)
}

// Meter returns the byte counts and the budget of the node.
func (n *Node) Meter() *Meter { return n.meter }

// Serve accepts peers until ctx ends.
func (n *Node) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	slots := make(chan struct{}, maxPeers)
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "exchange: peers cannot be accepted")
		}
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
	n.rpc.ServeCodec(newServerCodec(&countedConn{Conn: conn, meter: n.meter}, n.cfg.Key))
}

// Call calls method at the peer and waits for its reply, up to CallTimeout.
func (n *Node) Call(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
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
		return eris.Wrapf(call.Error, "exchange: call of %s", method)
	case <-ctx.Done():
		// The reply may still be written by the client's goroutine, so the
		// connection goes and the caller must not read reply.
		n.drop(address, client)
		return eris.Wrapf(ctx.Err(), "exchange: call of %s", method)
	}
}
