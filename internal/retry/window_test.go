package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/retry"
)

const duration = 10 * time.Second

// Guards against routers that together exceed the operators' retry limit, one
// retry for every five requests plus the burst, in any window.
func TestRoutersTogetherKeepTheBudget(t *testing.T) {
	const (
		routers, ratio, burst = 5, 0.2, 58.0
		step                  = 50 * time.Millisecond
		perStep               = 2 // requests of each router
		steps                 = int(2 * duration / step)
	)
	is := is.New(t)
	windows := make([]*retry.Window, routers)
	for i := range windows {
		windows[i] = retry.NewWindow(duration)
	}
	var retries [steps]int
	start := time.Unix(0, 0)
	for i := range steps {
		now := start.Add(time.Duration(i) * step)
		for _, w := range windows {
			for range perStep {
				w.AddRequest(now)
				if w.AllowRetry(now, ratio, burst, routers) {
					retries[i]++
				}
			}
		}
	}
	inWindow := int(duration / step)
	total := 0
	for i, n := range retries {
		total += n
		if i >= inWindow {
			total -= retries[i-inWindow]
		}
		// A window that began before the first request covers fewer steps.
		requests := min(i+1, inWindow) * perStep * routers
		is.True(float64(total) <= ratio*float64(requests)+burst)
	}
	is.True(total > inWindow*perStep*routers/10) // the ratio is used as well, not only the burst
}

// Guards against retries that are counted for ever.
func TestRetriesLeaveTheWindow(t *testing.T) {
	is := is.New(t)
	w := retry.NewWindow(duration)
	now := time.Unix(0, 0)
	is.True(w.AllowRetry(now, 0, 2, 1))
	is.True(!w.AllowRetry(now.Add(duration/2), 0, 2, 1))
	is.True(w.AllowRetry(now.Add(duration+time.Millisecond), 0, 2, 1))
}
