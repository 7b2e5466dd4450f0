package router

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against hundreds of calls a second by a large fleet while the store is down:
// 103 routers made 2,800 calls in an outage of 8 s. The store readers call often, so
// that the fleet recovers at once; the routers that they supply need not.
func TestRoutersWithAReaderCallAFailingStoreRarely(t *testing.T) {
	is := is.New(t)
	calls := func(hasReader bool) (n int) {
		for at := time.Duration(0); at < 8*time.Second; n++ {
			at += storeBackoff(n, hasReader)
		}
		return n
	}
	is.True(calls(true) <= 7)
	is.True(calls(false) >= 13) // no more than 0.6 s apart
}
