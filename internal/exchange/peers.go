package exchange

import (
	"context"
	"net/rpc"
	"time"

	"github.com/rotisserie/eris"
)

// ErrStopped is returned by Call after Run has ended.
var ErrStopped = eris.New("exchange: node has stopped")

type (
	peerRequest struct {
		address string
		reply   chan peerResult
	}
	peerResult struct {
		client *rpc.Client
		err    error
	}
	brokenConn struct {
		address string
		client  *rpc.Client
	}
	dialResult struct {
		address string
		peerResult
	}
)

// peer is the connection to one address and the calls that wait until it is
// established.
type peer struct {
	client   *rpc.Client
	waiters  []chan peerResult
	lastUsed time.Time
}

// Run owns the connections to the peers until ctx ends.
func (n *Node) Run(ctx context.Context) {
	defer close(n.done)
	peers := map[string]*peer{}
	defer func() {
		for _, p := range peers {
			p.close()
		}
	}()
	idleCheck := time.NewTicker(idleTimeout / 2)
	defer idleCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-n.requests:
			n.handleRequest(ctx, peers, r)
		case d := <-n.dialled:
			peers[d.address].finishDial(d.peerResult)
			if d.err != nil {
				delete(peers, d.address)
			}
		case b := <-n.broken:
			if p := peers[b.address]; p != nil && p.client == b.client {
				p.close()
				delete(peers, b.address)
			}
		case now := <-idleCheck.C:
			for address, p := range peers {
				if p.client != nil && now.Sub(p.lastUsed) > idleTimeout/2 {
					p.close()
					delete(peers, address)
				}
			}
		}
	}
}

func (n *Node) handleRequest(ctx context.Context, peers map[string]*peer, r peerRequest) {
	p := peers[r.address]
	if p == nil {
		p = &peer{}
		peers[r.address] = p
		go n.dial(ctx, r.address)
	}
	p.lastUsed = time.Now()
	if p.client != nil {
		r.reply <- peerResult{client: p.client}
		return
	}
	p.waiters = append(p.waiters, r.reply)
}

// finishDial passes the result of the dial to the calls that wait for it.
func (p *peer) finishDial(r peerResult) {
	p.client = r.client
	for _, w := range p.waiters {
		w <- r
	}
	p.waiters = nil
}

func (p *peer) close() {
	if p.client != nil {
		p.client.Close()
	}
}

// dial connects to a peer and makes the hello call.
func (n *Node) dial(ctx context.Context, address string) {
	d := dialResult{address: address}
	d.client, d.err = n.connect(ctx, address)
	select {
	case n.dialled <- d:
	case <-n.done:
		if d.client != nil {
			d.client.Close()
		}
	}
}

func (n *Node) connect(ctx context.Context, address string) (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	conn, err := n.cfg.Dial(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(err, "exchange: peer %s cannot be reached", address)
	}
	client := rpc.NewClientWithCodec(newClientCodec(&countedConn{Conn: conn, meter: n.meter}))
	call := client.Go(helloMethod, Hello{Key: n.cfg.Key}, &HelloReply{}, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		client.Close()
		return nil, eris.Wrapf(err, "exchange: hello call to peer %s failed", address)
	}
	return client, nil
}

// client returns the connection to address, which it opens if there is none.
func (n *Node) client(ctx context.Context, address string) (*rpc.Client, error) {
	r := peerRequest{address: address, reply: make(chan peerResult, 1)}
	select {
	case n.requests <- r:
	case <-n.done:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "exchange: connection is not established")
	}
	select {
	case result := <-r.reply:
		return result.client, result.err
	case <-n.done:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "exchange: connection is not established")
	}
}

// drop closes a broken connection, so that the next call opens another one.
func (n *Node) drop(address string, client *rpc.Client) {
	select {
	case n.broken <- brokenConn{address, client}:
	case <-n.done:
	}
}
