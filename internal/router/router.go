package router

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/boottime"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/origin"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
)

// Router is one router process.
type Router struct {
	settings Settings
	deps     Deps
	log      *slog.Logger
	client   *origin.Client
	loop     *control.Loop[State, Snapshot]
	peers    *peerLink
	node     *exchange.Node
	gate     *gate
	meter    *meter
	draw     func() float64 // uniform in [0, 1)
	// membersKnown is closed once the other routers are known, configured once the
	// orders were read or could not be, settled once the holders of prompt parts
	// are known.
	membersKnown, configured, settled chan struct{}
}

// exchangeKey keeps processes of other programs from being taken for routers.
// The platform gives its processes no secret to share.
const exchangeKey = "goldcrest-router"

// New returns a router that talks to the others over exchange. Start starts it.
func New(s Settings, deps Deps, datagrams *net.UDPConn) *Router {
	r := &Router{settings: s, deps: deps, log: deps.Log, client: origin.NewClient(), draw: rand.Float64,
		membersKnown: make(chan struct{}), configured: make(chan struct{}), settled: make(chan struct{})}
	r.peers = newPeerLink(r, datagrams)
	r.gate, r.meter = newGate(), newMeter()
	r.node = exchange.New(exchange.Config{Key: exchangeKey})
	r.loop = control.New(control.Config[State, Snapshot]{
		State: newState(s), Stages: r.controlPipeline(), Publish: publish,
	})
	return r
}

// Start starts the control loop and its sources. They end with ctx.
func (r *Router) Start(ctx context.Context, g *errgroup.Group) {
	for _, run := range []func(context.Context){
		r.loop.Run, r.followOrders, r.followList, r.followMembers, r.peers.receive, r.peers.send, r.followSettings, r.readCaches,
		r.shareStore, r.node.Run, r.meter.run, r.serveMetrics,
	} {
		g.Go(func() error { run(ctx); return nil })
	}
}

const (
	// keysMargin is the part of the revocation bound that is kept for a request
	// on its way to an endpoint and for timers that fire late.
	keysMargin = 700 * time.Millisecond
)

// fresh reports whether the configuration in the snapshot was confirmed lately
// enough for a key, or the lack of a route, to count.
func (r *Router) fresh(s *Snapshot) bool {
	return !s.Settings.StrictRevoke || boottime.Now()-s.Confirmed < s.Settings.Revoke-keysMargin
}

// permitted checks right before a request leaves that its key still counts. A
// process that was suspended meanwhile may have missed that it was taken away.
func (r *Router) permitted(req *Request) *model.Refusal {
	if req.Workspace == nil {
		return nil
	}
	s := r.loop.Snapshot()
	if !r.fresh(s) {
		return staleKeys()
	}
	if w := s.Catalog.WorkspaceByKey(req.Key); w == nil || w.Name != req.Workspace.Name {
		return model.Refuse(model.ReasonUnauthorised, "the key was taken away")
	}
	return nil
}

// ended tells the control goroutine how a placed request ended.
func (r *Router) ended(id model.EndpointID, result place.Result, unread uint64) {
	attemptResults[result].Inc()
	_ = r.loop.Post(context.Background(), requestEnded{endpoint: id, result: result, unread: unread})
}

// ready reports whether new callers should come to this router.
func (r *Router) ready() bool {
	s := r.loop.Snapshot()
	return s.Catalog != nil && s.Listed && s.Phase == Serving && r.fresh(s)
}

// Run runs the router of the given settings until ctx ends.
func Run(ctx context.Context, s Settings, deps Deps) error {
	debug.SetMemoryLimit(s.MemoryLimit / 2)
	callers, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return eris.Wrap(err, "router: callers' address cannot be used")
	}
	check, err := net.Listen("tcp", s.Ready)
	if err != nil {
		return eris.Wrap(err, "router: readiness address cannot be used")
	}
	address, err := netip.ParseAddrPort(s.Exchange)
	if err != nil {
		return eris.Wrap(err, "router: exchange address")
	}
	datagrams, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return eris.Wrap(err, "router: exchange address cannot be used")
	}
	calls, err := net.Listen("tcp", s.Exchange)
	if err != nil {
		return eris.Wrap(err, "router: exchange address cannot be used for calls")
	}
	return New(s, deps, datagrams).Serve(ctx, callers, check, calls)
}
