package lists

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/goldcrestturn/goldcrestturn/internal/finding"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Bounds on one item.
const (
	MaxNameBytes = 64      // length of a name
	MaxItems     = 100_000 // number of items of one kind, well above 16,000 workspaces
)

// Check returns what makes the lists unusable: references to items that do not
// exist, values that no program can work with, and API keys that two workspaces
// share.
// Every reader checks the result of a record before it accepts the record, so
// Check depends on nothing but l. The parser also checks presence and ranges.
func (l *Lists) Check() finding.List {
	c := checker{lists: l}
	c.plans()
	c.workspaces()
	c.pools()
	c.routes()
	c.dataCentres()
	c.rollouts()
	slices.SortFunc(c.findings, func(a, b finding.Finding) int {
		return cmp.Or(cmp.Compare(a.Section, b.Section), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Problem, b.Problem))
	})
	return c.findings
}

type checker struct {
	lists    *Lists
	findings finding.List
}

func (c *checker) add(kind Kind, name, key, problem, allowed string) {
	c.findings.Add(finding.Finding{File: "lists", Section: section(kind, name), Key: key, Problem: problem, Allowed: allowed})
}

// section returns the INI section of an item.
func section(kind Kind, name string) string { return string(kind) + " " + name }

func (c *checker) plans() {
	c.count(KindPlan, len(c.lists.Plans))
	for name, p := range c.lists.Plans {
		if p.Rate < 0 || p.Burst < 0 {
			c.add(KindPlan, string(name), "rate", "is negative, or burst is negative", "0 or more")
		}
	}
}

func (c *checker) workspaces() {
	c.count(KindWorkspace, len(c.lists.Workspaces))
	owners := make(map[string]model.Workspace, len(c.lists.Workspaces))
	for name, w := range c.lists.Workspaces {
		if _, ok := c.lists.Plans[w.Plan]; !ok {
			c.add(KindWorkspace, string(name), "plan", fmt.Sprintf("names the unknown plan %q", w.Plan), c.planNames())
		}
		if w.KeyHash == "" {
			c.add(KindWorkspace, string(name), "key_hash", "is missing", "hex SHA-256 of the API key")
			continue
		}
		other, found := owners[w.KeyHash]
		if !found {
			owners[w.KeyHash] = name
			continue
		}
		// The finding names the two workspaces in alphabetical order, since the
		// iteration order of maps is random.
		first, second := min(name, other), max(name, other)
		c.add(KindWorkspace, string(second), "key_hash", fmt.Sprintf("is also held by workspace %q", first), "one workspace for each key")
		owners[w.KeyHash] = first
	}
}

func (c *checker) pools() {
	c.count(KindPool, len(c.lists.Pools))
	for name, p := range c.lists.Pools {
		if p.Kind != model.Engine && p.Kind != model.Service {
			c.add(KindPool, string(name), "kind", fmt.Sprintf("has the value %q", p.Kind), "engine, service")
		}
		for _, plan := range p.Plans {
			if _, ok := c.lists.Plans[plan]; !ok {
				c.add(KindPool, string(name), "plans", fmt.Sprintf("names the unknown plan %q", plan), c.planNames())
			}
		}
		if p.Slots < 0 || p.ColdLimit < 0 || p.WarmTime < 0 || p.LoadSpacing < 0 || p.KeyLifetime < 0 || p.ReturnTime < 0 {
			c.add(KindPool, string(name), "", "has a negative value", "0 or more")
		}
		// A bound below the mean cannot hold for all endpoints at once.
		if p.LoadMultiple != 0 && !(p.LoadMultiple >= 1) {
			c.add(KindPool, string(name), "load_multiple", fmt.Sprintf("has the value %g", p.LoadMultiple), "1 or more")
		}
	}
}

func (c *checker) routes() {
	c.count(KindRoute, len(c.lists.Routes))
	for name, r := range c.lists.Routes {
		if _, ok := c.lists.Pools[r.Pool]; !ok {
			c.add(KindRoute, string(name), "pool", fmt.Sprintf("names the unknown pool %q", r.Pool), names(c.lists.Pools))
		}
	}
}

func (c *checker) dataCentres() {
	c.count(KindDataCentre, len(c.lists.DataCentres))
	for name, d := range c.lists.DataCentres {
		if d.State != DataCentreIn && d.State != DataCentreOut {
			c.add(KindDataCentre, string(name), "state", fmt.Sprintf("has the value %q", d.State), "in, out")
		}
	}
}

func (c *checker) rollouts() {
	c.count(KindRollout, len(c.lists.Rollouts))
	for name, r := range c.lists.Rollouts {
		if _, ok := c.lists.Pools[r.Pool]; !ok && r.State == RolloutActive {
			c.add(KindRollout, name, "pool", fmt.Sprintf("names the unknown pool %q", r.Pool), names(c.lists.Pools))
		}
		if !(r.FirstShare >= 0 && r.FirstShare <= 1) {
			c.add(KindRollout, name, "first_share", fmt.Sprintf("has the value %g", r.FirstShare), "0 to 1")
		}
	}
}

func (c *checker) count(kind Kind, n int) {
	if n > MaxItems {
		c.add(kind, "", "", fmt.Sprintf("occurs %d times", n), fmt.Sprintf("up to %d", MaxItems))
	}
}

func (c *checker) planNames() string { return names(c.lists.Plans) }

// maxNamesShown keeps a finding on one readable line.
const maxNamesShown = 10

// names lists the keys of m for the "allowed" part of a finding.
func names[K ~string, V any](m map[K]V) string {
	all := slices.Sorted(maps.Keys(m))
	out := ""
	for i, n := range all {
		if i == maxNamesShown {
			return out + ", ..."
		}
		if i > 0 {
			out += ", "
		}
		out += string(n)
	}
	return out
}
