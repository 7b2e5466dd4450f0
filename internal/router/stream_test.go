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

// Guards against sound streams that are cut, and whose prompts are read in vain, since
// their endpoint is silent for longer than a stall although no other one can take over.
func TestSilentStreamsWithoutAnAlternativeAreNotCut(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0)
	p := f.start(nil).await()
	for _, faults := range []standin.EndpointFaults{
		{EventInterval: 1800 * time.Millisecond, Events: 2}, {FirstEvent: 1800 * time.Millisecond},
	} {
		f.setFaults("", faults)
		r := p.post("/stream/chat/x")
		is.NoErr(r.err)
		is.Equal(r.status, http.StatusOK)
		is.Equal(len(f.received(r.id)), 1)
	}
}

// Guards against a closed connection in place of an answer, and against a success, for a
// stream whose endpoint sent the head but no event until the time of the request ended.
func TestStreamsWithoutAnEventGetAnAnswer(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0)
	p := f.start(nil).await()
	f.setFaults("", standin.EndpointFaults{FirstEvent: 3 * time.Second})
	for _, path := range []string{"/stream/chat/x", "/stream/brief/x"} {
		r := p.call(context.Background(), http.MethodPost, path, "body", map[string]string{"X-Goldcrestturn-Deadline-Ms": "700"})
		is.NoErr(r.err)
		is.Equal(r.status, http.StatusGatewayTimeout)
		is.Equal(r.header.Get("X-Goldcrestturn-Server-Signature"), "") // a failure of the router
	}
}

// Guards against the error of another endpoint, or its head, in the middle of a stream
// that had begun and broke off, and against a stream that then looks complete.
func TestErrorsOfOtherEndpointsAreNoPartOfAStream(t *testing.T) {
	for name, next := range map[string]standin.EndpointFaults{
		"fails": {Fail: true}, "refuses": {RefuseAll: true}, "sends no answer": {Garble: true}, "has no signature": {Unsigned: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 2, 0)
			p := f.start(nil).await()
			f.endpoints[0].SetFaults(standin.EndpointFaults{TruncateAfter: 3})
			f.endpoints[1].SetFaults(next)
			eventually(t, "a stream begins and breaks off", func() bool {
				r := p.post("/stream/chat/x")
				runs := f.received(r.id)
				if r.status != http.StatusOK {
					return false
				}
				is.True(r.err != nil)
				is.Equal(r.body, "id: 0\ndata: piece 0\n\nid: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n")
				return len(runs) == 2
			})
		})
	}
}

// Guards against a stream without a length that is passed on as complete although its
// endpoint crashed before the first event: the end of the connection looks like its end.
func TestStreamsWithoutALengthAndAnEventAreBrokenOff(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0)
	p := f.start(nil).await()
	f.setFaults("", standin.EndpointFaults{Unframed: true, Events: 3})
	r := p.post("/stream/brief/x")
	is.NoErr(r.err)
	is.Equal(strings.Count(r.body, "data: piece"), 3)
	f.setFaults("", standin.EndpointFaults{Unframed: true})
	r = p.post("/stream/brief/x")
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusBadGateway)
	is.Equal(r.body, "")
	f.setFaults("", standin.EndpointFaults{Events: -1})
	r = p.post("/stream/brief/x") // complete by its framing
	is.NoErr(r.err)
	is.Equal(r.body, "")
}

// Guards against a stream that joins pieces of two endpoints, since its first endpoint failed
// right before the blank line that ends an event with a long line, and against a sound stream
// that is resumed or broken off for such a line.
func TestStreamsWithLongLinesGoOnElsewhere(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 0)
	p := f.start(nil).await()
	const events = 5
	for _, line := range []int{1022, 1023, 1024, 1025, 2048, 4096, 32 << 10} {
		want := ""
		for i := range events {
			want += standin.Event(i, line)
		}
		for after, runs := range map[int]int{0: 1, 3: 2} {
			f.setFaults("", standin.EndpointFaults{TruncateAfter: after, Unsent: 1, EventLine: line, Events: events})
			r := p.post("/stream/chat/x")
			is.Equal(r.status, http.StatusOK)
			is.NoErr(r.err)
			is.Equal(len(r.body), len(want))
			is.True(r.body == want)
			is.Equal(len(f.received(r.id)), runs)
		}
	}
}

// Guards against a complete stream that is resumed or broken off, since its endpoint sends a
// blank line more than its last event needs.
func TestStreamsThatEndWithABlankLineMore(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 0)
	p := f.start(nil).await()
	f.setFaults("", standin.EndpointFaults{Events: 3, LastBlanks: 1})
	for _, path := range []string{"/stream/chat/x", "/stream/brief/x"} {
		r := p.post(path)
		is.Equal(r.status, http.StatusOK)
		is.NoErr(r.err)
		is.Equal(r.body, standin.Event(0, 0)+standin.Event(1, 0)+standin.Event(2, 0)+"\n")
		is.Equal(len(f.received(r.id)), 1)
	}
}
