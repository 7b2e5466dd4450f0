package rollout

import (
	"maps"
	"strconv"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Latch is the monotonic state of a rollout that processes exchange. Latches are
// merged by maximum.
type Latch int64

// The latches.
const (
	LatchNone           Latch = iota
	LatchEnoughEvidence       // both versions have the minimum of evidence
	LatchSuspended            // the new version gets no more work
)

// LatchName returns the name of the latch of a rollout. It includes the start
// time, so that a later rollout with the same name does not inherit the verdict.
func LatchName(name string, r lists.Rollout) string {
	return name + "@" + strconv.FormatInt(r.Start.Unix(), 36)
}

// PruneLatches removes the latches of rollouts that the configuration records as
// ended, since that record takes precedence.
func PruneLatches(l *lists.Lists, latches map[string]int64) {
	for name, r := range l.Rollouts {
		if r.State != lists.RolloutActive {
			delete(latches, LatchName(name, r))
		}
	}
}

// Latch returns the latch for v.
func (v Verdict) Latch() Latch {
	switch {
	case v.Suspended:
		return LatchSuspended
	case v.EnoughEvidence:
		return LatchEnoughEvidence
	}
	return LatchNone
}

// Active is a rollout in progress with its latch.
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

// Selector decides which version a request gets. It is immutable.
type Selector struct {
	versions map[model.Pool]model.Version
	active   map[model.Pool]Active
}

// NewSelector returns the selector for the lists and the latches by name.
func NewSelector(l *lists.Lists, latches map[string]int64) Selector {
	s := Selector{versions: map[model.Pool]model.Version{}, active: map[model.Pool]Active{}}
	for name, p := range l.Pools {
		s.versions[name] = p.Version
	}
	for name, r := range l.Rollouts {
		if r.State != lists.RolloutActive {
			continue
		}
		// A pool has one active rollout. If there are several, every process uses the
		// one with the first name.
		if old, taken := s.active[r.Pool]; !taken || name < old.Name {
			s.active[r.Pool] = Active{Name: name, Rollout: r, Latch: Latch(latches[LatchName(name, r)])}
		}
	}
	return s
}

// Active returns the active rollout of a pool.
func (s Selector) Active(pool model.Pool) (Active, bool) {
	a, ok := s.active[pool]
	return a, ok
}

// Choice is the version of a request and the version to fall back to.
type Choice struct {
	Preferred model.Version // empty means any version
	Fallback  model.Version // empty means none
}

// Choose returns the versions for a request at now. A chat of the new version
// may fall back to the old one, which is known to be good; a chat of the old
// version never moves to the new one early.
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

// Suspended reports whether a version of a pool gets no more work.
func (s Selector) Suspended(pool model.Pool, v model.Version) bool {
	a, ok := s.active[pool]
	return ok && a.Latch == LatchSuspended && v == a.New
}

// CachedSelector holds the selector for the current lists and latches. It belongs
// to the control goroutine; the selector in it is replaced, never modified.
type CachedSelector struct {
	Selector
	lists   *lists.Lists
	latches map[string]int64
}

// Update replaces the selector if the lists or a latch changed and drops the
// latches of ended rollouts. It reports whether the selector was replaced.
func (s *CachedSelector) Update(l *lists.Lists, latches map[string]int64) bool {
	if s.lists == l && maps.Equal(s.latches, latches) {
		return false
	}
	PruneLatches(l, latches)
	*s = CachedSelector{Selector: NewSelector(l, latches), lists: l, latches: maps.Clone(latches)}
	return true
}
