package order

import (
	"slices"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Target is what an engine should have loaded.
type Target struct {
	Versions []model.Version // sorted
	Adapters []string        // sorted
	Role     string          // empty leaves the role alone
}

// Equal reports whether two targets are the same.
func (w Target) Equal(o Target) bool {
	return slices.Equal(w.Versions, o.Versions) && slices.Equal(w.Adapters, o.Adapters) && w.Role == o.Role
}

// DeriveTarget returns what the engines of a pool should have loaded. During a
// rollout they hold both versions, so that a chat can go back to the old one at
// once. After it they hold the version that won, even before the pool's own
// version is changed in the lists.
func DeriveTarget(l *lists.Lists, pool model.Pool) Target {
	p := l.Pools[pool]
	w := Target{Adapters: slices.Sorted(slices.Values(p.Adapters)), Role: string(p.Role)}
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
		w.Versions = append(w.Versions, v)
	}
	slices.Sort(w.Versions)
	return w
}
