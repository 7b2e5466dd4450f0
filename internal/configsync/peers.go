package configsync

import (
	"context"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/member"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// ExchangePeers reaches the entries of the region over the control exchange.
type ExchangePeers struct {
	Node    *exchange.Node
	Self    model.InstanceID
	Address string               // own control address
	Peers   func() *member.Peers // as published by the control loop; may return nil
}

// Addresses implements Peers.
func (p ExchangePeers) Addresses() ([]string, bool) {
	peers := p.Peers()
	if peers == nil {
		return nil, false
	}
	others := make([]model.InstanceID, 0, len(peers.Entries))
	for _, id := range peers.Entries {
		if id != p.Self {
			others = append(others, id)
		}
	}
	return peers.Addresses(others), len(peers.Entries)+len(peers.Sides) > 0
}

// Fetch implements Peers.
func (p ExchangePeers) Fetch(ctx context.Context, address string, req config.FetchRequest) (config.FetchReply, int, error) {
	reply, err := exchange.Call[exchange.FetchReply](ctx, p.Node, address, exchange.MethodFetch, exchange.FromFetchRequest(req, p.Address))
	if err != nil {
		return config.FetchReply{}, 0, err
	}
	m, err := reply.Model(time.Now())
	return m, reply.Size(), err
}

// Service answers the fetches of peers.
type Service struct {
	view         func() config.View
	notifyOffset func(address string, offset int64)
}

// Register makes node answer fetches from the view of s.
func (s *Source) Register(node *exchange.Node) error {
	return node.Register(exchange.ConfigService, &Service{s.opts.View, s.NotifyOffset})
}

// Fetch answers a peer's request. If the peer has a newer configuration, the
// source pulls from it.
func (s *Service) Fetch(a exchange.FetchArgs, reply *exchange.FetchReply) error {
	req, err := a.Model()
	if err != nil {
		return err
	}
	s.notifyOffset(a.Address, req.From)
	*reply, err = exchange.FromFetchReply(s.view().Answer(req), time.Now())
	return err
}
