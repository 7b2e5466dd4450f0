package admit

// defaultWindow is the warm-up window of a warm endpoint, in requests, in pools
// that set no slots.
const defaultWindow = 256

// warmupWindow limits the unconfirmed work, which is work without a first token.
// The endpoint may turn out to be cold for all of it, so it stays within the cold
// limit even while the endpoint is assumed to be warm.
type warmupWindow struct {
	enabled  bool
	maxUnits int64 // cold limit
	maxSize  int   // size for a warm endpoint
	size     int   // maximum number of unconfirmed requests
	units    int64 // unconfirmed units
	count    int   // unconfirmed requests
}

func newWarmupWindow() warmupWindow { return warmupWindow{maxSize: defaultWindow, size: 1} }

func (w *warmupWindow) setLimits(l Limits) {
	w.enabled, w.maxUnits, w.maxSize = l.ColdLimit > 0, l.ColdLimit, defaultWindow
	if l.Slots > 0 {
		w.maxSize = l.Slots
	}
	w.size = min(w.size, w.maxSize)
}

// fits reports whether work of the given units may be added. One request is
// always allowed, since a request cannot be divided.
func (w *warmupWindow) fits(units int64) bool {
	return !w.enabled || w.count == 0 || w.count < w.size && w.units+units <= w.maxUnits
}

func (w *warmupWindow) add(a *admittedWork) {
	w.units += a.units()
	w.count++
}

func (w *warmupWindow) remove(a *admittedWork) {
	w.units -= a.units()
	w.count--
}

// confirm records the first token of a. If it arrived in time, the window doubles
// up to half of its maximum size and grows by one from there on.
func (w *warmupWindow) confirm(a *admittedWork, inTime bool) {
	w.remove(a)
	if !inTime {
		if !a.overdue {
			w.shrink()
		}
		return
	}
	if w.size < w.maxSize/2 {
		w.size *= 2
	} else {
		w.size = min(w.size+1, w.maxSize)
	}
}

// shrink reduces the window after a late first token. A warm endpoint becomes
// cold; the window of a cold one is halved.
func (w *warmupWindow) shrink() {
	if w.size >= w.maxSize {
		w.reset()
		return
	}
	w.size = max(1, w.size/2)
}

func (w *warmupWindow) reset() { w.size = 1 }

// isCold reports whether the window is smaller than that of a warm endpoint.
func (w *warmupWindow) isCold() bool { return w.enabled && w.size < w.maxSize }
