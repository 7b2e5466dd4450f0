package router_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that crashes endpoints and is sent on by routers that do not
// hear each other, in one direction or in both, while they reach the store and the
// endpoints: each of them counted its own crashes only.
func TestDeadlyRequestsAtRoutersThatHearNoPeer(t *testing.T) {
	const routers, sends = 6, 24
	for name, c := range map[string]struct {
		path       string
		deaf, mute int // numbers of routers
	}{
		"all cut, at most once":   {"/assign/x", routers, routers},
		"all cut, idempotent":     {"/read/x", routers, routers},
		"half of them cut":        {"/assign/x", routers / 2, routers / 2},
		"half of them hear none":  {"/assign/x", routers / 2, 0},
		"half of them not heard":  {"/assign/x", 0, routers / 2},
		"public route, all cut":   {"/open/x", routers, routers},
		"one cut from all others": {"/assign/x", 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 0, 8)
			fleet := f.startRouters(routers)
			for i, p := range fleet {
				p.link.deaf.Store(i < c.deaf)
				p.link.mute.Store(i < c.mute)
			}
			f.setFaults("", deadlyEndpoints)
			for i := range sends {
				fleet[i%routers].sendDeadly(c.path)
				time.Sleep(650 * time.Millisecond)
			}
			f.checkDeadlyRuns()
		})
	}
}

// Guards against a router that hears no peer and says nothing of it: what its peers know
// is then missing in its decisions.
func TestUnheardPeersAreLogged(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 1)
	fleet := f.startRouters(2)
	fleet[0].link.deaf.Store(true)
	eventually(t, "the deaf router logs that it hears nobody", func() bool {
		return strings.Contains(fleet[0].text(), `"msg":"announced routers not heard","count":1,"heard":0,"first":["router-1"]`)
	})
	is.New(t).True(!strings.Contains(fleet[1].text(), "announced routers not heard"))
}
