package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/origin"
	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// call is one request of a caller and its result.
type call struct {
	id, kind, key, router string
	sent, ended           time.Time
	status                int
	body                  string
	signature             string
	err                   error
}

// callers send requests over persistent connections until they are stopped.
type callers struct {
	fleet *fleet
	ids   atomic.Int64
	mu    sync.Mutex
	calls []call
	group sync.WaitGroup
}

// Bodies of longBodyBytes, within the limit of the configuration, are being sent when an
// endpoint breaks off its answer.
const (
	longBodyEvery = 10
	longBodyBytes = 60 << 10
)

// kinds are the paths of the routes, without the slashes at the ends.
var kinds = []string{"assign", "read", "stream/chat", "stream/brief"}

// start starts n callers that stop when ctx ends.
func (c *callers) start(ctx context.Context, n int, seed uint64) {
	for i := range n {
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
			for ctx.Err() == nil {
				c.sendRequest(client, rng)
				time.Sleep(time.Duration(5+rng.IntN(40)) * time.Millisecond)
			}
		}()
	}
}

// sendRequest sends one request to a random router and records the call.
func (c *callers) sendRequest(client *http.Client, rng *rand.Rand) {
	r := call{id: fmt.Sprintf("c-%d", c.ids.Add(1)), kind: kinds[rng.IntN(len(kinds))], key: "key-1"}
	if rng.IntN(4) == 0 {
		r.key = "key-2"
	}
	p := c.fleet.routers[rng.IntN(len(c.fleet.routers))]
	r.router = p.name
	deadline := 3 * time.Second
	cancelAfter := deadline
	if rng.IntN(20) == 0 {
		cancelAfter = time.Duration(rng.IntN(60)) * time.Millisecond // the caller cancels the request
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelAfter)
	defer cancel()
	method := http.MethodPost
	if r.kind == "read" {
		method = http.MethodGet
	}
	body := "body"
	if rng.IntN(longBodyEvery) == 0 {
		body = strings.Repeat("x", longBodyBytes)
	}
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+p.callerAddress+"/"+r.kind+"/x", strings.NewReader(body))
	if method == http.MethodGet {
		req.Body, req.ContentLength = nil, 0
	}
	req.Host = "app.example"
	req.Header.Set("X-Goldcrestturn-Request-Id", r.id)
	req.Header.Set("X-Goldcrestturn-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("X-Goldcrestturn-Prefix-Hash", fmt.Sprintf("%x:400,%x:20", 1+rng.IntN(12), 1000+rng.IntN(1<<30)))
	req.Header.Set("Authorization", "Bearer "+r.key)
	r.sent = time.Now()
	res, err := client.Do(req)
	if err != nil {
		r.err = err
	} else {
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		r.status, r.body, r.err, r.signature = res.StatusCode, string(body), err, res.Header.Get("X-Goldcrestturn-Server-Signature")
	}
	r.ended = time.Now()
	c.mu.Lock()
	c.calls = append(c.calls, r)
	c.mu.Unlock()
}

// snapshot returns a copy of the calls recorded so far.
func (c *callers) snapshot() []call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]call(nil), c.calls...)
}

// receivedRequests returns the requests that reached the endpoints, by request id.
func (f *fleet) receivedRequests() map[string][]standin.ReceivedRequest {
	out := map[string][]standin.ReceivedRequest{}
	for _, e := range f.endpoints {
		for _, r := range e.endpoint.Received() {
			out[r.ID] = append(out[r.ID], r)
		}
	}
	return out
}

// check compares the result of each call with the guarantees in the platform's
// documentation.
func (f *fleet) check(calls []call) {
	received := f.receivedRequests()
	for _, c := range calls {
		runs := 0
		var signatures []string
		for _, r := range received[c.id] {
			if r.Ran {
				runs++
				signatures = append(signatures, r.Endpoint+"."+c.id)
			}
			if r.Header.Get("X-Goldcrestturn-Tenant") != "studio" || r.Header.Get("Authorization") != "" {
				f.fail("%s reached %s as workspace %q with key %q", c.id, r.Endpoint, r.Header.Get("X-Goldcrestturn-Tenant"), r.Header.Get("Authorization"))
			}
		}
		atMostOnce := c.kind == "assign" || c.kind == "stream/brief"
		if atMostOnce && runs > 1 {
			f.fail("%s (%s) ran %d times", c.id, c.kind, runs)
		}
		if atMostOnce && (c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests) && c.err == nil && runs > 0 {
			f.fail("%s (%s) was refused as not run with status %d, but ran", c.id, c.kind, c.status)
		}
		if c.status != 0 && !origin.ValidStatus(c.status) {
			f.fail("%s (%s) was answered with status %d", c.id, c.kind, c.status)
		}
		if c.status == http.StatusOK && c.err == nil {
			f.checkAnswer(c, signatures)
		}
	}
}

// checkAnswer checks that a complete answer has exactly the bytes that the
// endpoint sends for this request, and the signature of an endpoint that ran it.
func (f *fleet) checkAnswer(c call, signatures []string) {
	want := "answer to " + c.id
	if strings.HasPrefix(c.kind, "stream/") {
		var b strings.Builder
		for i := range f.healthy.Events {
			b.WriteString(standin.Event(i, f.healthy.EventLine))
		}
		want = b.String() + strings.Repeat("\n", f.healthy.LastBlanks)
	}
	if c.body != want {
		f.fail("%s (%s) got %d bytes in place of %d: %.500q", c.id, c.kind, len(c.body), len(want), c.body)
	}
	for _, s := range signatures {
		if s == c.signature {
			return
		}
	}
	f.fail("%s (%s) has the signature %q, which is of no endpoint that ran it", c.id, c.kind, c.signature)
}
