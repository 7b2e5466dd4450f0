package router

import (
	"cmp"
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
	"github.com/goldcrestturn/goldcrestturn/internal/inbound"
	"github.com/goldcrestturn/goldcrestturn/internal/listener"
	"github.com/goldcrestturn/goldcrestturn/internal/memory"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/origin"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
)

// Router is a router process: the filters, the control loop and its sources.
type Router struct {
	settings Settings
	deps     Deps
	log      *slog.Logger
	client   *origin.Client
	loop     *control.Loop[State, Snapshot]
	peers    *peerLink
	node     *exchange.Node
	gate     *storeGate
	suspects *suspectWriter
	duties   *dutyLink // nil if the deployment has no duties of one router at a time
	meter    *meter
	memory   *memory.Budget
	// slotWakes asks for a slotTick.
	slotWakes chan struct{}
	random    func() float64 // uniform in [0, 1)
	division  inbound.Division
	// membersReady is closed once the list of routers has been read, configReady and
	// listReady after the result of the first read of the operators' orders and of
	// the instance list has been applied, even if the read failed, and
	// holdersReady once the holders of prompt parts are known or the search for
	// them has ended.
	membersReady, holdersReady chan struct{}
	configReady, listReady     *startLatch
	// suspectsReady is closed in the same way after the first read of the refused
	// properties, and crashesReady after that of the crash reports.
	suspectsReady, crashesReady *startLatch
	announceAgain               chan struct{}    // the store may have lost the announcement of this router
	rollouts                    bool             // roll-outs are carried out
	statusWrites                chan rolloutTask // to the goroutine that stores statuses, if it is idle
	membersWanted               chan struct{}    // wakes the goroutine that reads the list of routers
	statusesReady               *startLatch      // closed after the first read of the statuses
}

// exchangeKey distinguishes routers from processes of other programs. It is no
// secret, since the platform gives its processes none to share.
const exchangeKey = "goldcrest-router"

// DatagramConn is the connection over which a router exchanges datagrams with its peers.
// A net.UDPConn is one.
type DatagramConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, sender netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, receiver netip.AddrPort) (int, error)
	Close() error
}

// New returns a router that exchanges datagrams with its peers over the given
// connection. Start starts it.
func New(s Settings, deps Deps, datagrams DatagramConn) *Router {
	r := &Router{settings: s, deps: deps, log: deps.Log, client: origin.NewClient(), random: rand.Float64, slotWakes: make(chan struct{}, 1),
		announceAgain: make(chan struct{}, 1), membersReady: make(chan struct{}), holdersReady: make(chan struct{}), configReady: newStartLatch(), listReady: newStartLatch(), suspectsReady: newStartLatch(), crashesReady: newStartLatch(),
		rollouts: deps.Features.Rollouts && s.Rollouts, statusWrites: make(chan rolloutTask), membersWanted: make(chan struct{}, 1), statusesReady: newStartLatch()}
	r.peers, r.suspects = newPeerLink(r, datagrams), newSuspectWriter(r)
	r.gate, r.meter = newStoreGate(), newMeter()
	r.division = inbound.Divide(cmp.Or(s.MemoryLimit, defaultMemoryMB<<20), cmp.Or(s.MaxFDs, defaultMaxFDs))
	r.memory = memory.NewBudget(r.division.Bodies)
	r.node = exchange.New(exchange.Config{Key: exchangeKey, MaxPeers: int(r.division.Peers.Descriptors), Messages: memory.NewBudget(r.division.PeerMessages), AcceptFailed: func(err error) {
		r.log.Warn("connections of peers cannot be accepted", "error", err.Error())
	}})
	state := newState(s)
	if deps.Features.Admission {
		state.admission = newAdmission(state)
		state.admission.SetEnabled(s.Admission)
	}
	r.duties = newDutyLink(r, state.duties.self.Process)
	r.loop = control.New(control.Config[State, Snapshot]{
		State: state, Stages: r.controlPipeline(), Publish: publish,
	})
	return r
}

