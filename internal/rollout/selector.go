package rollout

import (
	"maps"
	"strconv"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Latch is what processes tell each other about a rollout. Latches merge by
// maximum.
type Latch int64

// The latches.
const (
	LatchNone           Latch = iota
	LatchEnoughEvidence       // the minimum of evidence is there
	LatchSuspended            // the new version gets no more work
)

// LatchName names the latch of a rollout. It holds the start, so that a later
// rollout with the same name does not inherit the verdict.
func LatchName(name string, r lists.Rollout) string {
	return name + "@" + strconv.FormatInt(r.Start.Unix(), 36)
}

// PruneLatches removes the latches of rollouts that the configuration records
// as ended. The record is then what counts.
func PruneLatches(l *lists.Lists, latches map[string]int64) {
	for name, r := range l.Rollouts {
		if r.State != lists.RolloutActive {
			delete(latches, LatchName(name, r))
		}
	}
}

// Latch returns the latch that v amounts to.
func (v Verdict) Latch() Latch {
	switch {
	case v.Suspended:
		return LatchSuspended
	case v.EnoughEvidence:
		return LatchEnoughEvidence
	}
	return LatchNone
}

// Active is a rollout in progress with what is known about it.
type Active struct {
	Name string
	lists.Rollout
	Latch Latch
}

// Share returns the share of chats on the new version at now.
func (a Active) Share(now time.Time) float64 {
	if a.Latch == LatchSuspended {
		return 0
	}
	return Share(a.Rollout, now, a.Latch >= LatchEnoughEvidence)
}

// Selector tells which version a request gets. It is immutable.
type Selector struct {
	versions map[model.Pool]model.Version
	active   map[model.Pool]Active
}

// NewSelector returns the selector for lists and the latches known by name.
func NewSelector(l *lists.Lists, latches map[string]int64) Selector {
	s := Selector{versions: map[model.Pool]model.Version{}, active: map[model.Pool]Active{}}
	for name, p := range l.Pools {
		s.versions[name] = p.Version
	}
	for name, r := range l.Rollouts {
		if r.State != lists.RolloutActive {
			continue
		}
		// A pool has one active rollout; of several, the one with the first name counts everywhere.
		if old, taken := s.active[r.Pool]; !taken || name < old.Name {
			s.active[r.Pool] = Active{Name: name, Rollout: r, Latch: Latch(latches[LatchName(name, r)])}
		}
	}
	return s
}

// Active returns the rollout of a pool.
func (s Selector) Active(pool model.Pool) (Active, bool) {
	a, ok := s.active[pool]
	return a, ok
}

// Choice is the version of a request and the one to fall back on.
type Choice struct {
	Preferred model.Version // empty means any version
	Fallback  model.Version // empty means none
}

// Choose returns the versions for a request at now. A chat of the new version
// may fall back on the old one, which is known to be good; a chat of the old
// version never goes to the new one early.
func (s Selector) Choose(pool model.Pool, hashKey string, now time.Time) Choice {
	a, ok := s.active[pool]
	switch {
	case !ok:
		return Choice{Preferred: s.versions[pool]}
	case UsesNew(a.Name, hashKey, a.Share(now)):
		return Choice{Preferred: a.New, Fallback: a.Old}
	}
	return Choice{Preferred: a.Old}
}

// Suspended reports whether a version of a pool gets no work.
func (s Selector) Suspended(pool model.Pool, v model.Version) bool {
	a, ok := s.active[pool]
	return ok && a.Latch == LatchSuspended && v == a.New
}

// CachedSelector keeps the selector that belongs to the present lists and latches. It
// belongs to the control goroutine; the selector in it is replaced, never changed.
type CachedSelector struct {
	Selector
	lists   *lists.Lists
	latches map[string]int64
}

// Update works out the selector anew if the lists or a latch changed, and drops
// the latches of ended rollouts. It reports whether the selector is a new one.
func (s *CachedSelector) Update(l *lists.Lists, latches map[string]int64) bool {
	if s.lists == l && maps.Equal(s.latches, latches) {
		return false
	}
	PruneLatches(l, latches)
	*s = CachedSelector{Selector: NewSelector(l, latches), lists: l, latches: maps.Clone(latches)}
	return true
}
