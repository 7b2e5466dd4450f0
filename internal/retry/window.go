package retry

import "time"

// Window is a router's retry budget for one pool over a sliding window. The
// operators' limit is for all routers together; each router uses its share of it
// without coordination.
type Window struct {
	duration time.Duration
	requests []time.Time
	retries  []time.Time
}

// NewWindow returns an empty window of the given duration.
func NewWindow(duration time.Duration) *Window { return &Window{duration: duration} }

// SetDuration changes the duration. A longer window fills from now on.
func (w *Window) SetDuration(d time.Duration) { w.duration = d }

// ratioShare is the fraction of the permitted ratio that a router uses, since a
// request and its retries may fall into different windows.
const ratioShare = 0.75

// AddRequest counts a new request.
func (w *Window) AddRequest(now time.Time) {
	w.trim(now)
	w.requests = append(w.requests, now)
}

// AllowRetry reports whether one more retry is within ratio retries per request
// plus this router's share of burst, and counts it if so.
func (w *Window) AllowRetry(now time.Time, ratio, burst float64, routers int) bool {
	if !w.HasRetry(now, ratio, burst, routers) {
		return false
	}
	w.retries = append(w.retries, now)
	return true
}

// HasRetry reports whether AllowRetry would allow a retry, and counts none.
func (w *Window) HasRetry(now time.Time, ratio, burst float64, routers int) bool {
	w.trim(now)
	limit := ratioShare*ratio*float64(len(w.requests)) + burst/float64(max(routers, 1)+1)
	return float64(len(w.retries)+1) <= limit
}

func (w *Window) trim(now time.Time) {
	w.requests = dropBefore(w.requests, now.Add(-w.duration))
	w.retries = dropBefore(w.retries, now.Add(-w.duration))
}

// dropBefore removes the times before start from the sorted times.
func dropBefore(times []time.Time, start time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(start) {
		i++
	}
	return append(times[:0], times[i:]...)
}
