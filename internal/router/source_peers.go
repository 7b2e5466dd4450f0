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
	// quietInterval is how often a router without requests is heard.
	quietInterval = 400 * time.Millisecond
	// memberInterval is how often a router reads who else is there; a router
	// that starts tells all others, so this only repairs.
	memberInterval = 10 * time.Second
	// announceInterval keeps an announcement within memberLifetime.
	announceInterval = 25 * time.Second
	memberLifetime   = 70 * time.Second
	// tellHolders bounds the prompt parts told to a router that starts.
	tellHolders = 800
)

// peerLink sends to the other routers. Its goroutine owns the addresses.
type peerLink struct {
	r       *Router
	conn    *net.UDPConn
	heard   chan netip.AddrPort
	asked   chan netip.AddrPort // routers that started and ask for the holders
	members chan []netip.AddrPort
	news    chan place.PartHolder
	caches  chan cachesRead
	peers   map[netip.AddrPort]time.Time // when heard or announced last
	self    netip.AddrPort
	told    bool // the others know of requests in flight
	toldAt  time.Time
}

func newPeerLink(r *Router, conn *net.UDPConn) *peerLink {
	self, _ := netip.ParseAddrPort(r.settings.Exchange)
	return &peerLink{r: r, conn: conn, self: self, heard: make(chan netip.AddrPort, 16), asked: make(chan netip.AddrPort, 16),
		members: make(chan []netip.AddrPort, 1), news: make(chan place.PartHolder, 256), caches: make(chan cachesRead), peers: map[netip.AddrPort]time.Time{}}
}

// tellHolder tells the others of a new holder. It is dropped if the queue is
// full; they then read the prompt once more.
func (r *Router) tellHolder(part uint64, endpoint uint32) {
	select {
	case r.peers.news <- place.PartHolder{Part: part, Endpoint: endpoint}:
	default:
	}
}

// receive posts what other routers say until ctx ends.
func (p *peerLink) receive(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	defer stop()
	buf := make([]byte, mesh.MaxLen)
	for ctx.Err() == nil {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil || !control.Pause(ctx, retryPause) {
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
		_ = p.r.loop.Post(ctx, peerHeard{name: m.Name, address: from.String(), loads: m.Loads, holders: m.Holders, leaving: m.Leaving, complete: m.HoldersKnown, read: m.CachesRead})
		queue := p.heard
		if m.WantHolders {
			queue = p.asked
		}
		select {
		case queue <- from:
		default:
		}
	}
}

// send tells the others until ctx ends, then that this router leaves.
func (p *peerLink) send(ctx context.Context) {
	t := time.NewTimer(place.LoadReportInterval(0))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			p.toAll(mesh.Message{Name: p.name(), Leaving: true})
			return
		case from := <-p.heard:
			p.meet(from)
		case from := <-p.asked:
			p.meet(from)
			p.tellAll(ctx, from)
		case list := <-p.members:
			for _, a := range list {
				p.meet(a)
			}
			p.tell(ctx)
		case h := <-p.news:
			p.toAll(mesh.Message{Name: p.name(), Holders: p.gather(h)})
		case c := <-p.caches:
			p.tellCache(c)
		case <-t.C:
			p.tell(ctx)
			t.Reset(place.LoadReportInterval(len(p.peers)))
		}
	}
}

func (p *peerLink) name() string { return string(p.r.settings.Instance) }

// gather adds the news that wait already.
func (p *peerLink) gather(first place.PartHolder) []place.PartHolder {
	list := []place.PartHolder{first}
	for len(list) < mesh.MaxHolders {
		select {
		case h := <-p.news:
			list = append(list, h)
		default:
			return list
		}
	}
	return list
}

// meet notes that a router is there.
func (p *peerLink) meet(a netip.AddrPort) {
	if a != p.self && a.IsValid() {
		p.peers[a] = time.Now()
	}
}

// tellAll tells a router that started all that this one knows.
func (p *peerLink) tellAll(ctx context.Context, a netip.AddrPort) {
	t, err := control.Ask(ctx, p.r.loop, loadsAsked{Question: control.NewQuestion[told](), holders: tellHolders})
	if err != nil {
		return
	}
	for holders := range slices.Chunk(t.holders, mesh.MaxHolders) {
		p.to(a, mesh.Append(nil, mesh.Message{Name: p.name(), Holders: holders}))
	}
	p.to(a, mesh.Append(nil, mesh.Message{Name: p.name(), Loads: t.loads, HoldersKnown: t.complete, CachesRead: t.read}))
}

// tellCache tells the others what an engine holds, and then that it was read.
func (p *peerLink) tellCache(c cachesRead) {
	for holders := range slices.Chunk(c.holders, mesh.MaxHolders) {
		p.toAll(mesh.Message{Name: p.name(), Holders: holders})
	}
	p.toAll(mesh.Message{Name: p.name(), CachesRead: []uint32{c.engine}})
}

// tell sends the requests in flight if they changed or were not told lately.
func (p *peerLink) tell(ctx context.Context) {
	for a, at := range p.peers {
		if time.Since(at) > memberLifetime {
			delete(p.peers, a)
		}
	}
	if len(p.peers) == 0 {
		return
	}
	t, err := control.Ask(ctx, p.r.loop, loadsAsked{Question: control.NewQuestion[told]()})
	if err != nil {
		return
	}
	quiet := len(t.loads) == 0 && !p.told // nothing in flight, as told before
	if quiet && t.complete && time.Since(p.toldAt) < quietInterval {
		return
	}
	p.toAll(mesh.Message{Name: p.name(), Loads: t.loads, WantHolders: !t.complete})
	p.told, p.toldAt = len(t.loads) > 0, time.Now()
}

func (p *peerLink) toAll(m mesh.Message) {
	b := mesh.Append(nil, m)
	for a := range p.peers {
		p.to(a, b)
	}
}

// to sends one datagram. A failure shows as silence at the receiver, which the
// next datagram ends.
func (p *peerLink) to(a netip.AddrPort, b []byte) { _, _ = p.conn.WriteToUDPAddrPort(b, a) }

// followMembers announces this router and reads who else is there.
func (r *Router) followMembers(ctx context.Context) {
	l := &link{r: r, name: "router list"}
	var announced time.Time
	settle := sync.OnceFunc(func() { close(r.membersKnown) })
	for ctx.Err() == nil {
		err := r.exchangeMembers(ctx, &announced)
		if err != nil {
			if !l.failed(ctx, err) {
				return
			}
			continue
		}
		l.ok()
		settle()
		if !control.Pause(ctx, memberInterval) {
			return
		}
	}
}

func (r *Router) exchangeMembers(ctx context.Context, announced *time.Time) error {
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
		if err == nil && time.Since(m.Seen).Abs() < memberLifetime {
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
