package exchange

import (
	"bytes"
	"encoding/gob"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/memory"
)

// encoded returns a gob message that holds a text of n bytes.
func encoded(t *testing.T, n int) []byte {
	t.Helper()
	var out bytes.Buffer
	is.New(t).NoErr(gob.NewEncoder(&out).Encode(strings.Repeat("x", n)))
	return out.Bytes()
}

// Guards against messages of many peers, each within the limit, that together take the
// memory of the process, and against memory that is not given back.
func TestMessagesShareTheirMemory(t *testing.T) {
	is := is.New(t)
	const size = 100_000
	budget := memory.NewBudget(3 * messageCopies * size)
	var readers []*messageReader
	decode := func(announced []byte) error {
		r := newMessageReader(bytes.NewReader(announced), MaxMessageBytes)
		r.memory = budget.NewAccount()
		readers = append(readers, r)
		var text string
		return gob.NewDecoder(r).Decode(&text)
	}
	message := encoded(t, size)
	is.NoErr(decode(message))
	// It stops short of its end, and is held all the same.
	is.True(errors.Is(decode(message[:len(message)-1]), io.ErrUnexpectedEOF))
	is.NoErr(decode(message))
	is.True(errors.Is(decode(message), memory.ErrExhausted))
	is.NoErr(decode(encoded(t, 100))) // a short one needs no room
	for _, r := range readers {
		r.memory.Release()
	}
	is.Equal(budget.Held(), int64(0))
	is.NoErr(decode(message))
}
