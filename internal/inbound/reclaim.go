package inbound

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Phase is what a connection does.
type Phase int32

// The phases of a connection.
const (
	Opening   Phase = iota // no byte of the first request has arrived
	Reading                // a head is being read
	Receiving              // a request is in progress whose body is being read
	Serving                // a request is in progress that has been read
	Idle                   // between two requests
	Ending                 // the process has given it up
)

// View is what is known of a connection when connections have to be given up.
type View struct {
	Address netip.Addr
	Phase   Phase
	Unread  bool          // the caller does not take the response
	Slow    bool          // a transfer far below the rate of callers inside the limits
	Still   time.Duration // since it last sent or took a byte, or changed its phase
	Held    int64         // bytes
}

// Classes of connections, in the order in which they are given up.
const (
	stalled      = iota // an unfinished request or an unread response, without progress or slow
	unused              // nothing was ever sent
	idleOver            // idle, of an address above its share
	progressOver        // an unfinished request of an address above its share
	idle
	kept
)

// classify returns the class of a connection. stall is the time without progress after
// which a connection counts as stalled.
func classify(v View, over bool, stall time.Duration) int {
	unfinished := v.Phase == Reading || v.Phase == Receiving || v.Phase == Serving && v.Unread
	switch {
	case v.Phase == Ending:
		return kept
	case unfinished && (v.Slow || v.Still >= stall):
		return stalled
	case unfinished && over && !v.Unread:
		return progressOver
	case v.Still < stall:
		return kept
	case v.Phase == Opening:
		return unused
	case v.Phase == Idle && over:
		return idleOver
	case v.Phase == Idle:
		return idle
	}
	return kept
}

// Reclaim returns the connections to give up, by their indices and in this order, until
// they hold the wanted number of connections and of bytes, or there are no more that may
// be given up. A request that has been read is never given up unless its caller does not
// take the response.
//
// An address is above its share if it holds more than what is held divided by the number
// of addresses. A share is thus no limit: with one address, such as that of a load
// balancer, nobody is above it.
func Reclaim(views []View, connections int, bytes int64, stall time.Duration) []int {
	held, total := map[netip.Addr]int64{}, int64(0)
	for _, v := range views {
		held[v.Address] += v.Held
		total += v.Held
	}
	share := total / int64(max(1, len(held)))
	type candidate struct{ index, class int }
	var candidates []candidate
	for i, v := range views {
		if c := classify(v, held[v.Address] > share, stall); c != kept {
			candidates = append(candidates, candidate{i, c})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		va, vb := views[a.index], views[b.index]
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(held[vb.Address], held[va.Address]), cmp.Compare(vb.Still, va.Still))
	})
	var out []int
	for _, c := range candidates {
		if connections <= 0 && bytes <= 0 {
			break
		}
		out = append(out, c.index)
		connections--
		bytes -= views[c.index].Held
	}
	return out
}

// Pace follows the transfer of one connection while the process waits for its caller. The
// zero value has seen nothing.
type Pace struct {
	waited time.Duration // within the present window
	moved  int64
}

// Observe adds an interval in which the process waited for the caller, or did not, and in
// which moved bytes were transferred. It reports whether the caller is too slow.
func (p *Pace) Observe(waiting bool, interval time.Duration, moved int64, l Limits) bool {
	if !waiting {
		*p = Pace{}
		return false
	}
	p.waited += interval
	p.moved += moved
	if p.waited < l.RateWindow {
		return false
	}
	slow := float64(p.moved) < float64(l.MinRate)*p.waited.Seconds()
	*p = Pace{}
	return slow
}

// Below reports whether the process has waited for the caller for at least the given time,
// and it transferred less than rate bytes a second.
func (p *Pace) Below(rate int64, waited time.Duration) bool {
	return p.waited >= waited && float64(p.moved) < float64(rate)*p.waited.Seconds()
}
