// Package memory bounds the bytes that all requests of a process hold together. Bounds on
// each body and each answer do not bound their sum.
package memory

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// FreeBytes is what each request may hold without an account. It covers the bodies
	// and events of most requests; connections bound their number.
	FreeBytes = 8 << 10
	// reservedShare is the share of a budget that only requests of less than longBytes
	// use, so that a few long ones do not keep out the others.
	reservedShare = 0.25
	longBytes     = 256 << 10
)

// ErrExhausted is returned if a budget has not the bytes that a request needs.
var ErrExhausted = eris.New("memory: too many bytes are held by other requests")

// Budget is a number of bytes that requests share. Its methods may be called by any
// goroutine; it holds a count and no other state.
type Budget struct {
	size int64
	held atomic.Int64
}

// NewBudget returns a budget of size bytes.
func NewBudget(size int64) *Budget { return &Budget{size: size} }

// Held returns the bytes that are held, and Size those that may be.
func (b *Budget) Held() int64 { return b.held.Load() }

// Size returns the bytes that requests may hold together.
func (b *Budget) Size() int64 { return b.size }

// take reserves n bytes of at most limit and reports whether they were left.
func (b *Budget) take(n, limit int64) bool {
	if b.held.Add(n) <= limit {
		return true
	}
	b.held.Add(-n)
	return false
}

// Account is what one request holds of a budget. One goroutine at a time may use it. A nil
// account has no bound.
type Account struct {
	budget *Budget
	held   int64 // FreeBytes included
	taken  int64 // of the budget
}

// NewAccount returns an account that holds nothing. Release must be called.
func (b *Budget) NewAccount() *Account { return &Account{budget: b} }

// Hold adds n bytes, or returns ErrExhausted and adds none.
func (a *Account) Hold(n int64) error {
	if a == nil {
		return nil
	}
	need := max(0, a.held+n-FreeBytes) - a.taken
	if need > 0 {
		limit := a.budget.size
		if a.held+n > longBytes {
			limit = int64(float64(limit) * (1 - reservedShare))
		}
		if !a.budget.take(need, limit) {
			return ErrExhausted
		}
		a.taken += need
	}
	a.held += n
	return nil
}

// Drop gives back n bytes that were held.
func (a *Account) Drop(n int64) {
	if a == nil {
		return
	}
	a.held -= n
	if back := a.taken - max(0, a.held-FreeBytes); back > 0 {
		a.taken -= back
		a.budget.held.Add(-back)
	}
}

// Release gives back all bytes.
func (a *Account) Release() {
	if a != nil {
		a.Drop(a.held)
	}
}

// minBuffer is the first buffer of a body whose length is not known.
const minBuffer = 4 << 10

// ReadAll reads r to its end into memory that a holds. length is that of the body if it is
// known, and negative if not. It returns tooLong if there are more than limit bytes, and
// holds nothing after an error.
func ReadAll(r io.Reader, length, limit int64, a *Account, tooLong error) ([]byte, error) {
	if length > limit {
		return nil, tooLong
	}
	size := length + 1 // the end is seen without another buffer
	if length < 0 {
		size = min(minBuffer, limit+1)
	}
	if err := a.Hold(size); err != nil {
		return nil, err
	}
	buf := make([]byte, 0, size)
	fail := func(err error) ([]byte, error) {
		a.Drop(int64(cap(buf)))
		return nil, err
	}
	for {
		if int64(len(buf)) > limit {
			return fail(tooLong)
		}
		if len(buf) == cap(buf) {
			grown := min(2*int64(cap(buf)), limit+1)
			if err := a.Hold(grown); err != nil { // beside the one that is copied
				return fail(err)
			}
			next := make([]byte, len(buf), grown)
			copy(next, buf)
			a.Drop(int64(cap(buf)))
			buf = next
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) && int64(len(buf)) <= limit {
			return buf, nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fail(err)
		}
	}
}
