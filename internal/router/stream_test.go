package router_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// Guards against a stalled stream that never ends because its endpoint sends a byte
// now and then: a route with two attempts had no bound on the time between events.
func TestStalledStreamsAreResumed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 0)
	p := f.start(nil).await()
	f.endpoints[0].SetFaults(standin.EndpointFaults{StallAfter: 2})
	for range 4 { // until one starts at the endpoint that stalls
		r := p.post("/stream/chat/x")
		is.NoErr(r.err)
		is.Equal(strings.Count(r.body, "data: piece"), 5)
		is.True(strings.HasSuffix(r.body, "id: 4\ndata: piece 4\n\n"))
		if runs := f.received(r.id); len(runs) == 2 {
			is.Equal(runs[0].Endpoint, "engine-0")
			is.Equal(runs[1].Header.Get("Last-Event-Id"), "1")
			return
		}
	}
	t.Fatal("no stream was resumed")
}

// Guards against sound streams that are cut because they are slow, or because
// their caller reads slowly: pauses of up to three times the route's are no stall.
func TestSlowStreamsAreNotCut(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 0)
	p := f.start(nil).await()
	f.setFaults("", standin.EndpointFaults{EventInterval: 900 * time.Millisecond, Events: 4})
	for _, path := range []string{"/stream/chat/x", "/stream/brief/x"} {
		r := p.call(context.Background(), http.MethodPost, path, "body", map[string]string{"X-Goldcrestturn-Deadline-Ms": "9000"})
		is.NoErr(r.err)
		is.Equal(strings.Count(r.body, "data: piece"), 4)
		is.Equal(len(f.received(r.id)), 1)
	}
}
