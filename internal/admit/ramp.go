package admit

// maxWindow is the window of pools that set no slots.
const maxWindow = 256

// ramp limits the work without a first token. All of that work might meet a
// cold endpoint, so it stays within what a cold endpoint bears even while the
// endpoint is thought warm.
type ramp struct {
	enabled bool
	limit   int64 // units without a first token
	top     int   // window of a warm endpoint
	window  int   // requests without a first token
	units   int64
	count   int
}

func newRamp() ramp { return ramp{top: maxWindow, window: 1} }

func (r *ramp) setLimits(l Limits) {
	r.enabled, r.limit, r.top = l.ColdLimit > 0, l.ColdLimit, maxWindow
	if l.Slots > 0 {
		r.top = l.Slots
	}
	r.window = min(r.window, r.top)
}

// fits reports whether work of the given units may be added. One request is
// always allowed, since smaller portions do not exist.
func (r *ramp) fits(units int64) bool {
	return !r.enabled || r.count == 0 || r.count < r.window && r.units+units <= r.limit
}

func (r *ramp) add(w *running) {
	r.units += w.units()
	r.count++
}

func (r *ramp) forget(w *running) {
	r.units -= w.units()
	r.count--
}

// confirm notes the first token of w. In time it doubles the window up to half
// of the top and adds one from there on.
func (r *ramp) confirm(w *running, inTime bool) {
	r.forget(w)
	if !inTime {
		if !w.late {
			r.slow()
		}
		return
	}
	if r.window < r.top/2 {
		r.window *= 2
	} else {
		r.window = min(r.window+1, r.top)
	}
}

// slow notes a late first token. A warm endpoint becomes cold; the window of a
// cold one halves.
func (r *ramp) slow() {
	if r.window >= r.top {
		r.cold()
		return
	}
	r.window = max(1, r.window/2)
}

func (r *ramp) cold() { r.window = 1 }

// isCold reports whether the window is below that of a warm endpoint.
func (r *ramp) isCold() bool { return r.enabled && r.window < r.top }
