package router

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/memory"
)

const (
	// memoryRetryAfter is the shortest time after which a caller may come back whose body
	// did not fit. Bodies are held until their requests are answered.
	memoryRetryAfter = time.Second
)

// errBodyTooLong is returned for a body that is longer than the configuration allows.
var errBodyTooLong = eris.New("the body is too large")

// accountKey is the key of the account of a request in its context.
type accountKey struct{}

// accountMemory gives each request an account of the memory of all requests, and releases
// it when the request has ended.
func (r *Router) accountMemory(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		a := r.memory.NewAccount()
		defer a.Release()
		h.ServeHTTP(w, req.WithContext(context.WithValue(req.Context(), accountKey{}, a)))
	})
}

// memoryOf returns the account of a request.
func memoryOf(ctx context.Context) *memory.Account {
	a, _ := ctx.Value(accountKey{}).(*memory.Account)
	return a
}
