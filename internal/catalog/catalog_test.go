package catalog_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/catalog"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Guards against matching a shorter prefix, a route of another host, or a prefix
// that ends inside a path segment.
func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	is := is.New(t)
	c := catalog.New(1, []catalog.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}, nil, 0)
	for path, want := range map[string]model.Route{"/x/y/z/1": "deep", "/x/yz": "short", "/x": "all", "/": "all"} {
		is.Equal(c.Match("A.example:8080", path).Name, want)
	}
	is.True(c.Match("b.example", "/x/y/") == nil)
	is.True(c.Match("c.example", "/") == nil)
}

// Guards against shares that do not match the weights, and against requests to a
// pool with weight 0.
func TestSharesFollowTheWeights(t *testing.T) {
	is := is.New(t)
	r := catalog.Route{Shares: []catalog.Share{{Pool: "none", Weight: 0}, {Pool: "most", Weight: 90}, {Pool: "few", Weight: 10}, {Pool: "nobody", Weight: 0}}}
	got := map[model.Pool]int{}
	const draws = 1000
	for i := range draws {
		got[r.PickPool(float64(i)/draws)]++
	}
	is.Equal(got, map[model.Pool]int{"most": 900, "few": 100})
	is.Equal(r.PickPool(1), model.Pool("few")) // rounding must not reach a pool of weight 0
}

// Guards against an API key that belongs to the wrong workspace, and against
// requiring keys when there are no workspaces.
func TestKeysBelongToWorkspaces(t *testing.T) {
	is := is.New(t)
	c := catalog.New(1, nil, nil, 0)
	is.True(!c.KeysRequired)
	c.AddWorkspace(catalog.Workspace{Name: "first"}, []string{"k1", "k2"})
	c.AddWorkspace(catalog.Workspace{Name: "second"}, []string{"k3"})
	is.True(c.KeysRequired)
	is.Equal(c.WorkspaceByKey("k2").Name, model.Workspace("first"))
	is.Equal(c.WorkspaceByKey("k3").Name, model.Workspace("second"))
	is.True(c.WorkspaceByKey("") == nil)
}
