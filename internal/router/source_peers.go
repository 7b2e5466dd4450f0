package router

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/mesh"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/overlay"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
)

const (
	// idleReportInterval is how often a router without requests in flight sends a
	// load report.
	idleReportInterval = 400 * time.Millisecond
	// memberReadInterval is how often a router reads the list of routers. The read
	// only adds peers that are missing, since a starting router sends to all peers.
	memberReadInterval = 30 * time.Second
	// announceInterval is how often a router renews its announcement, well before
	// memberTTL ends.
	announceInterval = 25 * time.Second
	memberTTL        = 70 * time.Second // validity of an announcement, and of a peer without messages
	// maxHoldersAtStart is the maximum number of holders that are sent to a
	// starting peer.
	maxHoldersAtStart = 800
	// stateSources is the number of peers that a starting router asks for the
	// holders every stateQueryInterval until it knows them. Some of them may have
	// just started too.
	stateSources       = 2
	stateQueryInterval = 100 * time.Millisecond
	// reportSlack allows for timers that fire early relative to the last report.
	reportSlack = 10 * time.Millisecond
	// receiveQueue is the number of received messages that wait for the send
	// goroutine. Each engine whose cache is read after a restart of all routers
	// causes a few messages to relay.
	receiveQueue = 256
)

// peerLink exchanges datagrams with the peers. Its send goroutine owns peers and
// the fields after it.
type peerLink struct {
	r             *Router
	conn          DatagramConn
	received      chan datagram // messages that ask for nothing
	wantHolders   chan datagram // messages of senders that started and ask for the holders
	members       chan []Member
	newHolders    chan place.PartHolder
	messages      chan mesh.Message // other messages to broadcast
	direct        chan directMessage
	caches        chan cacheRead
	peers         *overlay.Peers
	self          netip.AddrPort
	loadsReported bool // the last load report had requests in flight
	reportedAt    time.Time
	demandAt      time.Time // when demand was last reported
}

// directMessage is a message for one peer.
type directMessage struct {
	to      netip.AddrPort
	message mesh.Message
}

// datagram is what the send goroutine needs of a received message.
type datagram struct {
	sender     netip.AddrPort
	dataCentre model.DataCentre
	leaving    bool   // the sender is stopping
	relay      []byte // to be forwarded to the peers in the home data centre; nil if not
}

func newPeerLink(r *Router, conn DatagramConn) *peerLink {
	self, _ := netip.ParseAddrPort(r.settings.Exchange)
	return &peerLink{r: r, conn: conn, self: self, received: make(chan datagram, receiveQueue), wantHolders: make(chan datagram, 16),
		members: make(chan []Member, 1), newHolders: make(chan place.PartHolder, 256), messages: make(chan mesh.Message, 256), direct: make(chan directMessage, 256), caches: make(chan cacheRead), peers: overlay.New(self, r.settings.DataCentre)}
}

// broadcastHolder queues a new holder for broadcast to the peers. If the queue is
// full the holder is dropped, which costs the peers another prefill.
func (r *Router) broadcastHolder(part uint64, endpoint uint32) {
	select {
	case r.peers.newHolders <- place.PartHolder{Part: part, Endpoint: endpoint}:
	default:
	}
}

// broadcast queues a message for the peers. If the queue is full the message is
// dropped: to the peers that looks like a lost datagram.
func (r *Router) broadcast(m mesh.Message) {
	select {
	case r.peers.messages <- m:
	default:
	}
}

// sendToPeer queues a message for one peer, or drops it as broadcast does.
func (r *Router) sendToPeer(to netip.AddrPort, m mesh.Message) {
	select {
	case r.peers.direct <- directMessage{to, m}:
	default:
	}
}

