package order

import (
	"slices"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Target is the target state of an engine.
type Target struct {
	Versions []model.Version // sorted
	Adapters []string        // sorted
	Role     string          // empty means that the role is not changed
}

// Equal reports whether two targets are equal.
func (t Target) Equal(o Target) bool {
	return slices.Equal(t.Versions, o.Versions) && slices.Equal(t.Adapters, o.Adapters) && t.Role == o.Role
}

// DeriveTarget returns the target state of the engines of a pool. During a rollout
// both versions are loaded, so that a chat can return to the old version
// immediately. After it only the version that won is loaded, even before the
// version of the pool is changed in the lists.
func DeriveTarget(l *lists.Lists, pool model.Pool) Target {
	p := l.Pools[pool]
	t := Target{Adapters: slices.Sorted(slices.Values(p.Adapters)), Role: string(p.Role)}
	versions := map[model.Version]bool{p.Version: true}
	var last lists.Rollout
	for _, r := range l.Rollouts {
		if r.Pool == pool && r.Start.After(last.Start) {
			last = r
		}
	}
	switch {
	case last.State == lists.RolloutActive:
		versions = map[model.Version]bool{last.Old: true, last.New: true}
	case last.State == lists.RolloutDone && p.Version == last.Old:
		versions = map[model.Version]bool{last.New: true}
	}
	delete(versions, "")
	for v := range versions {
		t.Versions = append(t.Versions, v)
	}
	slices.Sort(t.Versions)
	return t
}
