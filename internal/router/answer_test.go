package router

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/memory"
)

// endless is a body that never ends.
type endless struct{}

func (endless) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	return len(b), nil
}

// Guards against an answer of more than the allowed size that is cut at that size and
// passed on as complete, and against memory that is used for a body without end.
func TestAnswersAreReadWholeOrNotAtAll(t *testing.T) {
	is := is.New(t)
	whole := bytes.Repeat([]byte("x"), maxAnswerBytes)
	read := func(r io.Reader) ([]byte, error) { return memory.ReadAll(r, -1, maxAnswerBytes, nil, errAnswerTooLong) }
	body, err := read(bytes.NewReader(whole))
	is.NoErr(err)
	is.Equal(len(body), maxAnswerBytes)
	_, err = read(io.MultiReader(bytes.NewReader(whole), strings.NewReader("y")))
	is.True(errors.Is(err, errAnswerTooLong))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	_, err = read(endless{})
	runtime.ReadMemStats(&after)
	is.True(errors.Is(err, errAnswerTooLong))
	const most = 16 << 20 // of live memory: the last two buffers of io.ReadAll
	is.True(after.HeapAlloc < before.HeapAlloc+most)
}
