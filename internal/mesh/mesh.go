// Package mesh encodes the datagrams in which routers tell each other their
// requests in flight and which endpoints hold which prompt parts. A datagram
// that is lost is made good by the next one, so nothing is acknowledged.
package mesh

import (
	"encoding/binary"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/place"
)

const (
	magic = 0x67 // first byte
	form  = 1    // version of the format, second byte

	flagLoads    = 1 << 0 // the loads are all that the sender has in flight
	flagLeaving  = 1 << 1
	flagComplete = 1 << 2
	flagAsk      = 1 << 3

	headLen   = 4
	loadLen   = 6
	holderLen = 12
	readLen   = 4
	maxRead   = 100
	maxLoads  = 2000
	// MaxHolders keeps a datagram below the smallest common packet size.
	MaxHolders = 80
	// MaxLen bounds a datagram in bytes.
	MaxLen = 1 << 14
)

// ErrFormat means that a datagram is no message of this package.
var ErrFormat = eris.New("mesh: malformed datagram")

// Message is one datagram.
type Message struct {
	Name    string         // of the sender, at most 255 bytes
	Loads   map[uint32]int // requests in flight by endpoint hash; nil if not told
	Holders []place.PartHolder
	Leaving bool // the sender stops
	// HoldersKnown says that the sender knows the holders of before its start, so
	// that a receiver need not ask the engines.
	HoldersKnown bool
	WantHolders  bool     // the sender started lately and asks for the holders
	CachesRead   []uint32 // engines whose caches the sender read since its start
}

// Append appends the encoded message to b. Loads and holders beyond the bounds
// of a datagram are left out.
func Append(b []byte, m Message) []byte {
	flags := byte(0)
	if m.Loads != nil {
		flags |= flagLoads
	}
	if m.Leaving {
		flags |= flagLeaving
	}
	if m.HoldersKnown {
		flags |= flagComplete
	}
	if m.WantHolders {
		flags |= flagAsk
	}
	name := m.Name[:min(len(m.Name), 255)]
	b = append(b, magic, form, flags, byte(len(name)))
	b = append(b, name...)
	b = binary.BigEndian.AppendUint16(b, uint16(min(len(m.Loads), maxLoads)))
	n := 0
	for h, count := range m.Loads {
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
	for _, engine := range m.CachesRead[:min(len(m.CachesRead), maxRead)] {
		b = binary.BigEndian.AppendUint32(b, engine)
	}
	return b
}

// Parse decodes a datagram.
func Parse(b []byte) (Message, error) {
	var m Message
	if len(b) < headLen || b[0] != magic || b[1] != form {
		return m, ErrFormat
	}
	flags, nameLen := b[2], int(b[3])
	b = b[headLen:]
	if len(b) < nameLen+2 {
		return m, ErrFormat
	}
	m.Name, m.Leaving = string(b[:nameLen]), flags&flagLeaving != 0
	m.HoldersKnown, m.WantHolders = flags&flagComplete != 0, flags&flagAsk != 0
	n := int(binary.BigEndian.Uint16(b[nameLen:]))
	b = b[nameLen+2:]
	if len(b) < n*loadLen+2 || n > maxLoads {
		return m, ErrFormat
	}
	if flags&flagLoads != 0 {
		m.Loads = make(map[uint32]int, n)
	}
	for ; n > 0; n-- {
		if m.Loads != nil {
			m.Loads[binary.BigEndian.Uint32(b)] = int(binary.BigEndian.Uint16(b[4:]))
		}
		b = b[loadLen:]
	}
	n = int(binary.BigEndian.Uint16(b))
	b = b[2:]
	if len(b) < n*holderLen || (len(b)-n*holderLen)%readLen != 0 {
		return m, ErrFormat
	}
	for ; n > 0; n-- {
		m.Holders = append(m.Holders, place.PartHolder{Part: binary.BigEndian.Uint64(b), Endpoint: binary.BigEndian.Uint32(b[8:])})
		b = b[holderLen:]
	}
	for ; len(b) > 0; b = b[readLen:] {
		m.CachesRead = append(m.CachesRead, binary.BigEndian.Uint32(b))
	}
	return m, nil
}
