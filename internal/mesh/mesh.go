// Package mesh encodes the datagrams in which routers report to their peers their
// requests in flight, which endpoints hold which prompt parts, what endpoints stated
// about their load and their limits, crashes of endpoints, and the use of slots. A prompt part is a prefix
// of a prompt that requests share. Datagrams are not acknowledged, since the next one
// makes up for one that is lost.
package mesh

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/admission"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
)

const (
	magic         = 0x67 // first byte
	formatVersion = 2    // second byte
	// causesVersion takes the place of formatVersion in messages with crashes or sound
	// properties, which follow the header fields in place of all others. Routers of
	// versions that do not know them drop these messages.
	causesVersion = 3
	// slotsVersion does the same in messages about the slots of a pool.
	slotsVersion = 4

	flagLoads        = 1 << 0 // the loads are reported; they are all that the sender has in flight
	flagLeaving      = 1 << 1
	flagHoldersKnown = 1 << 2
	flagWantHolders  = 1 << 3
	flagRelay        = 1 << 4
	flagStatedLoads  = 1 << 5 // the loads are those that endpoints stated, without flagLoads
	flagLimits       = 1 << 6 // the loads are limits in limitUnit, without the other two
	flagWorkTimes    = 1 << 7 // without flagLoads: the loads are work times in percent
	flagDemand       = 1 << 7 // with flagLoads: demand follows the holders

	flagsOffset  = 2
	headerLen    = 3  // bytes: magic, version and flags
	loadLen      = 6  // bytes: endpoint hash and requests in flight
	holderLen    = 12 // bytes: prompt part and endpoint hash
	cacheReadLen = 4  // bytes: endpoint hash
	crashLen     = 14 // bytes: property, endpoint hash and age
	soundLen     = 8  // bytes: property
	// MaxCrashes and maxSound keep a datagram with crashes below the smallest common
	// MTU, as MaxHolders does.
	MaxCrashes = 48
	maxSound   = 48
	// ageUnit is the unit of the age of a crash, up to 65535 units.
	ageUnit       = 10 * time.Millisecond
	maxCachesRead = 100
	// limitUnit is the unit of limits in requests a second. 0 stands for no limit.
	limitUnit = 0.05
	maxLoads  = 2000
	// MaxHolders is the maximum number of holders in a datagram. It keeps a datagram
	// that carries them below the smallest common MTU.
	MaxHolders = 80
	// MaxLen is the maximum length of a datagram in bytes.
	MaxLen = 1 << 14
)

// ErrFormat is returned for a datagram that is not a message of this package.
var ErrFormat = eris.New("mesh: malformed datagram")

// Message is the content of a datagram.
type Message struct {
	Name       string // of the sender, at most 255 bytes
	DataCentre string // of the sender, at most 255 bytes
	// Address is the sender's. It is part of the message because a relayed datagram
	// comes from the relay.
	Address netip.AddrPort
	Relay   bool           // the receiver is to forward the message within its data centre
	Loads   map[uint32]int // requests in flight by endpoint hash; nil if not reported
	// StatedLoads are loads that endpoints stated in answers to the sender, by endpoint
	// hash. A message with Loads carries none.
	StatedLoads map[uint32]int
	// Limits are the requests a second that endpoints take from all routers, as they
	// stated in answers to the sender, by endpoint hash; negative if they state none any
	// more. They are sent in units of 0.05, 3276 at most. A message with Loads or
	// StatedLoads carries none.
	Limits map[uint32]float64
	// WorkTimes are the work times that endpoints stated in answers to the sender, relative
	// to the usual ones, by endpoint hash. They are sent in percent. A message with Loads,
	// StatedLoads or Limits carries none.
	WorkTimes map[uint32]float64
	Holders   []place.PartHolder
	Leaving   bool // the sender is stopping
	// HoldersKnown says that the sender knows the holders from before its start, so
	// that the receiver need not ask the engines.
	HoldersKnown bool
	WantHolders  bool     // the sender has just started and asks for the holders
	CachesRead   []uint32 // engines whose caches the sender has read since its start
	// Crashes and Sound are the crashes of endpoints with the properties of requests
	// that were met at them, and properties of requests that were answered. A message
	// with either carries no loads, holders or caches.
	Crashes []Crash
	Sound   []uint64
	// Demand is the demand for loaded pools at the sender, MaxDemand pools at most. Only a
	// message with Loads carries it.
	Demand []admission.Report
	// Slots is about the slots of a pool. A message with it carries nothing else.
	Slots *Slots
}

// Crash is a crash of an endpoint at which a request with a property was met.
type Crash struct {
	Key      uint64        // of the property
	Endpoint uint32        // hash of its id
	Age      time.Duration // in units of 10 ms, 655 s at most
}

// hasCauses reports whether m is encoded with causesVersion.
func (m Message) hasCauses() bool { return len(m.Crashes)+len(m.Sound) > 0 }

