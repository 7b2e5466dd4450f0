package router_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/router"
	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

const (
	dutyLease  = 1500 * time.Millisecond
	dutyWindow = 2 * time.Second
	// countsSent is longer than the time between two messages with counts.
	countsSent = 1300 * time.Millisecond
)

// dutyFleet starts routers that perform the duties of one router at a time.
func dutyFleet(t *testing.T, routers int) (*fleet, []*standin.StoreListener, []*process) {
	t.Helper()
	f := newFleet(t, 1, 1)
	f.cloud = standin.NewCloudAPI(dutyLease)
	t.Cleanup(f.cloud.Close)
	listeners, fleet := f.startBehindListeners(routers, func(s *router.Settings) {
		s.Grace = 4 * time.Second
		s.Duties = router.DutySettings{Names: []string{"metering", "autoscale"}, Lease: dutyLease, Thaw: 50 * time.Millisecond, Window: dutyWindow, Delay: 2 * dutyWindow}
	})
	return f, listeners, fleet
}

// holder returns the index of the router that holds the duties, as it logged last.
func holder(fleet []*process) int {
	for i, p := range fleet {
		text := p.text()
		taken, lost := strings.LastIndex(text, "lease of the duties taken"), max(strings.LastIndex(text, "lease of the duties lost"), strings.LastIndex(text, "lease of the duties handed over"))
		if taken > lost && len(p.ended) == 0 {
			return i
		}
	}
	return -1
}

// awaitHolder waits until a router holds the duties and returns its index.
func awaitHolder(t *testing.T, fleet []*process) (i int) {
	t.Helper()
	eventually(t, "a router holds the duties", func() bool { i = holder(fleet); return i >= 0 })
	return i
}

// nextWindow waits until a new window has begun and returns it.
func nextWindow() int64 {
	window := time.Now().UnixNano()/int64(dutyWindow) + 1
	time.Sleep(time.Until(time.Unix(0, window*int64(dutyWindow))) + 100*time.Millisecond)
	return window
}

// callAll sends n requests to each of the routers, by turns streams and calls.
func callAll(t *testing.T, fleet []*process, n int) (sent int64) {
	t.Helper()
	for i := range n {
		for _, p := range fleet {
			path := "/assign/x"
			if i%2 == 0 {
				path = "/stream/brief/x"
			}
			if r := p.post(path); r.status == http.StatusOK {
				sent++
			} else {
				t.Errorf("status %d, %v", r.status, r.err)
			}
		}
	}
	return sent
}

// Guards against usage that is missing, reported with other counts than began, or reported
// twice with different ones, while the holder of the duties ends without notice, stops as
// planned, and the store and the platform fail for a moment.
func TestUsageIsReportedOnceForEachWindow(t *testing.T) {
	is := is.New(t)
	f, listeners, fleet := dutyFleet(t, 4)
	awaitHolder(t, fleet)
	want := map[int64]int64{}
	window := func(n int) {
		w := nextWindow()
		want[w] = callAll(t, fleet, n)
	}
	remove := func(i int) {
		fleet, listeners = append(fleet[:i:i], fleet[i+1:]...), append(listeners[:i:i], listeners[i+1:]...)
	}
	window(2)
	window(4)
	// The holder ends without handing over. Its counts are known to others.
	first := awaitHolder(t, fleet)
	ended := fleet[first]
	window(3)
	time.Sleep(countsSent) // the holder and a second router have got the counts
	listeners[first].SetFaults(standin.StoreFaults{Reset: true})
	ended.stop()
	remove(first)
	window(5)
	awaitHolder(t, fleet)
	window(2)
	// A planned stop.
	second := awaitHolder(t, fleet)
	stopped := fleet[second]
	stopped.stop()
	remove(second)
	eventually(t, "the duties are handed over", func() bool {
		return strings.Contains(stopped.text(), "lease of the duties handed over") && holder(fleet) >= 0
	})
	window(4)
	// Answers of the platform are lost, it rejects calls, and then the store is away for
	// longer than the lease.
	f.cloud.SetFaults(standin.CloudAPIFaults{Lose: true})
	window(3)
	f.cloud.SetFaults(standin.CloudAPIFaults{Status: http.StatusServiceUnavailable})
	window(1)
	time.Sleep(countsSent)
	f.cloud.SetFaults(standin.CloudAPIFaults{})
	for _, l := range listeners {
		l.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	}
	time.Sleep(2 * dutyLease)
	for _, l := range listeners {
		l.SetFaults(standin.StoreFaults{})
	}
	window(2)
	for w, n := range want {
		eventually(t, fmt.Sprintf("window %d is reported", w), func() bool { _, ok := f.cloud.Reports()[w]; return ok })
		rep := f.cloud.Reports()[w]
		due := time.Unix(0, (w+1)*int64(dutyWindow))
		t.Logf("window %d: %v of %d requests, %v after its end, by %s, %d calls", w, rep.Counts, n, rep.At.Sub(due).Round(time.Millisecond), rep.Holder, rep.Calls)
		is.Equal(rep.Counts["studio"], n)
	}
	is.Equal(len(f.cloud.Broken()), 0) // rules that calls broke
	is.True(f.cloud.Holders() >= 3)
}

