package admit

import (
	"math"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Headroom for workspaces with little load.
const (
	// headroomShare is the fraction of the load bound and of the slots that the
	// workspace with the largest load leaves to the others. With an eighth, one
	// of 8 slots stays free for them.
	headroomShare = 1.0 / 8
	// activeTime is how long a workspace counts as active after its last
	// request.
	activeTime = 10 * time.Second
	// maxActive bounds the workspaces whose activity is recorded.
	maxActive = 256
)

// activity holds the time at which work of each workspace was last submitted.
type activity map[model.Workspace]time.Time

func (a activity) record(w model.Workspace, now time.Time) {
	a[w] = now
	if len(a) <= maxActive {
		return
	}
	for name, at := range a {
		if now.Sub(at) > activeTime || len(a) > maxActive {
			delete(a, name)
		}
	}
}

// active returns the number of workspaces that submitted work within activeTime.
func (a activity) active(now time.Time) int {
	n := 0
	for _, at := range a {
		if now.Sub(at) <= activeTime {
			n++
		}
	}
	return n
}

// checkFit decides whether w may run now.
func (c *Controller) checkFit(now time.Time, w Work) fitResult {
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
	if !c.disabled.ColdLimit && !c.warmup.fits(units) {
		return blocked
	}
	if c.usesHeadroom(now, w, bound) {
		return needsHeadroom
	}
	return fits
}

// usesHeadroom reports whether w would use the headroom, although its workspace
// already has the largest load and other workspaces are active.
func (c *Controller) usesHeadroom(now time.Time, w Work, bound float64) bool {
	if c.disabled.Fairness || !c.hasLargestLoad(w.Workspace) || c.activity.active(now) < 2 {
		return false
	}
	slots := c.limits.Slots
	if slots > 1 && len(c.running) >= slots-max(1, int(float64(slots)*headroomShare)) {
		return true
	}
	return !math.IsInf(bound, 1) && float64(c.load+w.Cost.Units()) > bound*(1-headroomShare)
}

// hasLargestLoad reports whether w has load and no workspace has more.
func (c *Controller) hasLargestLoad(w model.Workspace) bool {
	own := c.workspaceLoad[w]
	for _, units := range c.workspaceLoad {
		if units > own {
			return false
		}
	}
	return own > 0
}
