package exchange

import (
	"bufio"
	"io"

	"github.com/rotisserie/eris"
)

// errTooLarge cuts off a peer that announces a message over the bound.
var errTooLarge = eris.New("exchange: message is too large")

// messageReader passes a gob stream on and refuses a message by its announced
// length, before the decoder allocates memory for it. gob itself accepts 1 GiB.
type messageReader struct {
	in   *bufio.Reader
	max  uint64
	left uint64 // bytes of the present message that were not passed on
}

func newMessageReader(r io.Reader, limit uint64) *messageReader {
	return &messageReader{in: bufio.NewReader(r), max: limit}
}

// Read implements io.Reader.
func (m *messageReader) Read(p []byte) (int, error) {
	if err := m.begin(); err != nil {
		return 0, err
	}
	n, err := m.in.Read(p[:min(uint64(len(p)), m.left)])
	m.left -= uint64(n)
	return n, err
}

// ReadByte implements io.ByteReader, which keeps gob from adding a buffer.
func (m *messageReader) ReadByte() (byte, error) {
	if err := m.begin(); err != nil {
		return 0, err
	}
	m.left--
	return m.in.ReadByte()
}

// begin reads ahead the length of the next message. gob writes a length below
// 128 as one byte, a larger one as the negated count of its bytes and the bytes.
func (m *messageReader) begin() error {
	if m.left > 0 {
		return nil
	}
	head, err := m.in.Peek(1)
	if err != nil {
		return err
	}
	if head[0] < 0x80 {
		m.left = 1 + uint64(head[0])
		return nil
	}
	count := -int(int8(head[0]))
	if count > 8 {
		return errTooLarge
	}
	if head, err = m.in.Peek(1 + count); err != nil {
		return err
	}
	var length uint64
	for _, b := range head[1:] {
		length = length<<8 | uint64(b)
	}
	if length > m.max {
		return errTooLarge
	}
	m.left = 1 + uint64(count) + length
	return nil
}
