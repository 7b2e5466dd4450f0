package exchange

import (
	"bufio"
	"io"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/memory"
)

// errTooLarge ends the connection of a peer that announces a message above the
// limit.
var errTooLarge = eris.New("exchange: message is too large")

// messageReader reads a gob stream and refuses a message by its announced
// length, before the decoder allocates memory for it. gob itself accepts 1 GiB.
type messageReader struct {
	src    *bufio.Reader
	max    uint64
	left   uint64          // bytes of the current message that were not read
	memory *memory.Account // holds the current message; nil means no bound
	held   int64
}

// messageCopies is how often a message is held: as it is read and as it is decoded.
const messageCopies = 2

func newMessageReader(r io.Reader, limit uint64) *messageReader {
	return &messageReader{src: bufio.NewReader(r), max: limit}
}

// Read implements io.Reader.
func (m *messageReader) Read(p []byte) (int, error) {
	if err := m.startMessage(); err != nil {
		return 0, err
	}
	n, err := m.src.Read(p[:min(uint64(len(p)), m.left)])
	m.left -= uint64(n)
	return n, err
}

// ReadByte implements io.ByteReader, so that gob adds no buffer of its own.
func (m *messageReader) ReadByte() (byte, error) {
	if err := m.startMessage(); err != nil {
		return 0, err
	}
	m.left--
	return m.src.ReadByte()
}

// startMessage peeks at the length of the next message if the current one was
// read to its end. gob encodes a length below 128 as one byte, and a larger one
// as the negated count of its bytes followed by the bytes.
func (m *messageReader) startMessage() error {
	if m.left > 0 {
		return nil
	}
	head, err := m.src.Peek(1)
	if err != nil {
		return err
	}
	if head[0] < 0x80 {
		m.left = 1 + uint64(head[0])
		return m.hold(messageCopies * int64(head[0]))
	}
	count := -int(int8(head[0]))
	if count > 8 {
		return errTooLarge
	}
	if head, err = m.src.Peek(1 + count); err != nil {
		return err
	}
	var length uint64
	for _, b := range head[1:] {
		length = length<<8 | uint64(b)
	}
	if length > m.max {
		return errTooLarge
	}
	if err := m.hold(messageCopies * int64(length)); err != nil {
		return err
	}
	m.left = 1 + uint64(count) + length
	return nil
}

// hold replaces what the last message held, whose buffer the decoder keeps until the next
// one.
func (m *messageReader) hold(n int64) error {
	m.memory.Drop(m.held)
	m.held = 0
	if err := m.memory.Hold(n); err != nil {
		return err
	}
	m.held = n
	return nil
}