// receive posts the messages of peers to the control loop until ctx ends.
func (p *peerLink) receive(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	defer stop()
	buf := make([]byte, mesh.MaxLen)
	for ctx.Err() == nil {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil || !control.Pause(ctx, minBackoff) {
				return
			}
			continue
		}
		m, err := mesh.Parse(buf[:n])
		if err != nil {
			malformedDatagrams.Inc()
			continue
		}
		if m.Name == string(p.r.settings.Instance) || !m.Address.IsValid() {
			continue
		}
		_ = p.r.loop.Post(ctx, peerMessage{name: m.Name, at: exchangeAddress{m.Address.String(), model.DataCentre(m.DataCentre)}, loads: m.Loads, statedLoads: m.StatedLoads, limits: m.Limits, workTimes: m.WorkTimes, crashes: m.Crashes, sound: m.Sound, holders: m.Holders, leaving: m.Leaving, holdersKnown: m.HoldersKnown, cachesRead: m.CachesRead, demand: m.Demand, slots: m.Slots})
		d, queue := datagram{sender: m.Address, dataCentre: model.DataCentre(m.DataCentre), leaving: m.Leaving}, p.received
		if m.Relay {
			d.relay = mesh.Relayed(buf[:n])
		}
		if m.WantHolders {
			queue = p.wantHolders
		}
		select {
		case queue <- d:
		default:
		}
	}
}

// send sends load reports and holders to the peers until ctx ends, and then a
// leaving notice.
func (p *peerLink) send(ctx context.Context) {
	t := time.NewTimer(place.LoadReportInterval(0))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			p.broadcast(mesh.Message{Leaving: true})
			return
		case d := <-p.received:
			p.acceptDatagram(d)
		case d := <-p.wantHolders:
			p.acceptDatagram(d)
			p.sendState(ctx, d.sender)
		case list := <-p.members:
			for _, m := range list {
				if a, err := netip.ParseAddrPort(m.Address); err == nil {
					p.peers.Announced(time.Now(), a, m.DataCentre)
				}
			}
			p.broadcastLoads(ctx)
		case h := <-p.newHolders:
			p.broadcast(mesh.Message{Holders: p.batchHolders(h)})
		case m := <-p.messages:
			for part := range m.Split() {
				p.broadcast(part)
			}
		case d := <-p.direct:
			p.sendTo(d.to, p.encode(d.message))
		case c := <-p.caches:
			p.broadcastCache(c)
		case <-t.C:
			t.Reset(p.broadcastLoads(ctx))
		}
	}
}

// batchHolders returns first and the holders that are already queued, up to the
// limit of one datagram.
func (p *peerLink) batchHolders(first place.PartHolder) []place.PartHolder {
	list := []place.PartHolder{first}
	for len(list) < mesh.MaxHolders {
		select {
		case h := <-p.newHolders:
			list = append(list, h)
		default:
			return list
		}
	}
	return list
}

// acceptDatagram records the sender of a received message and forwards the message if
// this router is its relay.
func (p *peerLink) acceptDatagram(d datagram) {
	if d.leaving {
		p.peers.Left(d.sender)
	} else {
		p.peers.Heard(time.Now(), d.sender, d.dataCentre)
	}
	if d.relay == nil {
		return
	}
	for _, a := range p.peers.Local(d.sender) {
		p.sendTo(a, d.relay)
	}
}

// sendState sends to a starting peer the known holders, maxHoldersAtStart at most,
// and the requests that this router has in flight.
func (p *peerLink) sendState(ctx context.Context, a netip.AddrPort) {
	report, err := control.Ask(ctx, p.r.loop, peerReportQuery{Question: control.NewQuestion[peerReport](), maxHolders: maxHoldersAtStart})
	if err != nil {
		return
	}
	for holders := range slices.Chunk(report.holders, mesh.MaxHolders) {
		p.sendTo(a, p.encode(mesh.Message{Holders: holders}))
	}
	if len(report.crashes) > 0 {
		for part := range (mesh.Message{Crashes: report.crashes}).Split() {
			p.sendTo(a, p.encode(part))
		}
	}
	if len(report.limits) > 0 {
		p.sendTo(a, p.encode(mesh.Message{Limits: report.limits}))
	}
	p.sendTo(a, p.encode(mesh.Message{Loads: report.loads, HoldersKnown: report.holdersKnown, CachesRead: report.cachesRead}))
}

// broadcastCache broadcasts the prompt parts that an engine holds, and then that
// its cache has been read.
func (p *peerLink) broadcastCache(c cacheRead) {
	for holders := range slices.Chunk(c.holders, mesh.MaxHolders) {
		p.broadcast(mesh.Message{Holders: holders})
	}
	p.broadcast(mesh.Message{CachesRead: []uint32{c.engine}})
}

