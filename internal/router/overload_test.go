package router_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/router"
	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// Guards against requests that queue in a full pool until they are late, against refusals
// after which a request runs, and against refusals once the pool is free again or where
// the deployment does not call for them.
func TestFullPoolRefusesAtOnce(t *testing.T) {
	const (
		calls = 60 // at a pool of two engines with 8 slots each
		slots = 16
	)
	for name, c := range map[string]struct {
		contracts []string
		enabled   bool
	}{
		"enabled":               {[]string{"pool"}, true},
		"disabled by a setting": {[]string{"pool"}, false},
		"not called for":        {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, 2, 0)
			f.setFaults("", standin.EndpointFaults{Latency: time.Second, Load: "8,6,8,100"})
			p := f.start(func(s *router.Settings) { s.Contracts, s.Admission = c.contracts, c.enabled }).await()
			replies := make(chan reply, calls)
			for range calls {
				go func() { replies <- p.call(context.Background(), http.MethodPost, "/stream/brief/x", "body", nil) }()
			}
			refused, answered := 0, 0
			for range calls {
				r := <-replies
				switch r.status {
				case http.StatusOK:
					answered++
				case http.StatusServiceUnavailable:
					refused++
					wait, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
					is.NoErr(err)
					is.True(wait >= 0.1 && wait <= 4.0/3) // a third of the time of the call at most
					is.Equal(len(f.received(r.id)), 0)
				}
			}
			is.Equal(answered+refused, calls)
			if !c.enabled || c.contracts == nil {
				is.Equal(refused, 0)
				return
			}
			is.True(answered >= slots)
			is.True(refused > 0)
			f.setFaults("", standin.EndpointFaults{Load: "1,0,8,100"})
			eventually(t, "the pool serves again", func() bool { return p.post("/stream/brief/x").status == http.StatusOK })
			is.True(strings.Contains(p.text(), "pool overloaded"))
		})
	}
}

// Guards against routers that decide each for itself: the one that gets few requests has to
// refuse by the demand that the other one reports.
func TestRoutersKnowEachOthersDemand(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 0)
	f.setFaults("", standin.EndpointFaults{Latency: 500 * time.Millisecond, Load: "8,6,8,100"})
	var fleet []*process
	for i := range 2 {
		fleet = append(fleet, f.start(func(s *router.Settings) {
			s.Instance, s.FirstStart, s.Contracts, s.Admission = model.InstanceID(fmt.Sprint("router-", i)), true, []string{"pool"}, true
		}))
	}
	for _, p := range fleet {
		p.await()
	}
	ctx, stop := context.WithTimeout(t.Context(), testTimeout)
	defer stop()
	var callers sync.WaitGroup
	for i := range 40 {
		p := fleet[i/38] // two callers of the second router
		callers.Go(func() {
			for ctx.Err() == nil && p.call(ctx, http.MethodPost, "/stream/brief/x", "body", nil).err == nil {
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for _, p := range fleet {
		eventually(t, "the router knows the demand of the other one", func() bool {
			text := p.text()
			return strings.Contains(text, "pool overloaded") && strings.Contains(text, `"peers":1`)
		})
	}
	stop()
	callers.Wait()
}
