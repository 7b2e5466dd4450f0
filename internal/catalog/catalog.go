// Package catalog holds the operators' routes, pools and workspaces as one
// immutable version, and answers which route and workspace a request has.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// RetrySemantics says how often the requests of a route may run.
type RetrySemantics int

// The kinds of route.
const (
	AtMostOnce RetrySemantics = iota // at most once for each attempt of a caller
	Idempotent                       // idempotent, may run more than once
	Stream                           // a stream of events; once, unless it is resumable
)

// Share is the part of a route's requests that goes to a pool.
type Share struct {
	Pool   model.Pool
	Weight float64
}

// Route is one entry of the routing table.
type Route struct {
	Name          model.Route
	Host          string // lower case, without a port
	Prefix        string // begins and ends with a slash
	Semantics     RetrySemantics
	Shares        []Share
	Timeout       time.Duration // the longest time until the final answer; 0 means none
	LatencyTarget time.Duration // latency objective up to the answer or the first event
	Attempts      int           // endpoints on which one attempt of a caller may run; at least 1
	Priority      int           // 0 is the most urgent
	Public        bool          // needs no API key
	Resumable     bool          // a stream may go on at another endpoint
	Regions       []model.Region
	Generation    bool // requests carry prompt parts and run on engines
}

// Retryable reports whether a request of the route may run again after an
// attempt whose outcome is unknown.
func (r *Route) Retryable() bool {
	return r.Semantics == Idempotent || r.Semantics == Stream && r.Resumable
}

// Workspace is a customer with its rank and its home regions.
type Workspace struct {
	Name     model.Workspace
	Priority int // takes precedence over the route's; negative means unset
	Regions  []model.Region
}

// Pool describes the endpoints of one service.
type Pool struct {
	Name     model.Pool
	ColdTime time.Duration // how long an endpoint stays cold after its start
	ColdRate float64       // requests a second that a cold endpoint tolerates
	Engine   bool
}

// Catalog is one version of the configuration. Nobody changes it once built.
type Catalog struct {
	Version      int64
	Pools        map[model.Pool]Pool
	MaxBody      int64 // bytes of a request's body; 0 means no limit
	KeysRequired bool  // requests need a key, unless their route is public
	routes       map[string][]*Route
	keys         map[string]*Workspace
}

// New builds a catalogue from its parts.
func New(version int64, routes []Route, pools []Pool, maxBody int64) *Catalog {
	c := &Catalog{Version: version, Pools: map[model.Pool]Pool{}, MaxBody: maxBody,
		routes: map[string][]*Route{}, keys: map[string]*Workspace{}}
	for i := range routes {
		r := &routes[i]
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, p := range pools {
		c.Pools[p.Name] = p
	}
	return c
}

// AddWorkspace adds a workspace with the keys that it holds. It is called
// before the catalogue is published.
func (c *Catalog) AddWorkspace(w Workspace, keys []string) {
	c.KeysRequired = true
	for _, k := range keys {
		c.keys[k] = &w
	}
}

// Routes returns the number of routes.
func (c *Catalog) Routes() int {
	n := 0
	for _, list := range c.routes {
		n += len(list)
	}
	return n
}

// Match returns the route of the host whose prefix is the longest that begins
// path, or nil.
func (c *Catalog) Match(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// WorkspaceByKey returns the workspace that holds key, or nil.
func (c *Catalog) WorkspaceByKey(key string) *Workspace { return c.keys[key] }

// PickPool returns the pool for a request; u is uniform in [0, 1).
func (r *Route) PickPool(u float64) model.Pool {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	u *= total
	for _, s := range r.Shares {
		if u < s.Weight {
			return s.Pool
		}
		u -= s.Weight
	}
	for _, s := range slices.Backward(r.Shares) {
		if s.Weight > 0 {
			return s.Pool
		}
	}
	return ""
}
