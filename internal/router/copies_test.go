package router_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/router"
	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// Guards against the second copy of a refusal that is taken for the answer to the next
// attempt of the same request: the endpoint runs that attempt, and the request runs again
// elsewhere or is refused as not run. The list names each endpoint under the ids of two
// earlier processes at its address too, so attempts meet one address again.
func TestCopiesOfRefusalsProveNothing(t *testing.T) {
	const rounds = 12 // a router each, since an id that was refused is passed over
	for _, route := range []struct{ path, pool string }{{"/assign/x", "service"}, {"/stream/brief/x", "engines"}} {
		for _, when := range []string{standin.CopyOnNext, standin.CopyWhileIdle} {
			for endpoints := 1; endpoints <= 2; endpoints++ {
				t.Run(fmt.Sprint(route.pool, "/", when, "/", endpoints), func(t *testing.T) {
					is := is.New(t)
					f := newFleet(t, 0, 0)
					for i := range endpoints {
						e := f.add(fmt.Sprint("now-", i), route.pool)
						e.SetFaults(standin.EndpointFaults{LateCopies: when})
						for old := range 2 {
							f.store.RegisterAs(fmt.Sprint("old-", i, "-", old), e, route.pool, "dc-a", "ready")
						}
					}
					twice, refusedButRan, answered := 0, 0, 0
					for round := range rounds {
						p := f.start(func(s *router.Settings) { s.Instance = model.InstanceID(fmt.Sprint("router-", round)) }).await()
						for range 2 {
							r := p.call(context.Background(), http.MethodPost, route.path, "body", nil)
							runs := 0
							for _, s := range f.received(r.id) {
								if s.Ran {
									runs++
								}
							}
							if runs > 1 {
								twice++
							}
							if r.status == http.StatusServiceUnavailable && runs > 0 {
								refusedButRan++
							}
							if r.status == http.StatusOK {
								answered++
							}
						}
						p.stop()
					}
					t.Logf("of %d requests %d were answered, %d ran twice, %d were refused as not run but ran", 2*rounds, answered, twice, refusedButRan)
					is.Equal(twice, 0)
					is.Equal(refusedButRan, 0)
					is.True(answered > 0)
				})
			}
		}
	}
}
