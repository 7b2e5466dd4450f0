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

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// call is one attempt of a caller and what it got.
type call struct {
	id, kind, key, router string
	sent, ended           time.Time
	status                int
	body                  string
	signature             string
	err                   error
}

// callers send requests over kept connections until they are stopped.
type callers struct {
	fleet *fleet
	ids   atomic.Int64
	mu    sync.Mutex
	calls []call
	group sync.WaitGroup
}

var kinds = []string{"assign", "read", "stream/chat", "stream/brief"}

// run starts n callers that end with ctx.
func (c *callers) run(ctx context.Context, n int, seed uint64) {
	for i := range n {
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
			for ctx.Err() == nil {
				c.one(client, rng)
				time.Sleep(time.Duration(5+rng.IntN(40)) * time.Millisecond)
			}
		}()
	}
}

func (c *callers) one(client *http.Client, rng *rand.Rand) {
	r := call{id: fmt.Sprintf("c-%d", c.ids.Add(1)), kind: kinds[rng.IntN(len(kinds))], key: "key-1"}
	if rng.IntN(4) == 0 {
		r.key = "key-2"
	}
	p := c.fleet.routers[rng.IntN(len(c.fleet.routers))]
	r.router = p.name
	wait := 3 * time.Second
	leave := wait
	if rng.IntN(20) == 0 {
		leave = time.Duration(rng.IntN(60)) * time.Millisecond // the caller leaves early
	}
	ctx, cancel := context.WithTimeout(context.Background(), leave)
	defer cancel()
	method := http.MethodPost
	if r.kind == "read" {
		method = http.MethodGet
	}
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+p.callers+"/"+r.kind+"/x", strings.NewReader("body"))
	if method == http.MethodGet {
		req.Body, req.ContentLength = nil, 0
	}
	req.Host = "app.example"
	req.Header.Set("X-Goldcrestturn-Request-Id", r.id)
	req.Header.Set("X-Goldcrestturn-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
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

// all returns the calls so far.
func (c *callers) all() []call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]call(nil), c.calls...)
}

// arrivals returns what reached the endpoints by request id.
func (f *fleet) arrivals() map[string][]standin.ReceivedRequest {
	out := map[string][]standin.ReceivedRequest{}
	for _, m := range f.members {
		for _, s := range m.endpoint.Received() {
			out[s.ID] = append(out[s.ID], s)
		}
	}
	return out
}

// check holds each call against the promises of the platform's pages.
func (f *fleet) check(calls []call) {
	arrivals := f.arrivals()
	for _, c := range calls {
		runs := 0
		var signatures []string
		for _, s := range arrivals[c.id] {
			if s.Ran {
				runs++
				signatures = append(signatures, s.Endpoint+"."+c.id)
			}
			if s.Header.Get("X-Goldcrestturn-Tenant") != "studio" || s.Header.Get("Authorization") != "" {
				f.fail("%s reached %s as %q with key %q", c.id, s.Endpoint, s.Header.Get("X-Goldcrestturn-Tenant"), s.Header.Get("Authorization"))
			}
		}
		once := c.kind == "assign" || c.kind == "stream/brief"
		if once && runs > 1 {
			f.fail("%s (%s) ran %d times", c.id, c.kind, runs)
		}
		if once && (c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests) && c.err == nil && runs > 0 {
			f.fail("%s (%s) was refused as not run with %d and ran", c.id, c.kind, c.status)
		}
		if c.status == http.StatusOK && c.err == nil {
			f.checkAnswer(c, signatures)
		}
	}
}

// checkAnswer checks a whole answer: the endpoint's bytes, nothing missing,
// doubled or of another request.
func (f *fleet) checkAnswer(c call, signatures []string) {
	want := "answer to " + c.id
	if strings.HasPrefix(c.kind, "stream/") {
		var b strings.Builder
		for i := range ordinary.Events {
			fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
		}
		want = b.String()
	}
	if c.body != want {
		f.fail("%s (%s) got %q", c.id, c.kind, c.body)
	}
	for _, s := range signatures {
		if s == c.signature {
			return
		}
	}
	f.fail("%s (%s) has the signature %q of no endpoint that ran it", c.id, c.kind, c.signature)
}