// broadcastLoads drops expired peers, broadcasts a load report and returns the time
// until the next one. A router that has reported that it has no requests in flight
// repeats the report only every idleReportInterval. A router that does not know the
// holders also asks a few peers for them.
func (p *peerLink) broadcastLoads(ctx context.Context) (next time.Duration) {
	now := time.Now()
	p.peers.Expire(now, memberTTL)
	next = place.LoadReportInterval(p.peers.Len())
	if p.peers.Len() == 0 {
		return next
	}
	report, err := control.Ask(ctx, p.r.loop, peerReportQuery{Question: control.NewQuestion[peerReport]()})
	if err != nil {
		return next
	}
	if !report.holdersKnown {
		b := p.encode(mesh.Message{WantHolders: true})
		for _, a := range p.peers.Sources(now, stateSources, rand.IntN) {
			p.sendTo(a, b)
		}
		next = min(next, stateQueryInterval)
	}
	idle := len(report.loads) == 0 && !p.loadsReported // nothing in flight, as reported before
	interval := place.LoadReportInterval(p.peers.Len())
	if idle {
		interval = max(interval, idleReportInterval)
	}
	if now.Sub(p.reportedAt) < interval-reportSlack {
		return next
	}
	p.broadcast(mesh.Message{Loads: report.loads, Demand: p.demand(ctx, now)})
	p.loadsReported, p.reportedAt = len(report.loads) > 0, now
	return next
}

// encode returns m as a datagram of this router.
func (p *peerLink) encode(m mesh.Message) []byte {
	m.Name, m.DataCentre, m.Address = string(p.r.settings.Instance), string(p.r.settings.DataCentre), p.self
	return mesh.Append(nil, m)
}

// broadcast sends m to all peers, through relays to those in other data centres.
func (p *peerLink) broadcast(m mesh.Message) {
	b := p.encode(m)
	for _, a := range p.peers.Local(p.self) {
		p.sendTo(a, b)
	}
	m.Relay = true
	b = p.encode(m)
	for _, a := range p.peers.Relays(time.Now(), rand.IntN) {
		p.sendTo(a, b)
	}
}

// sendTo sends one datagram. Errors are ignored: to the receiver a failure looks
// like a lost datagram, which the next one makes up for.
func (p *peerLink) sendTo(a netip.AddrPort, b []byte) { _, _ = p.conn.WriteToUDPAddrPort(b, a) }

// followMembers announces this router and reads the list of routers until ctx
// ends.
func (r *Router) followMembers(ctx context.Context) {
	dep := &dependency{r: r, name: "router list"}
	var announced time.Time
	interval := memberReadInterval
	ready := sync.OnceFunc(func() { close(r.membersReady) })
	for ctx.Err() == nil {
		err := r.syncMembers(ctx, &announced)
		if err != nil {
			if !dep.failed(ctx, err) {
				return
			}
			continue
		}
		dep.succeeded()
		ready()
		if !r.awaitMemberRead(ctx, &announced, &interval) {
			return
		}
	}
}

// syncMembers renews the announcement of this router if it is due, reads the list
// of routers and passes those whose announcements have not expired to the control
// loop and to the peerLink.
func (r *Router) syncMembers(ctx context.Context, announced *time.Time) error {
	if now := time.Now(); announced.IsZero() || now.Sub(*announced) > announceInterval {
		if err := r.deps.Store.Announce(ctx, Member{Instance: r.settings.Instance, DataCentre: r.settings.DataCentre, Address: r.settings.Exchange, Seen: now}); err != nil {
			return err
		}
		*announced = now
	}
	list, err := r.deps.Store.Members(ctx)
	if err != nil {
		return err
	}
	list = slices.DeleteFunc(list, func(m Member) bool {
		_, err := netip.ParseAddrPort(m.Address)
		return err != nil || time.Since(m.Seen).Abs() >= memberTTL
	})
	_ = r.loop.Post(ctx, membersRead{list})
	select {
	case r.peers.members <- list:
	case <-ctx.Done():
	}
	return nil
}
