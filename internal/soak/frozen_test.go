package soak

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// Guards against part of an answer without a length that a caller gets as complete because the
// router stood still while its endpoint crashed and came back: the endpoint accepts connections
// again when the router reads the end.
func TestAnswersWhoseEndAFrozenRouterMissed(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const latency = time.Second
	f := newFleet(t, buildRouter(t), 0, 0, 1)
	f.addDirectEndpoint("engine-direct", "engines").SetFaults(standin.EndpointFaults{Latency: latency, DieAfter: 2, DownTime: latency})
	f.addDirectEndpoint("service-direct", "service").SetFaults(standin.EndpointFaults{Latency: latency, DieAfter: 2, DownTime: latency})
	if !f.awaitReady(recoveryTimeout) {
		t.Fatal("the router is not ready at the start")
	}
	p := f.routers[0]
	complete := make(chan string, 2)
	paths := []string{"/assign/x", "/stream/brief/x"}
	for _, path := range paths {
		go func() {
			req, _ := http.NewRequest(http.MethodPost, "http://"+p.callerAddress+path, strings.NewReader("body"))
			req.Host = "app.example"
			req.Header.Set("X-Goldcrestturn-Request-Id", strings.ReplaceAll(path, "/", "-"))
			req.Header.Set("X-Goldcrestturn-Deadline-Ms", "5000")
			req.Header.Set("Authorization", "Bearer key-1")
			res, err := http.DefaultClient.Do(req)
			if err == nil {
				defer res.Body.Close()
				var body []byte
				if body, err = io.ReadAll(res.Body); err == nil && res.StatusCode == http.StatusOK {
					complete <- path + " " + string(body)
					return
				}
			}
			complete <- ""
		}()
	}
	time.Sleep(latency / 2)
	p.signal(syscall.SIGSTOP, false)
	time.Sleep(3 * latency)
	p.signal(syscall.SIGCONT, false)
	for range paths {
		if c := <-complete; c != "" {
			t.Errorf("part of an answer is complete: %s", c)
		}
	}
}
