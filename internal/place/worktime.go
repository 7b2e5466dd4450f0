package place

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// usualVariation is the factor around the usual work time within which a work time
	// counts as usual. It varies by some tens of percent many times a second, which is
	// over before the next request arrives at the endpoint.
	usualVariation = 1.5
	// minWorkFactor bounds the work time that counts from below, so that an endpoint which
	// states a figure that is far too low does not get all requests up to the load bound.
	minWorkFactor = 0.5
	// workTimeSmoothing is the weight of a new figure against those before it. The mean of
	// figures that vary by half then stays within usualVariation.
	workTimeSmoothing = 0.4
	// workTimeJump is the factor between a figure and the smoothed one from which the new one
	// replaces it, so that an endpoint that becomes slow counts as slow after one answer.
	workTimeJump = 2
	// minWorkTimeHold is how long the smoothed figure counts in full. At 28 routers an
	// endpoint answers some ten requests a second, so one of the routers renews the figure
	// of a slow endpoint in time. A third later it no longer counts.
	minWorkTimeHold = time.Second
	workTimeFades   = 2 // time over which it fades after that, in units of the time for which it holds
)

// workTime is the work time of an endpoint as its answers stated it.
type workTime struct {
	value  float64 // smoothed; 0 if it was never stated
	at     time.Time
	slow   time.Time // since when all figures were above the usual variation; zero if the last was not
	told   float64   // figure in the last message to or from the peers; 0 if there was none
	toldAt time.Time
}

// add applies a figure that an answer stated.
func (w *workTime) add(now time.Time, figure float64) {
	ratio := figure / w.value
	if w.value == 0 || ratio >= workTimeJump || ratio <= 1.0/workTimeJump {
		w.value = figure
	} else {
		w.value += workTimeSmoothing * (figure - w.value)
	}
	w.at = now
	w.note(now, figure)
}

// note records whether a figure is above the usual variation.
func (w *workTime) note(now time.Time, figure float64) {
	switch {
	case figure < usualVariation:
		w.slow = time.Time{}
	case w.slow.IsZero():
		w.slow = now
	}
}

// minSlowTime is how long an endpoint must have been slow before a prompt is moved away from
// it. Machines that are slow by turns, several times a second, are as slow elsewhere next:
// prompts moved twice as often, and twice as many shared parts were read again.
const minSlowTime = 700 * time.Millisecond

// lasts reports whether the endpoint is slow and has been so for a while.
func (w *workTime) lasts(now time.Time, hold time.Duration) bool {
	return w.factor(now, hold) > 1 && !w.slow.IsZero() && now.Sub(w.slow) >= minSlowTime
}

// factor returns the work time that counts now, 1 if it is usual or not known. It counts in
// full for hold, since a slow period lasts for seconds, and then fades to the usual value:
// an endpoint that gets no requests because of an old figure could not state a new one.
func (w *workTime) factor(now time.Time, hold time.Duration) float64 {
	if w.value == 0 {
		return 1
	}
	fade := 1 - float64(now.Sub(w.at)-hold)/float64(workTimeFades*hold)
	return max(minWorkFactor, aboveVariation(1+(w.value-1)*min(1, max(0, fade))))
}

// aboveVariation returns f, or 1 if f is within the usual variation.
func aboveVariation(f float64) float64 {
	if f < usualVariation && f > 1/usualVariation {
		return 1
	}
	return f
}

// workTimeHold returns how long a work time counts in full. Peers are notified of a slow
// endpoint at this interval, so in large fleets it grows with the interval between load
// reports, and with it stays within the budget for messages.
func (t *Table) workTimeHold() time.Duration {
	return max(minWorkTimeHold, LoadReportInterval(len(t.peers)))
}

// WorkTimeNotice returns the hash and the work time of an endpoint whose load was recorded
// just before. changed reports that it became slow, fast or usual, tell that the peers should
// be notified: for that reason, or since the figure of their last notice no longer counts
// and it is not usual. Both are false while this router has sent its share of notices.
func (t *Table) WorkTimeNotice(now time.Time, id model.EndpointID) (endpoint uint32, figure float64, changed, tell bool) {
	s := t.endpoints[id]
	if s == nil || s.work.at != now {
		return 0, 0, false, false
	}
	w, hold := &s.work, t.workTimeHold()
	told := workTime{value: w.told, at: w.toldAt}
	known := told.factor(now, hold)
	figure = aboveVariation(w.value)
	changed = figure/known >= usualVariation || figure/known <= 1/usualVariation
	if !changed && (figure == 1 || now.Sub(w.toldAt) < hold) || !t.allowNotice(now) {
		return s.hash, figure, false, false
	}
	w.told, w.toldAt = figure, now
	return s.hash, figure, changed, true
}

const (
	// noticesPerS is the number of notices a second of all routers together. With 60 bytes
	// each a router receives 2 KB a second, of 11 that it may use for control, also if
	// endpoints state figures that jump with each answer.
	noticesPerS = 33
	// noticeBurst is the number of notices that a router may send at once, as when a quarter
	// of the endpoints becomes slow.
	noticeBurst = 8
)

// allowNotice takes one notice from the share of this router and reports whether there was one
// left.
func (t *Table) allowNotice(now time.Time) bool {
	limit := rate.Limit(noticesPerS / float64(len(t.peers)+1))
	if t.notices == nil {
		t.notices = rate.NewLimiter(limit, noticeBurst)
	}
	if t.notices.Limit() != limit {
		t.notices.SetLimitAt(now, limit)
	}
	return t.notices.AllowN(now, 1)
}

// ApplyWorkTime applies the work time of an endpoint of which a peer sent a notice.
func (t *Table) ApplyWorkTime(now time.Time, endpoint uint32, figure float64) {
	s := t.byHash[endpoint]
	if s == nil || !(figure > 0) {
		return
	}
	s.work = workTime{value: figure, at: now, slow: s.work.slow, told: figure, toldAt: now}
	s.work.note(now, figure)
	t.timesOf(s.Pool).workTimeStated = true
}
