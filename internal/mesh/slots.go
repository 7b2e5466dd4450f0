package mesh

import (
	"encoding/binary"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/slots"
)

const (
	kindDemand = 1 // first byte after the header fields
	kindGrant  = 2

	demandLen  = 13 // bytes: pool, number, applied grant and rejected requests
	grantLen   = 17 // bytes: pool, number, demand, gap, cut, spare credits and queue
	perSlotLen = 5  // bytes: endpoint hash and requests
	levelLen   = 4  // bytes: level, running and waiting
	// maxSlotEndpoints keeps a datagram below the smallest common MTU. Pools with few slots
	// have few endpoints.
	maxSlotEndpoints = 200
)

// Slots is a demand of a router to the home of a pool, or a grant of the home. One of the
// two is set.
type Slots struct {
	Pool   uint32 // hash of its name
	Demand *slots.Demand
	Grant  *slots.Grant
}

// appendSlots appends s to the header fields.
func appendSlots(b []byte, s Slots) []byte {
	if g := s.Grant; g != nil {
		b = append(b, kindGrant)
		b = binary.BigEndian.AppendUint32(b, s.Pool)
		b = binary.BigEndian.AppendUint32(b, g.Number)
		b = binary.BigEndian.AppendUint32(b, g.Demand)
		b = binary.BigEndian.AppendUint16(b, uint16(min(max(g.Gap.Milliseconds(), 0), 1<<16-1)))
		b = append(b, byte(min(max(g.Cut, 0), slots.Levels)), byte(min(max(g.Spare, 0), 255)), byte(min(max(g.Queue, 0), 100)))
		return appendPerEndpoint(b, g.Credits)
	}
	d := s.Demand
	if d == nil {
		d = &slots.Demand{}
	}
	b = append(b, kindDemand)
	b = binary.BigEndian.AppendUint32(b, s.Pool)
	b = binary.BigEndian.AppendUint32(b, d.Number)
	b = binary.BigEndian.AppendUint32(b, d.Applied)
	b = append(b, byte(min(d.Rejected, 255)))
	b = appendPerEndpoint(b, d.Running)
	for l, n := range d.Levels {
		if n == (slots.Level{}) {
			continue
		}
		b = append(b, byte(l), byte(min(n.Running, 255)))
		b = binary.BigEndian.AppendUint16(b, uint16(min(n.Waiting, 1<<16-1)))
	}
	return b
}

// appendPerEndpoint appends numbers of requests by endpoint hash.
func appendPerEndpoint(b []byte, m map[uint32]int) []byte {
	b = append(b, byte(min(len(m), maxSlotEndpoints)))
	left := maxSlotEndpoints
	for e, n := range m {
		if left == 0 {
			break
		}
		left--
		b = binary.BigEndian.AppendUint32(b, e)
		b = append(b, byte(min(max(n, 0), 255)))
	}
	return b
}

// parsePerEndpoint decodes what appendPerEndpoint wrote and returns the rest of b.
func parsePerEndpoint(b []byte) (m map[uint32]int, rest []byte, ok bool) {
	if len(b) == 0 || len(b) < 1+int(b[0])*perSlotLen || int(b[0]) > maxSlotEndpoints {
		return nil, nil, false
	}
	n := int(b[0])
	m, b = make(map[uint32]int, n), b[1:]
	for ; n > 0; n-- {
		m[binary.BigEndian.Uint32(b)] = int(b[4])
		b = b[perSlotLen:]
	}
	return m, b, true
}

// parseSlots decodes the fields that appendSlots wrote into m.
func parseSlots(b []byte, m Message) (Message, error) {
	if len(b) == 0 {
		return Message{}, ErrFormat
	}
	kind, b := b[0], b[1:]
	switch {
	case kind == kindGrant && len(b) >= grantLen:
		return parseGrant(b, m)
	case kind == kindDemand && len(b) >= demandLen:
		return parseSlotDemand(b, m)
	}
	return Message{}, ErrFormat
}

func parseGrant(b []byte, m Message) (Message, error) {
	g := &slots.Grant{Number: binary.BigEndian.Uint32(b[4:]), Demand: binary.BigEndian.Uint32(b[8:]),
		Gap: time.Duration(binary.BigEndian.Uint16(b[12:])) * time.Millisecond, Cut: int(b[14]), Spare: int(b[15]), Queue: int(b[16])}
	credits, rest, ok := parsePerEndpoint(b[grantLen:])
	if !ok || len(rest) > 0 || g.Cut > slots.Levels || g.Queue > 100 {
		return Message{}, ErrFormat
	}
	g.Credits = credits
	m.Slots = &Slots{Pool: binary.BigEndian.Uint32(b), Grant: g}
	return m, nil
}

func parseSlotDemand(b []byte, m Message) (Message, error) {
	d := &slots.Demand{Number: binary.BigEndian.Uint32(b[4:]), Applied: binary.BigEndian.Uint32(b[8:]), Rejected: int(b[12])}
	running, rest, ok := parsePerEndpoint(b[demandLen:])
	if !ok || len(rest)%levelLen != 0 {
		return Message{}, ErrFormat
	}
	d.Running = running
	for ; len(rest) > 0; rest = rest[levelLen:] {
		if rest[0] >= slots.Levels {
			return Message{}, ErrFormat
		}
		d.Levels[rest[0]] = slots.Level{Running: int(rest[1]), Waiting: int(binary.BigEndian.Uint16(rest[2:]))}
	}
	m.Slots = &Slots{Pool: binary.BigEndian.Uint32(b), Demand: d}
	return m, nil
}