// Append appends the encoded message to b. It omits loads, holders and engines that
// exceed the limits of a datagram.
func Append(b []byte, m Message) []byte {
	flags := byte(0)
	loads := m.Loads
	switch {
	case m.Loads != nil:
		flags |= flagLoads
	case m.StatedLoads != nil:
		flags |= flagStatedLoads
		loads = m.StatedLoads
	case m.Limits != nil:
		flags |= flagLimits
		loads = limitUnits(m.Limits)
	case m.WorkTimes != nil:
		flags |= flagWorkTimes
		loads = percents(m.WorkTimes)
	}
	if m.Leaving {
		flags |= flagLeaving
	}
	if m.HoldersKnown {
		flags |= flagHoldersKnown
	}
	if m.WantHolders {
		flags |= flagWantHolders
	}
	if m.Relay {
		flags |= flagRelay
	}
	hasDemand := len(m.Demand) > 0 && m.Loads != nil && !m.hasCauses()
	if hasDemand {
		flags |= flagDemand
	}
	version := byte(formatVersion)
	switch {
	case m.Slots != nil:
		version = slotsVersion
	case m.hasCauses():
		version = causesVersion
	}
	b = append(b, magic, version, flags)
	address, _ := m.Address.MarshalBinary() // never fails
	for _, field := range []string{m.Name, m.DataCentre, string(address)} {
		field = field[:min(len(field), 255)]
		b = append(b, byte(len(field)))
		b = append(b, field...)
	}
	if m.Slots != nil {
		return appendSlots(b, *m.Slots)
	}
	if m.hasCauses() {
		return appendCauses(b, m)
	}
	b = binary.BigEndian.AppendUint16(b, uint16(min(len(loads), maxLoads)))
	n := 0
	for h, count := range loads {
		if n == maxLoads {
			break
		}
		n++
		b = binary.BigEndian.AppendUint32(b, h)
		b = binary.BigEndian.AppendUint16(b, uint16(min(max(count, 0), 1<<16-1)))
	}
	holders := m.Holders[:min(len(m.Holders), MaxHolders)]
	b = binary.BigEndian.AppendUint16(b, uint16(len(holders)))
	for _, h := range holders {
		b = binary.BigEndian.AppendUint64(b, h.Part)
		b = binary.BigEndian.AppendUint32(b, h.Endpoint)
	}
	if hasDemand {
		b = appendDemand(b, m.Demand)
	}
	for _, engine := range m.CachesRead[:min(len(m.CachesRead), maxCachesRead)] {
		b = binary.BigEndian.AppendUint32(b, engine)
	}
	return b
}

// limitUnits returns limits in units of limitUnit, at least one each.
func limitUnits(limits map[uint32]float64) map[uint32]int {
	out := make(map[uint32]int, len(limits))
	for h, l := range limits {
		if l < 0 {
			out[h] = 0
			continue
		}
		out[h] = int(min(max(1, l/limitUnit+0.5), 1<<16-1))
	}
	return out
}

// limitsOf returns the limits for numbers of limitUnit.
func limitsOf(units map[uint32]int) map[uint32]float64 {
	out := make(map[uint32]float64, len(units))
	for h, n := range units {
		if n == 0 {
			out[h] = -1
			continue
		}
		out[h] = float64(n) * limitUnit
	}
	return out
}

// percents returns work times in percent, at least one each.
func percents(workTimes map[uint32]float64) map[uint32]int {
	out := make(map[uint32]int, len(workTimes))
	for h, w := range workTimes {
		out[h] = int(min(max(1, 100*w+0.5), 1<<16-1))
	}
	return out
}

// Relayed returns the datagram b as its relay forwards it: receivers do not forward
// it again. b must have been parsed without an error.
func Relayed(b []byte) []byte {
	out := bytes.Clone(b)
	out[flagsOffset] &^= flagRelay
	return out
}

// Parse decodes a datagram.
func Parse(b []byte) (Message, error) {
	var m Message
	if len(b) < headerLen || b[0] != magic || b[1] < formatVersion || b[1] > slotsVersion {
		return m, ErrFormat
	}
	version, flags := b[1], b[flagsOffset]
	b = b[headerLen:]
	var fields [3][]byte
	for i := range fields {
		if len(b) == 0 || len(b) < 1+int(b[0]) {
			return m, ErrFormat
		}
		fields[i], b = b[1:1+int(b[0])], b[1+int(b[0]):]
	}
	if m.Address.UnmarshalBinary(fields[2]) != nil || len(b) < 2 {
		return Message{}, ErrFormat
	}
	m.Name, m.DataCentre = string(fields[0]), string(fields[1])
	m.Leaving, m.Relay = flags&flagLeaving != 0, flags&flagRelay != 0
	m.HoldersKnown, m.WantHolders = flags&flagHoldersKnown != 0, flags&flagWantHolders != 0
	switch version {
	case causesVersion:
		return parseCauses(b, m)
	case slotsVersion:
		return parseSlots(b, m)
	}
	n := int(binary.BigEndian.Uint16(b))
	b = b[2:]
	if len(b) < n*loadLen+2 || n > maxLoads {
		return m, ErrFormat
	}
	loads := make(map[uint32]int, n)
	for ; n > 0; n-- {
		loads[binary.BigEndian.Uint32(b)] = int(binary.BigEndian.Uint16(b[4:]))
		b = b[loadLen:]
	}
	switch {
	case flags&flagLoads != 0:
		m.Loads = loads
	case flags&flagStatedLoads != 0:
		m.StatedLoads = loads
	case flags&flagLimits != 0:
		m.Limits = limitsOf(loads)
	case flags&flagWorkTimes != 0:
		m.WorkTimes = make(map[uint32]float64, len(loads))
		for h, n := range loads {
			m.WorkTimes[h] = float64(n) / 100
		}
	}
	n = int(binary.BigEndian.Uint16(b))
	b = b[2:]
	if len(b) < n*holderLen || (len(b)-n*holderLen)%cacheReadLen != 0 {
		return m, ErrFormat
	}
	for ; n > 0; n-- {
		m.Holders = append(m.Holders, place.PartHolder{Part: binary.BigEndian.Uint64(b), Endpoint: binary.BigEndian.Uint32(b[8:])})
		b = b[holderLen:]
	}
	if flags&flagLoads != 0 && flags&flagDemand != 0 {
		var err error
		if m.Demand, b, err = parseDemand(b); err != nil {
			return Message{}, err
		}
	}
	for ; len(b) > 0; b = b[cacheReadLen:] {
		m.CachesRead = append(m.CachesRead, binary.BigEndian.Uint32(b))
	}
	return m, nil
}
