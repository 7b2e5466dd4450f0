package mesh

import (
	"encoding/binary"
	"iter"
	"slices"
	"time"
)

// Split returns messages with all crashes and sound properties of m, each of which fits into a
// datagram. A message with neither is returned as it is.
func (m Message) Split() iter.Seq[Message] {
	if !m.hasCauses() {
		return func(yield func(Message) bool) { yield(m) }
	}
	return func(yield func(Message) bool) {
		part := m
		part.Sound = nil
		for part.Crashes = range slices.Chunk(m.Crashes, MaxCrashes) {
			if !yield(part) {
				return
			}
		}
		part.Crashes = nil
		for part.Sound = range slices.Chunk(m.Sound, maxSound) {
			if !yield(part) {
				return
			}
		}
	}
}

// appendCauses appends the crashes and the sound properties of m to its header fields.
func appendCauses(b []byte, m Message) []byte {
	crashes := m.Crashes[:min(len(m.Crashes), MaxCrashes)]
	b = binary.BigEndian.AppendUint16(b, uint16(len(crashes)))
	for _, c := range crashes {
		b = binary.BigEndian.AppendUint64(b, c.Key)
		b = binary.BigEndian.AppendUint32(b, c.Endpoint)
		b = binary.BigEndian.AppendUint16(b, uint16(min(max(c.Age/ageUnit, 0), 1<<16-1)))
	}
	for _, key := range m.Sound[:min(len(m.Sound), maxSound)] {
		b = binary.BigEndian.AppendUint64(b, key)
	}
	return b
}

// parseCauses decodes the fields that appendCauses wrote into m. b has two bytes at
// least.
func parseCauses(b []byte, m Message) (Message, error) {
	n := int(binary.BigEndian.Uint16(b))
	b = b[2:]
	if n > MaxCrashes || len(b) < n*crashLen || (len(b)-n*crashLen)%soundLen != 0 || (len(b)-n*crashLen)/soundLen > maxSound {
		return Message{}, ErrFormat
	}
	for ; n > 0; n-- {
		m.Crashes = append(m.Crashes, Crash{
			Key: binary.BigEndian.Uint64(b), Endpoint: binary.BigEndian.Uint32(b[8:]),
			Age: time.Duration(binary.BigEndian.Uint16(b[12:])) * ageUnit,
		})
		b = b[crashLen:]
	}
	for ; len(b) > 0; b = b[soundLen:] {
		m.Sound = append(m.Sound, binary.BigEndian.Uint64(b))
	}
	return m, nil
}