// Guards against a holder that hears no other router and reports its own counts as those of
// all.
func TestAHolderThatHearsNobodyStepsDown(t *testing.T) {
	is := is.New(t)
	f, _, fleet := dutyFleet(t, 4)
	awaitHolder(t, fleet)
	want := map[int64]int64{}
	nextWindow() // all are known to each other
	first := awaitHolder(t, fleet)
	fleet[first].link.deaf.Store(true)
	fleet[first].link.mute.Store(true)
	others := append(fleet[:first:first], fleet[first+1:]...)
	for range 4 {
		w := nextWindow()
		want[w] = callAll(t, others, 3)
	}
	is.True(holder(fleet) != first)
	for w, n := range want {
		eventually(t, fmt.Sprintf("window %d is reported", w), func() bool { _, ok := f.cloud.Reports()[w]; return ok })
		rep := f.cloud.Reports()[w]
		t.Logf("window %d: %v of %d requests by %s", w, rep.Counts, n, rep.Holder)
		is.Equal(rep.Counts["studio"], n)
	}
	is.Equal(len(f.cloud.Broken()), 0) // rules that calls broke
}

// Guards against orders of endpoints that are not made while the load stays high, that come
// in a burst, or that are made outside the limits of the configuration.
func TestEndpointsAreOrdered(t *testing.T) {
	is := is.New(t)
	f, _, fleet := dutyFleet(t, 2)
	config := routes(2)
	for _, s := range config["Services"].([]any) {
		if service := s.(map[string]any); service["Name"] == "engines" {
			service["Scaling"] = map[string]any{"Min": 1, "Max": 3, "BootS": 20}
		}
	}
	f.store.SetConfig(config)
	i := awaitHolder(t, fleet)
	f.setFaults("engine", standin.EndpointFaults{Events: 200, EventInterval: 50 * time.Millisecond})
	done := make(chan reply, 20)
	for n := range cap(done) { // its engine has 8 slots
		go func() { done <- fleet[n%2].post("/stream/brief/x") }()
	}
	eventually(t, "endpoints are ordered", func() bool { return len(f.cloud.Orders()) > 0 })
	for range cap(done) {
		<-done
	}
	is.Equal(f.cloud.Orders(), []standin.ScaleOrder{{Pool: "engines", DataCentre: "dc-a", Holder: f.cloud.Orders()[0].Holder, Desired: 3}})
	eventually(t, "the order is logged", func() bool { return strings.Contains(fleet[i].text(), `"endpoints ordered"`) })
	is.True(strings.Contains(fleet[i].text(), `"reason":"load_high"`))
	is.Equal(len(f.cloud.Broken()), 0) // rules that calls broke
}
