package memory

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

var errTooLong = errors.New("too long")

// Guards against bytes that are counted and never given back, after which a process
// refuses all requests, and against more bytes than the budget.
func TestBytesAreGivenBack(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1 << 20)
	var running sync.WaitGroup
	for range 50 {
		running.Go(func() {
			for range 200 {
				a := b.NewAccount()
				_ = a.Hold(1 << 17)
				if b.Held() > 50<<17 {
					t.Error("more is held than accounts ask for")
				}
				a.Drop(1 << 10)
				_ = a.Hold(1)
				a.Release()
			}
		})
	}
	running.Wait()
	is.Equal(b.Held(), int64(0))
	a := b.NewAccount()
	is.NoErr(a.Hold(FreeBytes))
	is.Equal(b.Held(), int64(0)) // most requests do not touch the budget
	is.NoErr(a.Hold(1000))
	is.Equal(b.Held(), int64(1000))
	is.True(errors.Is(a.Hold(1<<20), ErrExhausted))
	is.Equal(b.Held(), int64(1000))
	a.Release()
	is.Equal(b.Held(), int64(0))
}

// Guards against a few long bodies that keep out all short ones.
func TestLongRequestsLeaveRoomForShortOnes(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1 << 20)
	long := b.NewAccount()
	for long.Hold(longBytes) == nil {
	}
	is.NoErr(b.NewAccount().Hold(longBytes / 2))
}

// Guards against a body that is read in part and taken for whole, is read beyond its bound,
// or holds memory after it failed.
func TestBodiesAreReadWholeOrNotAtAll(t *testing.T) {
	const limit = 100_000
	cut := errors.New("cut")
	whole := strings.Repeat("x", limit)
	for name, c := range map[string]struct {
		body   io.Reader
		length int64
		size   int // -1 if it fails
	}{
		"known length":        {strings.NewReader(whole), limit, limit},
		"unknown length":      {strings.NewReader(whole), -1, limit},
		"byte by byte":        {iotest.OneByteReader(strings.NewReader(whole)), -1, limit},
		"end with the data":   {iotest.DataErrReader(strings.NewReader(whole)), limit, limit},
		"empty":               {strings.NewReader(""), -1, 0},
		"empty, known length": {strings.NewReader(""), 0, 0},
		"too long":            {strings.NewReader(whole + "y"), -1, -1},
		"too long, known":     {strings.NewReader(whole + "y"), limit + 1, -1},
		"cut":                 {io.MultiReader(strings.NewReader(whole[:5000]), iotest.ErrReader(cut)), limit, -1},
		"cut, unknown length": {io.MultiReader(strings.NewReader(whole[:5000]), iotest.ErrReader(cut)), -1, -1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := NewBudget(1 << 20)
			a := b.NewAccount()
			got, err := ReadAll(c.body, c.length, limit, a, errTooLong)
			if c.size < 0 {
				is.True(err != nil)
				is.Equal(b.Held(), int64(0))
				return
			}
			is.NoErr(err)
			is.True(bytes.Equal(got, []byte(whole[:c.size])))
			is.True(b.Held() <= 2*limit)
			a.Release()
			is.Equal(b.Held(), int64(0))
		})
	}
	is := is.New(t)
	b := NewBudget(limit)
	_, err := ReadAll(strings.NewReader(whole), -1, limit, b.NewAccount(), errTooLong)
	is.True(errors.Is(err, ErrExhausted)) // the two buffers of the last step do not fit
	is.Equal(b.Held(), int64(0))
}
