package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/retry"
)

const length = 10 * time.Second

// Guards against routers that together repeat more than the operators' bound:
// one repeat for each five requests and the burst, over any window.
func TestRoutersTogetherKeepTheBudget(t *testing.T) {
	const (
		routers, ratio, burst = 5, 0.2, 58.0
		step                  = 50 * time.Millisecond
		perStep               = 2 // requests of each router
		steps                 = int(2 * length / step)
	)
	is := is.New(t)
	windows := make([]*retry.Window, routers)
	for i := range windows {
		windows[i] = retry.NewWindow(length)
	}
	var repeats [steps]int
	start := time.Unix(0, 0)
	for i := range steps {
		now := start.Add(time.Duration(i) * step)
		for _, w := range windows {
			for range perStep {
				w.AddRequest(now)
				if w.AllowRetry(now, ratio, burst, routers) {
					repeats[i]++
				}
			}
		}
	}
	inWindow := int(length / step)
	total := 0
	for i, n := range repeats {
		total += n
		if i >= inWindow {
			total -= repeats[i-inWindow]
		}
		// Of a window that began before the first request, only its part counts.
		requests := min(i+1, inWindow) * perStep * routers
		is.True(float64(total) <= ratio*float64(requests)+burst)
	}
	is.True(total > inWindow*perStep*routers/10) // the ratio is used, not the burst alone
}

// Guards against repeats that count for ever.
func TestRepeatsLeaveTheWindow(t *testing.T) {
	is := is.New(t)
	w := retry.NewWindow(length)
	now := time.Unix(0, 0)
	is.True(w.AllowRetry(now, 0, 2, 1))
	is.True(!w.AllowRetry(now.Add(length/2), 0, 2, 1))
	is.True(w.AllowRetry(now.Add(length+time.Millisecond), 0, 2, 1))
}
