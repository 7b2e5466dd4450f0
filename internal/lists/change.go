package lists

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Kind names one of the maps of Lists.
type Kind string

// The kinds of item in the lists.
const (
	KindPlan       Kind = "plan"
	KindWorkspace  Kind = "workspace"
	KindPool       Kind = "pool"
	KindRoute      Kind = "route"
	KindDataCentre Kind = "data-centre"
	KindRollout    Kind = "rollout"
	KindReleased   Kind = "released"
)

// Change sets or removes one item.
type Change struct {
	Kind  Kind            `json:"kind"`
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value,omitempty"` // absent to remove the item
}

// NewChange returns the change that sets an item.
func NewChange(kind Kind, name string, value any) (Change, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return Change{}, eris.Wrapf(err, "lists: %s %s cannot be encoded", kind, name)
	}
	return Change{Kind: kind, Name: name, Value: data}, nil
}

// Diff returns the changes that turn from into to, in a fixed order.
func Diff(from, to *Lists) ([]Change, error) {
	var out []Change
	for _, step := range []func(*[]Change) error{
		func(o *[]Change) error { return diffMap(o, KindPlan, from.Plans, to.Plans) },
		func(o *[]Change) error { return diffMap(o, KindWorkspace, from.Workspaces, to.Workspaces) },
		func(o *[]Change) error { return diffMap(o, KindPool, from.Pools, to.Pools) },
		func(o *[]Change) error { return diffMap(o, KindRoute, from.Routes, to.Routes) },
		func(o *[]Change) error { return diffMap(o, KindDataCentre, from.DataCentres, to.DataCentres) },
		func(o *[]Change) error { return diffMap(o, KindRollout, from.Rollouts, to.Rollouts) },
		func(o *[]Change) error { return diffMap(o, KindReleased, from.Released, to.Released) },
	} {
		if err := step(&out); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func diffMap[K ~string, V any](out *[]Change, kind Kind, from, to map[K]V) error {
	for _, name := range slices.Sorted(maps.Keys(to)) {
		old, had := from[name]
		if had && reflect.DeepEqual(old, to[name]) {
			continue
		}
		c, err := NewChange(kind, string(name), to[name])
		if err != nil {
			return err
		}
		*out = append(*out, c)
	}
	for _, name := range slices.Sorted(maps.Keys(from)) {
		if _, kept := to[name]; !kept {
			*out = append(*out, Change{Kind: kind, Name: string(name)})
		}
	}
	return nil
}

// Apply returns the lists after changes. It does not modify l and copies only
// the maps that change.
func (l *Lists) Apply(changes []Change) (*Lists, error) {
	next := *l
	cloned := map[Kind]bool{}
	for _, c := range changes {
		if err := next.applyOne(c, cloned); err != nil {
			return nil, err
		}
		cloned[c.Kind] = true
	}
	return &next, nil
}

func (l *Lists) applyOne(c Change, cloned map[Kind]bool) error {
	switch c.Kind {
	case KindPlan:
		return setItem(&l.Plans, model.Plan(c.Name), c, cloned)
	case KindWorkspace:
		return setItem(&l.Workspaces, model.Workspace(c.Name), c, cloned)
	case KindPool:
		return setItem(&l.Pools, model.Pool(c.Name), c, cloned)
	case KindRoute:
		return setItem(&l.Routes, model.Route(c.Name), c, cloned)
	case KindDataCentre:
		return setItem(&l.DataCentres, model.DataCentre(c.Name), c, cloned)
	case KindRollout:
		return setItem(&l.Rollouts, c.Name, c, cloned)
	case KindReleased:
		return setItem[string, time.Time](&l.Released, c.Name, c, cloned)
	}
	return eris.Errorf("lists: unknown kind of item %q", c.Kind)
}

func setItem[K comparable, V any](m *map[K]V, name K, c Change, cloned map[Kind]bool) error {
	if !cloned[c.Kind] {
		*m = maps.Clone(*m)
		if *m == nil {
			*m = map[K]V{}
		}
	}
	if len(c.Value) == 0 {
		delete(*m, name)
		return nil
	}
	var v V
	if err := json.Unmarshal(c.Value, &v); err != nil {
		return eris.Wrapf(err, "lists: %s %q", c.Kind, c.Name)
	}
	(*m)[name] = v
	return nil
}
