package admit

import (
	"math"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Headroom of workspaces that hold little.
const (
	// headroomShare is the part of the bound and of the slots that the workspace
	// holding most leaves to the others. With an eighth, one
	// of 8 slots stays free for them.
	headroomShare = 1.0 / 8
	// recentTime is how long a workspace counts as active after its last
	// request.
	recentTime = 10 * time.Second
	// maxRecent bounds the workspaces that are remembered as active.
	maxRecent = 256
)

// recent remembers when the workspaces last offered work.
type recent map[model.Workspace]time.Time

func (r recent) note(w model.Workspace, now time.Time) {
	r[w] = now
	if len(r) <= maxRecent {
		return
	}
	for name, at := range r {
		if now.Sub(at) > recentTime || len(r) > maxRecent {
			delete(r, name)
		}
	}
}

// active returns the number of workspaces that offered work lately.
func (r recent) active(now time.Time) int {
	n := 0
	for _, at := range r {
		if now.Sub(at) <= recentTime {
			n++
		}
	}
	return n
}

// fits says whether w may run now.
func (c *Controller) fits(now time.Time, w Work) verdict {
	units, bound := w.Cost.Units(), c.Bound(now)
	if len(c.running) == 0 {
		return fits // one request is always allowed
	}
	if c.limits.Slots > 0 && len(c.running) >= c.limits.Slots {
		return blocked
	}
	if float64(c.load+units) > bound {
		return blocked
	}
	if !c.off.ColdLimit && !c.ramp.fits(units) {
		return blocked
	}
	if c.leavesTooLittle(now, w, bound) {
		return held
	}
	return fits
}

// leavesTooLittle reports whether w would use the headroom although no other
// workspace holds more than its own.
func (c *Controller) leavesTooLittle(now time.Time, w Work, bound float64) bool {
	if c.off.Fairness || !c.holdsMost(w.Workspace) || c.lastSeen.active(now) < 2 {
		return false
	}
	slots := c.limits.Slots
	if slots > 1 && len(c.running) >= slots-max(1, int(float64(slots)*headroomShare)) {
		return true
	}
	return !math.IsInf(bound, 1) && float64(c.load+w.Cost.Units()) > bound*(1-headroomShare)
}

// holdsMost reports whether no workspace holds more of the load than w.
func (c *Controller) holdsMost(w model.Workspace) bool {
	own := c.holding[w]
	for _, units := range c.holding {
		if units > own {
			return false
		}
	}
	return own > 0
}
