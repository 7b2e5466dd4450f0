package router

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/mesh"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
)

const (
	// idleReportInterval is how often a router without requests in flight sends a
	// load report.
	idleReportInterval = 400 * time.Millisecond
	// memberReadInterval is how often a router reads the list of routers. The read
	// only adds peers that are missing, since a starting router sends to all peers.
	memberReadInterval = 10 * time.Second
	// announceInterval is how often a router renews its announcement, well before
	// memberTTL ends.
	announceInterval = 25 * time.Second
	memberTTL        = 70 * time.Second // validity of an announcement, and of a peer without messages
	// maxHoldersAtStart is the maximum number of holders that are sent to a
	// starting peer.
	maxHoldersAtStart = 800
)

// peerLink exchanges datagrams with the peers. Its send goroutine owns peers and
// the fields after it.
type peerLink struct {
	r             *Router
	conn          *net.UDPConn
	received      chan netip.AddrPort // senders of messages that ask for nothing
	wantHolders   chan netip.AddrPort // senders that started and ask for the holders
	members       chan []netip.AddrPort
	newHolders    chan place.PartHolder
	caches        chan cacheRead
	peers         map[netip.AddrPort]time.Time // time of the last message or announcement
	self          netip.AddrPort
	loadsReported bool // the last load report had requests in flight
	reportedAt    time.Time
}

func newPeerLink(r *Router, conn *net.UDPConn) *peerLink {
	self, _ := netip.ParseAddrPort(r.settings.Exchange)
	return &peerLink{r: r, conn: conn, self: self, received: make(chan netip.AddrPort, 16), wantHolders: make(chan netip.AddrPort, 16),
		members: make(chan []netip.AddrPort, 1), newHolders: make(chan place.PartHolder, 256), caches: make(chan cacheRead), peers: map[netip.AddrPort]time.Time{}}
}

// broadcastHolder queues a new holder for broadcast to the peers. If the queue is
// full the holder is dropped, which costs the peers another prefill.
func (r *Router) broadcastHolder(part uint64, endpoint uint32) {
	select {
	case r.peers.newHolders <- place.PartHolder{Part: part, Endpoint: endpoint}:
	default:
	}
}

// receive posts the messages of peers to the control loop until ctx ends.
func (p *peerLink) receive(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	defer stop()
	buf := make([]byte, mesh.MaxLen)
	for ctx.Err() == nil {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
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
		if m.Name == string(p.r.settings.Instance) {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		_ = p.r.loop.Post(ctx, peerMessage{name: m.Name, address: from.String(), loads: m.Loads, holders: m.Holders, leaving: m.Leaving, holdersKnown: m.HoldersKnown, cachesRead: m.CachesRead})
		queue := p.received
		if m.WantHolders {
			queue = p.wantHolders
		}
		select {
		case queue <- from:
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
			p.broadcast(mesh.Message{Name: p.name(), Leaving: true})
			return
		case from := <-p.received:
			p.addPeer(from)
		case from := <-p.wantHolders:
			p.addPeer(from)
			p.sendState(ctx, from)
		case list := <-p.members:
			for _, a := range list {
				p.addPeer(a)
			}
			p.broadcastLoads(ctx)
		case h := <-p.newHolders:
			p.broadcast(mesh.Message{Name: p.name(), Holders: p.batchHolders(h)})
		case c := <-p.caches:
			p.broadcastCache(c)
		case <-t.C:
			p.broadcastLoads(ctx)
			t.Reset(place.LoadReportInterval(len(p.peers)))
		}
	}
}

func (p *peerLink) name() string { return string(p.r.settings.Instance) }

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

// addPeer adds a peer or renews it.
func (p *peerLink) addPeer(a netip.AddrPort) {
	if a != p.self && a.IsValid() {
		p.peers[a] = time.Now()
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
		p.sendTo(a, mesh.Append(nil, mesh.Message{Name: p.name(), Holders: holders}))
	}
	p.sendTo(a, mesh.Append(nil, mesh.Message{Name: p.name(), Loads: report.loads, HoldersKnown: report.holdersKnown, CachesRead: report.cachesRead}))
}

// broadcastCache broadcasts the prompt parts that an engine holds, and then that
// its cache has been read.
func (p *peerLink) broadcastCache(c cacheRead) {
	for holders := range slices.Chunk(c.holders, mesh.MaxHolders) {
		p.broadcast(mesh.Message{Name: p.name(), Holders: holders})
	}
	p.broadcast(mesh.Message{Name: p.name(), CachesRead: []uint32{c.engine}})
}

// broadcastLoads drops expired peers and broadcasts a load report. A router that
// has reported that it has no requests in flight, and that knows the holders,
// repeats the report only every idleReportInterval.
func (p *peerLink) broadcastLoads(ctx context.Context) {
	for a, at := range p.peers {
		if time.Since(at) > memberTTL {
			delete(p.peers, a)
		}
	}
	if len(p.peers) == 0 {
		return
	}
	report, err := control.Ask(ctx, p.r.loop, peerReportQuery{Question: control.NewQuestion[peerReport]()})
	if err != nil {
		return
	}
	idle := len(report.loads) == 0 && !p.loadsReported // nothing in flight, as reported before
	if idle && report.holdersKnown && time.Since(p.reportedAt) < idleReportInterval {
		return
	}
	p.broadcast(mesh.Message{Name: p.name(), Loads: report.loads, WantHolders: !report.holdersKnown})
	p.loadsReported, p.reportedAt = len(report.loads) > 0, time.Now()
}

// broadcast sends m to all peers.
func (p *peerLink) broadcast(m mesh.Message) {
	b := mesh.Append(nil, m)
	for a := range p.peers {
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
		if !control.Pause(ctx, memberReadInterval) {
			return
		}
	}
}

// syncMembers renews the announcement of this router if it is due, reads the list
// of routers and passes those whose announcements have not expired to the control
// loop and to the peerLink.
func (r *Router) syncMembers(ctx context.Context, announced *time.Time) error {
	if now := time.Now(); announced.IsZero() || now.Sub(*announced) > announceInterval {
		if err := r.deps.Store.Announce(ctx, Member{Instance: r.settings.Instance, Address: r.settings.Exchange, Seen: now}); err != nil {
			return err
		}
		*announced = now
	}
	list, err := r.deps.Store.Members(ctx)
	if err != nil {
		return err
	}
	var names []model.InstanceID
	var addresses []netip.AddrPort
	for _, m := range list {
		a, err := netip.ParseAddrPort(m.Address)
		if err == nil && time.Since(m.Seen).Abs() < memberTTL {
			addresses = append(addresses, a)
			names = append(names, m.Instance)
		}
	}
	_ = r.loop.Post(ctx, membersRead{names})
	select {
	case r.peers.members <- addresses:
	case <-ctx.Done():
	}
	return nil
}
