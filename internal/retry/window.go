package retry

import "time"

// Window bounds the repeats of one pool over a sliding window. The bound holds
// over all routers, so each uses its share without asking the others.
type Window struct {
	length   time.Duration
	requests []time.Time
	repeats  []time.Time
}

// NewWindow returns an empty window of the given length.
func NewWindow(length time.Duration) *Window { return &Window{length: length} }

// ratioShare is the part of the permitted ratio that a router uses. Requests
// and their repeats may fall into different windows.
const ratioShare = 0.75

// AddRequest notes a new request.
func (w *Window) AddRequest(now time.Time) {
	w.trim(now)
	w.requests = append(w.requests, now)
}

// AllowRetry reports whether one more repeat is within ratio repeats a request and
// this router's share of burst, and counts it.
func (w *Window) AllowRetry(now time.Time, ratio, burst float64, routers int) bool {
	w.trim(now)
	limit := ratioShare*ratio*float64(len(w.requests)) + burst/float64(max(routers, 1)+1)
	if float64(len(w.repeats)+1) > limit {
		return false
	}
	w.repeats = append(w.repeats, now)
	return true
}

func (w *Window) trim(now time.Time) {
	w.requests = after(w.requests, now.Add(-w.length))
	w.repeats = after(w.repeats, now.Add(-w.length))
}

func after(times []time.Time, start time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(start) {
		i++
	}
	return append(times[:0], times[i:]...)
}
