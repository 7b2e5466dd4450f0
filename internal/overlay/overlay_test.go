package overlay

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

var start = time.Unix(1_700_000_000, 0)

// address returns the address of the i-th router of a data centre.
func address(dc, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(dc), byte(i >> 8), byte(i)}), 7340)
}

func dataCentre(dc int) model.DataCentre { return model.DataCentre(fmt.Sprint("dc-", dc)) }

// fleet returns the peer sets of dataCentres x perDC routers that all know each
// other.
func fleet(dataCentres, perDC int) map[netip.AddrPort]*Peers {
	out := map[netip.AddrPort]*Peers{}
	for dc := range dataCentres {
		for i := range perDC {
			p := New(address(dc, i), dataCentre(dc))
			for other := range dataCentres {
				for j := range perDC {
					p.Heard(start, address(other, j), dataCentre(other))
				}
			}
			out[address(dc, i)] = p
		}
	}
	return out
}

// deliver counts the copies of a message that reach each router, and those that
// cross between data centres.
func deliver(f map[netip.AddrPort]*Peers, from netip.AddrPort, pick func(int) int) (copies map[netip.AddrPort]int, crossed int) {
	copies = map[netip.AddrPort]int{}
	for _, a := range f[from].Local(from) {
		copies[a]++
	}
	for _, relay := range f[from].Relays(start, pick) {
		copies[relay]++
		crossed++
		for _, a := range f[relay].Local(from) {
			copies[a]++
		}
	}
	return copies, crossed
}

// Guards against routers that miss a message or get it twice, and against bytes
// between data centres that grow with the number of routers: each of 100 routers
// sent each new cache holder to 80 routers in other data centres.
func TestMessagesReachEachRouterOnce(t *testing.T) {
	is := is.New(t)
	pick := rand.New(rand.NewPCG(1, 1)).IntN
	for _, perDC := range []int{1, 2, 20, 74} {
		f := fleet(5, perDC)
		copies, crossed := deliver(f, address(2, 0), pick)
		is.Equal(len(copies), 5*perDC-1)
		for _, n := range copies {
			is.Equal(n, 1)
		}
		is.Equal(crossed, 4)
	}
}

// Guards against messages that are lost for a data centre because their relay was
// killed or is cut off, as after the loss of most routers.
func TestRelaysArePreferablyLive(t *testing.T) {
	is := is.New(t)
	p := New(address(0, 0), dataCentre(0))
	for i := range 20 {
		p.Heard(start, address(1, i), dataCentre(1))
	}
	now := start.Add(2 * liveTime)
	p.Heard(now, address(1, 7), dataCentre(1))
	p.Announced(now, address(1, 8), dataCentre(1)) // a router that is announced may have ended since
	pick := rand.New(rand.NewPCG(1, 1)).IntN
	for range 50 {
		is.Equal(p.Relays(now, pick), []netip.AddrPort{address(1, 7)})
	}
	p.Expire(now.Add(liveTime), liveTime+1)
	is.Equal(p.Len(), 2)
	p.Left(address(1, 7))
	is.Equal(p.Relays(now, pick), []netip.AddrPort{address(1, 8)}) // the other one sent a leaving notice
}

// Guards against a starting router that asks all its peers for their state: 102
// replies of 10 KB take half a second on a link of 20 Mbit/s.
func TestStartingRouterAsksAFewPeers(t *testing.T) {
	is := is.New(t)
	f := fleet(5, 20)
	pick := rand.New(rand.NewPCG(1, 1)).IntN
	sources := f[address(0, 0)].Sources(start, 2, pick)
	is.Equal(len(sources), 2)
	for _, a := range sources {
		is.Equal(a.Addr().As4()[1], byte(0)) // in its own data centre
	}
	alone := fleet(5, 1)
	is.Equal(len(alone[address(0, 0)].Sources(start, 2, pick)), 2) // none is in its own
	is.Equal(len(New(address(0, 0), "dc-0").Sources(start, 2, pick)), 0)
}

// Guards against memory that fills with the senders of forged datagrams, and against
// forged ones that drive known peers out.
func TestPeersAreBounded(t *testing.T) {
	is := is.New(t)
	p := New(address(0, 0), dataCentre(0))
	known := address(0, 1)
	p.Heard(start, known, dataCentre(0))
	for i := range 3 * maxPeers {
		p.Heard(start, address(7, i), dataCentre(7))
	}
	is.Equal(p.Len(), maxPeers)
	p.Heard(start.Add(liveTime), known, dataCentre(0))
	p.Expire(start.Add(liveTime), liveTime-1)
	is.Equal(p.Local(address(0, 0)), []netip.AddrPort{known})
}