// Start starts the control loop and its sources, which run until ctx ends.
func (r *Router) Start(ctx context.Context, g *errgroup.Group) {
	runs := []func(context.Context){
		r.loop.Run, r.followOrders, r.followList, r.followMembers, r.peers.receive, r.peers.send, r.followSettings, r.readCaches, r.suspects.run, r.followCrashReports, r.runRollouts, r.followStatuses, r.storeStatuses,
		r.queryStoreReaders, r.watchEra, r.node.Run, r.meter.run, r.tickSlots, r.serveMetrics,
	}
	if r.duties != nil {
		runs = append(runs, r.duties.follow, r.duties.call, r.sendCounts)
	}
	for _, run := range runs {
		g.Go(func() error { run(ctx); return nil })
	}
}

const (
	// revokeMargin is subtracted from the revocation bound to allow for the time
	// that a request takes to reach its endpoint and for timers that fire late.
	revokeMargin = 700 * time.Millisecond
)

// fresh reports whether the configuration in s was confirmed recently enough to
// accept a key or to answer that a route does not exist.
func (r *Router) fresh(s *Snapshot) bool {
	return !s.Settings.StrictRevoke || boottime.Now()-s.Confirmed < s.Settings.Revoke-revokeMargin
}

// checkKey checks right before a request is sent that its key is still valid. A
// process that was suspended in between may have missed that the key was revoked.
func (r *Router) checkKey(req *Request) *model.Refusal {
	if req.Workspace == nil {
		return nil
	}
	s := r.loop.Snapshot()
	if !r.fresh(s) {
		return refuseStaleKeys()
	}
	if w := s.Catalog.WorkspaceByKey(req.Key); w == nil || w.Name != req.Workspace.Name {
		return model.Refuse(model.ReasonUnauthorised, "the key was taken away")
	}
	return nil
}

// recordResult reports the result of a placed request to the control goroutine.
func (r *Router) recordResult(id model.EndpointID, result place.Result, pendingPart uint64) {
	attemptCounters[result].Inc()
	_ = r.loop.Post(context.Background(), requestEnded{endpoint: id, result: result, pendingPart: pendingPart})
}

// recordNotice reports to the control goroutine what an endpoint stated about itself in
// an answer.
func (r *Router) recordNotice(id model.EndpointID, class ResponseClass) {
	_ = r.loop.Post(context.Background(), loadStated{endpoint: id, load: class.Load, limit: class.Limit})
	turnAway := class.TurnAway
	if !class.NotRun {
		turnAway = 0
	}
	if class.Leaving || turnAway > 0 {
		_ = r.loop.Post(context.Background(), noticeSeen{endpoint: id, leaving: class.Leaving, turnAway: turnAway})
	}
}

// recordTimes reports the times of a complete answer to the control goroutine, if its
// endpoint states how long work takes or a price of requests to other data centres is set:
// other choices do not depend on them.
func (r *Router) recordTimes(id model.EndpointID, times place.AnswerTime) {
	if times.Stated.WorkTime > 0 || r.loop.Snapshot().Settings.Price.Enabled() {
		_ = r.loop.Post(context.Background(), answerTimed{endpoint: id, times: times})
	}
}

// ready reports whether this router should receive new requests.
func (r *Router) ready() bool {
	s := r.loop.Snapshot()
	return s.Catalog != nil && s.Listed && s.Phase == Serving && r.fresh(s)
}

// Run listens on the addresses in s and runs a router until ctx ends.
func Run(ctx context.Context, s Settings, deps Deps) error {
	debug.SetMemoryLimit(int64(inbound.HeapShare * float64(s.MemoryLimit)))
	callers, err := listener.Listen(s.Listen)
	if err != nil {
		return eris.Wrap(err, "router: callers' address cannot be used")
	}
	readiness, err := listener.Listen(s.Ready)
	if err != nil {
		return eris.Wrap(err, "router: readiness address cannot be used")
	}
	address, err := netip.ParseAddrPort(s.Exchange)
	if err != nil {
		return eris.Wrap(err, "router: invalid exchange address")
	}
	datagrams, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return eris.Wrap(err, "router: exchange address cannot be used")
	}
	rpc, err := listener.Listen(s.Exchange)
	if err != nil {
		return eris.Wrap(err, "router: exchange address cannot be used for RPC")
	}
	return New(s, deps, datagrams).Serve(ctx, callers, readiness, rpc)
}
