package router_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/router"
	"github.com/goldcrestturn/goldcrestturn/platform"
	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// rolloutFleet is a fleet of two routers, which hear each other unless they are deaf, whose service has an endpoint of a new version.
type rolloutFleet struct {
	*fleet
	routers []*process
	next    *standin.Endpoint
	ordered time.Time
}

func newRolloutFleet(t *testing.T, faults standin.EndpointFaults, deaf bool) *rolloutFleet {
	t.Helper()
	f := &rolloutFleet{fleet: newFleet(t, 0, 2)}
	f.features = router.Features{Rollouts: true}
	for _, name := range []string{"router-1", "router-2"} {
		p := f.start(func(s *router.Settings) {
			s.Instance = model.InstanceID(name)
			s.Rollouts, s.Exposure, s.ExposureOver, s.Rollback = true, 0.1, 50, 5*time.Second
		})
		p.link.deaf.Store(deaf)
		f.routers = append(f.routers, p.await())
	}
	next, err := standin.NewEndpoint("service-next")
	is.New(t).NoErr(err)
	t.Cleanup(next.Close)
	next.SetFaults(faults)
	f.next = next
	f.endpoints = append(f.endpoints, next)
	return f
}

// order orders the roll-out and lists the endpoint of the new version.
func (f *rolloutFleet) order(seconds float64) {
	f.ordered = time.Now()
	f.store.Put("keyed.op", "rollout/service", map[string]any{"Service": "service", "Target": "v2", "DurationS": seconds})
	for _, p := range f.routers {
		eventually(f.t, "the order is known", func() bool { return strings.Contains(p.text(), "roll-out begins") })
	}
	f.store.Put("keyed.servers", f.next.ID, map[string]any{
		"Service": "service", "Address": f.next.Address(), "Zone": "dc-a", "Version": "v2", "State": "ready", "Slots": 8, "Sequence": 2,
	})
}

// load sends requests through both routers for d, at most 400 a second, and returns how
// many failed.
func (f *rolloutFleet) load(d time.Duration) (failed int64) {
	var bad atomic.Int64
	var callers sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	for i := range 8 {
		p := f.routers[i%len(f.routers)]
		callers.Go(func() {
			tick := time.NewTicker(20 * time.Millisecond)
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
					if p.get("/read/x").status != http.StatusOK {
						bad.Add(1)
					}
				}
			}
		})
	}
	callers.Wait()
	return bad.Load()
}

// checkExposure checks the operators' bound on the requests of a bad version in the window.
func (f *rolloutFleet) checkExposure(window time.Duration) {
	f.t.Helper()
	total, newer := 0, 0
	for _, e := range f.endpoints {
		for _, r := range e.Received() {
			if r.At.Before(f.ordered) || r.At.After(f.ordered.Add(window)) {
				continue
			}
			if total++; e == f.next {
				newer++
			}
		}
	}
	f.t.Logf("requests %d, of them %d at the new version", total, newer)
	is.New(f.t).True(float64(newer) <= 0.1*float64(total)+50)
}

// status returns the status that the store holds.
func (f *rolloutFleet) status() router.RolloutStatus {
	statuses, _, err := platform.NewStore(f.store.Address()).RolloutStatuses(context.Background())
	is.New(f.t).NoErr(err)
	return statuses["service"]
}

// Guards against a good version that is not completed by its deadline or gets more than
// its share before, and against requests for the old one after it, also at a router that
// starts then.
func TestGoodVersionsAreRolledOut(t *testing.T) {
	is := is.New(t)
	f := newRolloutFleet(t, standin.EndpointFaults{}, false)
	f.order(8)
	failed := f.load(8 * time.Second)
	f.checkExposure(8 * time.Second)
	is.Equal(failed, int64(0))
	eventually(t, "the roll-out is completed", func() bool { return f.status() == router.RolloutStatus{State: router.RolloutCompleted, Target: "v2"} })
	f.routers = append(f.routers, f.start(func(s *router.Settings) { s.Instance, s.Rollouts = "router-3", true }).await())
	for _, p := range f.routers {
		eventually(t, "the verdict is known", func() bool { return strings.Contains(p.text(), "roll-out completed") })
		for range 5 {
			is.Equal(f.received(p.get("/read/x").id)[0].Endpoint, f.next.ID)
		}
	}
}

// Guards against a bad version that gets more than its share, requests later than five
// seconds after its 50th bad response or after the order is gone, or callers that get its
// failures although their requests may be retried.
func TestBadVersionsAreNotRolledOut(t *testing.T) {
	for name, faults := range map[string]standin.EndpointFaults{"fails": {Fail: true}, "slow": {Latency: 200 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newRolloutFleet(t, faults, false)
			f.load(500 * time.Millisecond) // the usual times
			f.order(8)
			failed := f.load(5 * time.Second)
			is.True(len(f.next.Received()) > 0) // it was tried
			f.checkExposure(5 * time.Second)
			is.Equal(failed, int64(0))
			eventually(t, "the roll-out is reverted", func() bool { return f.status() == router.RolloutStatus{State: router.RolloutReverted, Target: "v2"} })
			f.store.Put("keyed.op", "rollout/service", nil)
			f.routers = append(f.routers, f.start(func(s *router.Settings) { s.Instance, s.Rollouts = "router-3", true }).await())
			for _, p := range f.routers[:2] {
				eventually(t, "the order is gone", func() bool { return strings.Contains(p.text(), "roll-out order withdrawn") })
			}
			before := len(f.next.Received())
			f.load(500 * time.Millisecond)
			is.Equal(len(f.next.Received()), before)
		})
	}
}

// Guards against two verdicts, or none, while the store loses and delays its responses.
func TestVerdictsWithLostResponses(t *testing.T) {
	is := is.New(t)
	f := newRolloutFleet(t, standin.EndpointFaults{Fail: true}, false)
	f.store.SetFaults(standin.StoreFaults{LoseEvery: 2})
	f.order(8)
	f.load(4 * time.Second)
	eventually(t, "the roll-out is reverted", func() bool { return f.status() == router.RolloutStatus{State: router.RolloutReverted, Target: "v2"} })
	before := len(f.next.Received())
	f.load(500 * time.Millisecond)
	is.Equal(len(f.next.Received()), before)
}

// Guards against routers that hear no peer and send requests to a new version, although they
// cannot learn in time of its bad responses at the others.
func TestRoutersThatHearNoPeerSendNothingToANewVersion(t *testing.T) {
	is := is.New(t)
	f := newRolloutFleet(t, standin.EndpointFaults{}, true)
	f.order(4)
	is.Equal(f.load(3*time.Second), int64(0))
	is.Equal(len(f.next.Received()), 0)
	eventually(t, "the roll-out is reverted", func() bool { return f.status() == router.RolloutStatus{State: router.RolloutReverted, Target: "v2"} })
}
